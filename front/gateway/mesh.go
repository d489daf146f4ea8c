package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/crashes"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/relayclient"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

const (
	// TableInstances has a row for each instance, see DecodeInstance.
	TableInstances = "cardamomfront-instances"
	// methodSync exchanges the reports of two instances.
	methodSync = "gateway.sync"
	// syncInterval is the time between two syncs with one instance. The loads
	// and demands of peers are on average half of it old.
	syncInterval = 500 * time.Millisecond
	// busySyncInterval applies between the instances of one region of a small
	// fleet while endpoints are busy. At full load, half a second is the
	// service time of two requests.
	busySyncInterval = 250 * time.Millisecond
	// busyUtilization is the share of a service's slots in use from which
	// busySyncInterval applies. Below it there is headroom for what peers have
	// sent since their last report.
	busyUtilization = 0.5
	// topologyInterval is the time between two choices of the hubs.
	topologyInterval = 500 * time.Millisecond
	// minSyncPause bounds how often due syncs are looked for.
	minSyncPause = 50 * time.Millisecond
	// syncTimeout bounds one sync, including the dial.
	syncTimeout = time.Second
	// maxReportAge is how old a peer's last report may be when the next one
	// arrives, including the network latency.
	maxReportAge = 600 * time.Millisecond
	// minUrgentSyncInterval is the shortest time between two urgent syncs.
	minUrgentSyncInterval = 150 * time.Millisecond
	// aliveTimeout is how long after its last report an instance counts as
	// alive: three syncs and a slow one.
	aliveTimeout = 2 * time.Second
	// quotaReleaseTimeout is how long after its last report an instance's share
	// of the quotas stays reserved in a large fleet.
	quotaReleaseTimeout = 15 * time.Second
	// registerRetryInterval is the time between two attempts to write this
	// instance's row.
	registerRetryInterval = 500 * time.Millisecond
	// roundTripWeight is the weight of one measurement in the mean round trip.
	roundTripWeight = 0.2
)

// member is the state of another instance.
type member struct {
	report
	previousStart int64     // start time of the process that this one replaced
	lastReport    time.Time // zero if it has sent none
	lastFailure   time.Time // when a sync with it last failed
	addedAt       time.Time // when it became known
	nextSync      time.Time // when the next sync is due, zero if none is
	syncing       bool      // a sync with it is in progress
	direct        bool      // what it reported of itself is in use, apart from summaries
	roundTrip     time.Duration
}

// mesh exchanges reports with all other instances.
type mesh struct {
	self                report
	store               registry.Store
	caller              peer.Caller
	placer              *placing.Placer
	limiter             *quota.Limiter
	rollouts            *rollouts.Rollouts
	crashes             *crashes.Watch
	reach               *reach.Monitor
	ready               func() bool
	generation          func() uint64    // of the catalog in force
	storeReachableSince func() time.Time // since when the endpoints table has been reachable
	extension           extension        // nil if there is none
	log                 logrus.FieldLogger
	membersRead         chan struct{} // closed when the instances table has been read
	membersReadOnce     sync.Once

	mu             sync.Mutex
	members        map[string]*member
	memberLists    map[string]memberList    // by failure domain
	remoteDomains  map[string]*remoteDomain // used by a hub
	remoteHubs     map[string][]string      // used by a hub
	fleetAt        time.Time                // time of the summary of the fleet in use, zero if none is
	ownHubs        []string                 // of this failure domain; none in a small fleet
	isHub          bool
	sources        []string  // instances from which tables are read; none to read the store
	topologyAt     time.Time // when the hubs were last chosen
	cutOffUntil    time.Time // this instance has recently failed to reach the store
	leaving        bool
	registered     bool // this instance's row has been written
	lastUrgentSync time.Time
	wake           chan struct{} // closed to start all syncs at once
	background     sync.WaitGroup
}

// newMesh returns a mesh without other instances.
func newMesh(s *Settings, adapters Adapters, p *placing.Placer, l *quota.Limiter, r *rollouts.Rollouts, v *storeView, w *crashes.Watch, reached *reachability.Watch, relayed *relayclient.Client, log *logrus.Logger) *mesh {
	client := peer.NewClient(nil, peerDialTimeout)
	client.AllowPlainTCP = true
	m := &mesh{
		self: report{
			Name: s.Name, Peers: s.Listen.Peers, Callers: s.Listen.Callers,
			Relay: s.Listen.Relay, Region: s.Region, FailureDomain: s.FailureDomain, Capacity: s.Capacity, Started: time.Now().UnixNano(),
		},
		store:               adapters.Store,
		caller:              client,
		placer:              p,
		limiter:             l,
		rollouts:            r,
		crashes:             w,
		reach:               reached.Monitor(),
		ready:               v.ready,
		generation:          v.generation,
		storeReachableSince: func() time.Time { return time.Time{} },
		log:                 log.WithField("prefix", "mesh"),
		members:             make(map[string]*member),
		memberLists:         make(map[string]memberList),
		remoteDomains:       make(map[string]*remoteDomain),
		remoteHubs:          make(map[string][]string),
		membersRead:         make(chan struct{}),
		wake:                make(chan struct{}),
	}
	w.SetNotifyPeers(m.syncUrgently)
	reached.SetNotifyPeers(m.syncUrgently)
	relayed.SetHelpers(m.helpers)
	r.SetFleet(rollouts.Fleet{IsLeader: m.isLeader, NotifyPeers: m.syncUrgently, KnownSize: m.knownSize, RecordDelay: m.recordDelay})
	return m
}

// maxRecordDelay bounds the delay of recordDelay. The leader records a rollback
// within the time of a few syncs.
const maxRecordDelay = 2500 * time.Millisecond

// recordDelay returns how long this instance leaves it to others to record a
// rollback.
func (m *mesh) recordDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return 0
	}
	fraction := float64(xxhash.Sum64String(m.self.Name)) / math.MaxUint64
	return time.Duration((1 + fraction) / 2 * float64(maxRecordDelay))
}

// isLeaving reports whether this instance is about to stop.
func (m *mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// handleSync handles a sync call of another instance.
func (m *mesh) handleSync(_ context.Context, params json.RawMessage) (any, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fmt.Errorf("state of an instance: %w", err)
	}
	if r.Name == "" || r.Peers == "" {
		return nil, fmt.Errorf("state of an instance names no instance")
	}
	m.receiveReport(r, 0)
	return m.extendedReport(r.Name), nil
}

// Run registers this instance and exchanges reports until ctx ends.
func (m *mesh) Run(ctx context.Context) error {
	m.register(ctx)
	m.background.Go(func() { m.runSyncs(ctx) })
	runEvery(ctx, syncInterval, m.refreshMembership)
	m.background.Wait()
	return nil
}

// setRegistered records that this instance's row has been written.
func (m *mesh) setRegistered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = true
}

// register writes this instance's row, with retries until it succeeds.
func (m *mesh) register(ctx context.Context) {
	value, err := json.Marshal(Instance{Peers: m.self.Peers, Region: m.self.Region, FailureDomain: m.self.FailureDomain, Capacity: m.self.Capacity})
	if err != nil {
		m.log.WithError(err).Error("Failed to encode the row of this instance.")
		return
	}
	m.background.Go(func() {
		for ctx.Err() == nil {
			err := m.store.Put(ctx, TableInstances, m.self.Name, value)
			if err == nil {
				m.setRegistered()
				m.log.Info("Registered.")
				return
			}
			m.log.WithError(err).Warn("Failed to write the row of this instance, retrying.")
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
		m.log.WithError(err).Warn("Failed to remove the row of this instance.")
	}
}

// runSyncs starts syncs as they become due until ctx ends.
func (m *mesh) runSyncs(ctx context.Context) {
	woken := false
	for ctx.Err() == nil {
		m.mu.Lock()
		wake := m.wake
		m.mu.Unlock()
		pause := m.startSyncs(ctx, time.Now(), woken)
		select {
		case <-ctx.Done():
		case <-wake:
			woken = true
		case <-time.After(pause):
			woken = false
		}
	}
}

// startSyncs starts the syncs that are due and returns the time until the next
// one. woken starts them with all instances at once.
func (m *mesh) startSyncs(ctx context.Context, now time.Time, woken bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if woken || now.Sub(m.topologyAt) >= topologyInterval {
		m.topologyAt = now
		m.updateTopology(now)
		m.updateRemoteHubs(now)
	}
	next := now.Add(topologyInterval)
	for name, other := range m.members {
		if other.Peers == "" || other.syncing {
			continue
		}
		initiates, delay := m.initiates(name, other, now, woken)
		if !initiates {
			other.nextSync = time.Time{}
			continue
		}
		if other.nextSync.IsZero() {
			other.nextSync = now.Add(delay)
		}
		if woken || !now.Before(other.nextSync) {
			other.nextSync = now.Add(m.nextSyncDelay(other.Region, now))
			other.syncing = true
			address := other.Peers
			m.background.Go(func() { m.syncOnce(ctx, name, address) })
		}
		if other.nextSync.Before(next) {
			next = other.nextSync
		}
	}
	return max(next.Sub(now), minSyncPause)
}

// initiates reports whether this instance initiates syncs with another one, and
// the time until the first one. Of two instances, the one with the lower name
// initiates; the other one does so only if it receives no reports. The caller
// holds mu.
func (m *mesh) initiates(name string, other *member, now time.Time, woken bool) (bool, time.Duration) {
	if m.isLarge() {
		return m.syncsWith(name, other, now, woken)
	}
	return m.self.Name < name || woken || now.Sub(other.lastReport) > 2*syncInterval, 0
}

// nextSyncDelay returns the time to the next sync with an instance of a region.
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

// syncOnce exchanges reports once.
func (m *mesh) syncOnce(ctx context.Context, name, address string) {
	defer m.syncEnded(name)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := time.Now()
	var received report
	if err := m.caller.Call(ctx, address, methodSync, m.extendedReport(name), &received); err != nil {
		m.log.WithError(err).WithField("instance", name).Debug("Failed to sync with an instance.")
		m.recordUnreachable(name)
		return
	}
	m.receiveReport(received, time.Since(start))
}

// syncEnded records that a sync with an instance has ended.
func (m *mesh) syncEnded(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.members[name]; other != nil {
		other.syncing = false
	}
}

// announceLeaving notifies all peers that this instance is about to stop.
func (m *mesh) announceLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.wakeSyncLoops()
}

// syncUrgently syncs with all peers at once, unless that was done within
// minUrgentSyncInterval. Failures of a new version can't wait for the next
// regular sync.
func (m *mesh) syncUrgently() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.lastUrgentSync) >= minUrgentSyncInterval {
		m.lastUrgentSync = now
		m.wakeSyncLoops()
	}
}

// wakeSyncLoops starts a sync in all loops. The caller holds mu.
func (m *mesh) wakeSyncLoops() {
	close(m.wake)
	m.wake = make(chan struct{})
}
