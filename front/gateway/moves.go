package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

// judgeEvery is the time between two judgements of the moves; a bad version gets
// requests until the next one.
const judgeEvery = 100 * time.Millisecond

// moves carries out the operators' orders to move services to new versions.
type moves struct {
	store registry.Store
	codec Codec
	leads func() bool // whether this instance records what all decide alike
	hurry func()      // tells the other instances at once
	// reached returns the moment by which the store had reached a revision, the
	// zero time if that is not known.
	reached func(revision uint64) time.Time
	now     func() time.Time
	log     logrus.FieldLogger

	mu       sync.Mutex
	running  map[string]*rollout.Rollout
	recorded map[string]catalog.RolloutRecord
	loaded   bool              // whether outcomes were read at all
	asked    time.Time         // when they were last asked for
	clock    storeClock        // of the last reading
	placed   map[string]uint64 // revisions of the orders whose beginning was read
}

// newMoves returns moves of which this instance records none: newMesh says when
// it leads.
func newMoves(p Parts, log *logrus.Logger) *moves {
	return &moves{
		store:    p.Store,
		codec:    p.Codec,
		leads:    func() bool { return false },
		hurry:    func() {},
		reached:  func(uint64) time.Time { return time.Time{} },
		now:      time.Now,
		log:      log.WithField("prefix", "moves"),
		running:  make(map[string]*rollout.Rollout),
		recorded: make(map[string]catalog.RolloutRecord),
		placed:   make(map[string]uint64),
	}
}

// setOrders takes in the orders in force.
func (m *moves) setOrders(now time.Time, orders map[string]catalog.RolloutOrder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, o := range orders {
		known := m.running[service]
		if known != nil && known.Order().Revision == o.Revision {
			continue
		}
		move := rollout.New(o, now)
		if at := m.reached(o.Revision); !at.IsZero() {
			move.ObserveStart(at)
		}
		m.running[service] = move
		m.log.WithFields(logrus.Fields{
			"service": service, "to": o.To, "duration": o.Duration.String(), "revision": o.Revision,
			"age_ms": now.Sub(move.StartTime()).Milliseconds(),
		}).Info("Move ordered.")
		m.settle(move)
	}
	for service := range m.running {
		if _, ok := orders[service]; !ok {
			delete(m.running, service)
		}
	}
}

// ended tells a move how a try ended.
func (m *moves) ended(move *rollout.Rollout, version string, ok, failed bool, slowness float64) {
	move.AttemptEnded(time.Now(), version, ok, failed, slowness)
	if failed && version == move.Order().To && move.Result() == catalog.RolloutRunning {
		m.hurry()
	}
}

// move returns the move of a service, or nil.
func (m *moves) move(service string) *rollout.Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[service]
}

// versions says for one try which versions of a service are to be asked.
type versions struct {
	// order are the versions, the best first; nil stands for all.
	order []func(string) bool
	// stay says that a try for which the first have no room goes nowhere else.
	stay bool
}

// versions returns the versions for one try. fresh is false for a request that
// was tried before.
func (m *moves) versions(service string, now time.Time, fresh bool) versions {
	m.mu.Lock()
	move, recorded, loaded := m.running[service], m.recorded[service], m.loaded
	m.mu.Unlock()
	to, result := recorded.To, recorded.Result
	if move != nil {
		to, result = move.Order().To, move.Result()
	}
	isNew := func(v string) bool { return v == to }
	isOld := func(v string) bool { return v != to }
	switch {
	case result == catalog.RolloutRolledBack:
		return versions{order: []func(string) bool{isOld}}
	case result == catalog.RolloutCompleted:
		return versions{order: []func(string) bool{isNew, nil}}
	case move == nil:
		return versions{order: []func(string) bool{nil}}
	case loaded && move.DrainingOld(now):
		// Old endpoints end with the requests that run there.
		return versions{order: []func(string) bool{isNew, isOld}, stay: true}
	case loaded && fresh && move.UseNewVersion(now):
		return versions{order: []func(string) bool{isNew, isOld}}
	}
	return versions{order: []func(string) bool{isOld, isNew}}
}

// Run judges the moves and records outcomes until ctx ends. Recording waits for
// the store and judging does not.
func (m *moves) Run(ctx context.Context) error {
	var recorder sync.WaitGroup
	recorder.Go(func() { every(ctx, judgeEvery, func(now time.Time) { m.step(ctx, now) }) })
	every(ctx, judgeEvery, m.judge)
	recorder.Wait()
	return nil
}

// every calls f at each tick until ctx ends.
func every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// judge keeps requests from new versions that are bad.
func (m *moves) judge(now time.Time) {
	for service, move := range m.unrecorded() {
		j := move.Evaluate(now)
		if !j.Worse || move.Result() != catalog.RolloutRunning {
			continue
		}
		move.Halt()
		m.log.WithFields(logrus.Fields{
			"service": service, "to": move.Order().To, "old": j.Evidence.Old, "new": j.Evidence.New,
			"age_ms": now.Sub(move.StartTime()).Milliseconds(),
		}).Warn("New version is bad.")
	}
}

// states returns what this instance saw of the moves under way.
func (m *moves) states(now time.Time) []moveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var states []moveState
	for service, move := range m.running {
		if !m.pending(service, move) {
			continue
		}
		states = append(states, moveState{
			Service: service, Revision: move.Order().Revision, AgeMS: now.Sub(move.StartTime()).Milliseconds(),
			Result: move.Result(), Evidence: move.LocalEvidence(now),
		})
	}
	return states
}

// takeStates takes in what another instance saw.
func (m *moves) takeStates(instance string, states []moveState, now time.Time) {
	for _, s := range states {
		move := m.move(s.Service)
		if move == nil || move.Order().Revision != s.Revision {
			continue
		}
		move.ObserveStart(now.Add(-time.Duration(s.AgeMS) * time.Millisecond))
		move.SetPeerEvidence(instance, s.Evidence, now)
		if s.Result == catalog.RolloutRolledBack {
			move.Halt()
		}
	}
}

// forget drops what an instance saw, where a sum holds it now.
func (m *moves) forget(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, move := range m.running {
		move.RemovePeer(instance)
	}
}
