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
	// syncEvery is the time between two exchanges with one instance. Loads and
	// demands of the others are on average half of it old.
	syncEvery = 500 * time.Millisecond
	// busyEvery is the same between instances of one region of a small fleet
	// while endpoints are busy: at full load half a second is two requests' work.
	busyEvery = 250 * time.Millisecond
	// busyFrom is the part of a service's slots in use from which that holds.
	// Below there is room for what others have sent meanwhile.
	busyFrom = 0.5
	// syncTimeout bounds one exchange, with the making of a connection.
	syncTimeout = time.Second
	// stateDelay is how old another instance's word is at most when the next
	// one comes, with the way.
	stateDelay = 600 * time.Millisecond
	// hurryEvery is the least time between two tellings out of turn.
	hurryEvery = 150 * time.Millisecond
	// silentAfter is how long an instance that is not heard of counts as alive:
	// three exchanges and a slow one.
	silentAfter = 2 * time.Second
	// goneAfter is how long the part of the quotas of an instance that is not
	// heard of is set aside. Cuts of the users' networks are shorter.
	goneAfter = 15 * time.Second
	// registerPause is the time between two tries to write this instance's row.
	registerPause = 500 * time.Millisecond
	// tripWeight is the weight of one measurement in a round trip.
	tripWeight = 0.2
)

// member is another instance as this one knows it.
type member struct {
	state
	former  int64     // the start of the process that this one replaced
	heard   time.Time // zero when it was never heard of
	failed  time.Time // when it was last not reached
	relayed time.Time // when it was last told of other regions
	trip    time.Duration
}

// mesh exchanges states with all other instances.
type mesh struct {
	self    state
	store   registry.Store
	caller  peer.Caller
	placer  *placing.Placer
	limiter *quota.Limiter
	moves   *moves
	ready   func() bool
	reaches func() time.Time // since when the endpoints' table is reached
	log     logrus.FieldLogger

	mu      sync.Mutex
	members map[string]*member
	regions map[string]*heardRegion
	loops   map[string]bool
	leaving bool
	hurried time.Time
	wake    chan struct{} // closed when the state should be told at once
	work    sync.WaitGroup
}

// newMesh returns a mesh that knows no other instance.
func newMesh(s *Settings, parts Parts, p *placing.Placer, l *quota.Limiter, mv *moves, b *beliefs, log *logrus.Logger) *mesh {
	client := peer.NewClient(nil, peerDialTimeout)
	client.PlainNetwork = true
	m := &mesh{
		self: state{
			Name: s.Name, Peers: s.Listen.Peers, Callers: s.Listen.Callers,
			Region: s.Region, FailureDomain: s.FailureDomain, Started: time.Now().UnixNano(),
		},
		store:   parts.Store,
		caller:  client,
		placer:  p,
		limiter: l,
		moves:   mv,
		ready:   b.ready,
		reaches: func() time.Time { return time.Time{} },
		log:     log.WithField("prefix", "mesh"),
		members: make(map[string]*member),
		regions: make(map[string]*heardRegion),
		loops:   make(map[string]bool),
		wake:    make(chan struct{}),
	}
	mv.leads, mv.hurry = m.leads, m.hurry
	return m
}

// isLeaving says whether this instance is about to stop.
func (m *mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// handle answers a call of another instance.
func (m *mesh) handle(_ context.Context, params json.RawMessage) (any, error) {
	var s state
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, fmt.Errorf("state of an instance: %w", err)
	}
	if s.Name == "" || s.Peers == "" {
		return nil, fmt.Errorf("state of an instance names no instance")
	}
	m.take(s, 0)
	return m.state(s.Name, s.Region), nil
}

// Run registers this instance and exchanges states until ctx ends.
func (m *mesh) Run(ctx context.Context) error {
	m.register(ctx)
	every(ctx, syncEvery, m.refresh)
	m.work.Wait()
	return nil
}

// register writes this instance's row, as often as it takes.
func (m *mesh) register(ctx context.Context) {
	value, err := json.Marshal(Instance{Peers: m.self.Peers, Region: m.self.Region})
	if err != nil {
		m.log.WithError(err).Error("This instance's row can't be encoded.")
		return
	}
	m.work.Go(func() {
		for ctx.Err() == nil {
			err := m.store.Put(ctx, TableInstances, m.self.Name, value)
			if err == nil {
				m.log.Info("Registered.")
				return
			}
			m.log.WithError(err).Warn("Could not register.")
			select {
			case <-ctx.Done():
			case <-time.After(registerPause):
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

// exchange exchanges states with one instance until it is dropped. Of two
// instances the one with the lesser name asks; the other one does so only when
// it hears nothing.
func (m *mesh) exchange(ctx context.Context, name string) {
	woken := false
	for {
		m.mu.Lock()
		other := m.members[name]
		if other == nil {
			delete(m.loops, name)
			m.mu.Unlock()
			return
		}
		now := time.Now()
		asks := m.self.Name < name || woken || now.Sub(other.heard) > 2*syncEvery
		asks = asks && m.exchangesWith(other, now)
		address, region, wake := other.Peers, other.Region, m.wake
		pause := m.pause(region, now)
		m.mu.Unlock()
		if asks {
			m.sync(ctx, name, address, region)
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

// pause returns the time until the next exchange with an instance of a region.
// The caller holds mu.
func (m *mesh) pause(region string, now time.Time) time.Duration {
	if m.large() || region != m.self.Region {
		return syncEvery
	}
	for _, u := range m.placer.Usages(now) {
		if float64(u.Running) >= busyFrom*float64(u.Slots) && u.Slots > 0 {
			return busyEvery
		}
	}
	return syncEvery
}

// sync exchanges states once.
func (m *mesh) sync(ctx context.Context, name, address, region string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	begun := time.Now()
	var answer state
	if err := m.caller.Call(ctx, address, methodSync, m.state(name, region), &answer); err != nil {
		m.log.WithError(err).WithField("instance", name).Debug("Instance not reached.")
		m.notReached(name)
		return
	}
	m.take(answer, time.Since(begun))
}

// leave tells all others that this instance is about to stop.
func (m *mesh) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.tellNow()
}

// hurry tells all others at once, unless that was done just now. Failures of a
// new version can't wait for the next turn.
func (m *mesh) hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.hurried) >= hurryEvery {
		m.hurried = now
		m.tellNow()
	}
}

// tellNow wakes all exchanges. The caller holds mu.
func (m *mesh) tellNow() {
	close(m.wake)
	m.wake = make(chan struct{})
}
