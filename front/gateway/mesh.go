package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
)

const (
	// TableInstances holds a row for each instance, see DecodeInstance.
	TableInstances = "cardamomfront-instances"
	// methodSync exchanges the states of two instances.
	methodSync = "gateway.sync"
	// syncInterval is the time between two exchanges with one instance. Loads and
	// demands of the others are on average half of it old.
	syncInterval = 500 * time.Millisecond
	// busySyncInterval is the same between instances of one region of a small fleet
	// while endpoints are busy: at full load half a second is two requests' work.
	busySyncInterval = 250 * time.Millisecond
	// busyUtilization is the part of a service's slots in use from which that holds.
	// Below there is room for what others have sent meanwhile.
	busyUtilization = 0.5
	// syncTimeout bounds one exchange, with the making of a connection.
	syncTimeout = time.Second
	// maxReportAge is how old another instance's word is at most when the next
	// one comes, with the way.
	maxReportAge = 600 * time.Millisecond
	// minUrgentSyncInterval is the least time between two tellings out of turn.
	minUrgentSyncInterval = 150 * time.Millisecond
	// aliveTimeout is how long an instance that is not heard of counts as alive:
	// three exchanges and a slow one.
	aliveTimeout = 2 * time.Second
	// quotaReleaseTimeout is how long the part of the quotas of an instance that is not
	// heard of is set aside. Cuts of the users' networks are shorter.
	quotaReleaseTimeout = 15 * time.Second
	// registerRetryInterval is the time between two tries to write this instance's row.
	registerRetryInterval = 500 * time.Millisecond
	// roundTripWeight is the weight of one measurement in a round trip.
	roundTripWeight = 0.2
)

// member is another instance as this one knows it.
type member struct {
	report
	previousStart int64     // the start of the process that this one replaced
	lastReport    time.Time // zero when it was never heard of
	lastFailure   time.Time // when it was last not reached
	lastRelay     time.Time // when it was last told of other regions
	roundTrip     time.Duration
}

// mesh exchanges states with all other instances.
type mesh struct {
	self              report
	store             registry.Store
	caller            peer.Caller
	placer            *placing.Placer
	limiter           *quota.Limiter
	rollouts          *rollouts
	ready             func() bool
	reachesStoreSince func() time.Time // since when the endpoints' table is reached
	log               logrus.FieldLogger

	mu             sync.Mutex
	members        map[string]*member
	remoteRegions  map[string]*remoteRegion
	syncLoops      map[string]bool
	leaving        bool
	lastUrgentSync time.Time
	wake           chan struct{} // closed when the state should be told at once
	loopsRunning   sync.WaitGroup
}

// newMesh returns a mesh that knows no other instance.
func newMesh(s *Settings, parts Parts, p *placing.Placer, l *quota.Limiter, r *rollouts, b *storeView, log *logrus.Logger) *mesh {
	client := peer.NewClient(nil, peerDialTimeout)
	client.AllowPlainTCP = true
	m := &mesh{
		self: report{
			Name: s.Name, Peers: s.Listen.Peers, Callers: s.Listen.Callers,
			Region: s.Region, FailureDomain: s.FailureDomain, Started: time.Now().UnixNano(),
		},
		store:             parts.Store,
		caller:            client,
		placer:            p,
		limiter:           l,
		rollouts:          r,
		ready:             b.ready,
		reachesStoreSince: func() time.Time { return time.Time{} },
		log:               log.WithField("prefix", "mesh"),
		members:           make(map[string]*member),
		remoteRegions:     make(map[string]*remoteRegion),
		syncLoops:         make(map[string]bool),
		wake:              make(chan struct{}),
	}
	r.isLeader, r.notifyPeers = m.isLeader, m.syncUrgently
	return m
}

// isLeaving says whether this instance is about to stop.
func (m *mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// handleSync answers a call of another instance.
func (m *mesh) handleSync(_ context.Context, params json.RawMessage) (any, error) {
	var s report
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, fmt.Errorf("state of an instance: %w", err)
	}
	if s.Name == "" || s.Peers == "" {
		return nil, fmt.Errorf("state of an instance names no instance")
	}
	m.receiveReport(s, 0)
	return m.buildReport(s.Name, s.Region), nil
}

// Run registers this instance and exchanges states until ctx ends.
func (m *mesh) Run(ctx context.Context) error {
	m.register(ctx)
	runEvery(ctx, syncInterval, m.refreshMembership)
	m.loopsRunning.Wait()
	return nil
}

// register writes this instance's row, as often as it takes.
func (m *mesh) register(ctx context.Context) {
	value, err := json.Marshal(Instance{Peers: m.self.Peers, Region: m.self.Region})
	if err != nil {
		m.log.WithError(err).Error("This instance's row can't be encoded.")
		return
	}
	m.loopsRunning.Go(func() {
		for ctx.Err() == nil {
			err := m.store.Put(ctx, TableInstances, m.self.Name, value)
			if err == nil {
				m.log.Info("Registered.")
				return
			}
			m.log.WithError(err).Warn("Could not register.")
			select {
			case <-ctx.Done():
			case <-time.After(registerRetryInterval):
			}
		}
	})
}

// unregister removes this instance's row.
func (m *mesh) unregister(ctx context.Context) {
	if err := m.store.Remove(ctx, TableInstances, m.self.Name); err != nil {
		m.log.WithError(err).Warn("The row of this instance could not be removed.")
	}
}

// syncLoop exchanges states with one instance until it is dropped. Of two
// instances the one with the lesser name asks; the other one does so only when
// it hears nothing.
func (m *mesh) syncLoop(ctx context.Context, name string) {
	woken := false
	for {
		m.mu.Lock()
		other := m.members[name]
		if other == nil {
			delete(m.syncLoops, name)
			m.mu.Unlock()
			return
		}
		now := time.Now()
		initiates := m.self.Name < name || woken || now.Sub(other.lastReport) > 2*syncInterval
		initiates = initiates && m.syncsWith(other, now)
		address, region, wake := other.Peers, other.Region, m.wake
		pause := m.nextSyncDelay(region, now)
		m.mu.Unlock()
		if initiates {
			m.syncOnce(ctx, name, address, region)
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
			woken = true
		case <-time.After(pause):
			woken = false
		}
	}
}

// nextSyncDelay returns the time until the next exchange with an instance of a region.
// The caller holds mu.
func (m *mesh) nextSyncDelay(region string, now time.Time) time.Duration {
	if m.isLarge() || region != m.self.Region {
		return syncInterval
	}
	for _, u := range m.placer.Usages(now) {
		if float64(u.Running) >= busyUtilization*float64(u.Slots) && u.Slots > 0 {
			return busySyncInterval
		}
	}
	return syncInterval
}

// syncOnce exchanges states once.
func (m *mesh) syncOnce(ctx context.Context, name, address, region string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	var received report
	if err := m.caller.Call(ctx, address, methodSync, m.buildReport(name, region), &received); err != nil {
		m.log.WithError(err).WithField("instance", name).Debug("Instance not reached.")
		m.recordUnreachable(name)
		return
	}
	m.receiveReport(received, time.Since(start))
}

// announceLeaving tells all others that this instance is about to stop.
func (m *mesh) announceLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.wakeSyncLoops()
}

// syncUrgently tells all others at once, unless that was done just now. Failures of a
// new version can't wait for the next turn.
func (m *mesh) syncUrgently() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.lastUrgentSync) >= minUrgentSyncInterval {
		m.lastUrgentSync = now
		m.wakeSyncLoops()
	}
}

// wakeSyncLoops wakes all exchanges. The caller holds mu.
func (m *mesh) wakeSyncLoops() {
	close(m.wake)
	m.wake = make(chan struct{})
}
