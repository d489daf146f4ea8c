package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

const (
	// judgeEvery is the time between two judgements of the moves; a bad
	// version gets requests until the next one.
	judgeEvery = 100 * time.Millisecond
	// readOutcomesEvery is the time between two readings of recorded outcomes
	// while a move is under way.
	readOutcomesEvery = time.Second
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 2 * time.Second
)

// moves carries out the operators' orders to move services to new versions.
type moves struct {
	store   registry.Store
	decoder Decoder
	leads   func() bool // whether this instance records what all decide alike
	hurry   func()      // tells the other instances at once
	log     logrus.FieldLogger

	mu       sync.Mutex
	running  map[string]*rollout.Move
	recorded map[string]catalog.Outcome
	read     time.Time
	loaded   bool
}

// newMoves returns moves of which this instance records none: newMesh says when
// it leads.
func newMoves(p Parts, log *logrus.Logger) *moves {
	return &moves{
		store:    p.Store,
		decoder:  p.Decoder,
		leads:    func() bool { return false },
		hurry:    func() {},
		log:      log.WithField("prefix", "moves"),
		running:  make(map[string]*rollout.Move),
		recorded: make(map[string]catalog.Outcome),
	}
}

// setOrders takes in the orders in force.
func (m *moves) setOrders(now time.Time, orders map[string]catalog.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, o := range orders {
		known := m.running[service]
		if known != nil && known.Order().Revision == o.Revision {
			continue
		}
		move := rollout.New(o, now)
		m.running[service] = move
		m.log.WithFields(logrus.Fields{"service": service, "to": o.To, "duration": o.Duration.String(), "revision": o.Revision}).Info("Move ordered.")
		m.settle(move)
	}
	for service := range m.running {
		if _, ok := orders[service]; !ok {
			delete(m.running, service)
		}
	}
}

// settle applies a recorded outcome to the move that it belongs to. The caller
// holds mu.
func (m *moves) settle(move *rollout.Move) {
	o := move.Order()
	r, ok := m.recorded[o.Service]
	if ok && r.To == o.To && r.Revision > o.Revision {
		move.Record(r.Result)
	}
}

// setRecorded takes in the recorded outcomes.
func (m *moves) setRecorded(outcomes map[string]catalog.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loaded = true
	for service, o := range outcomes {
		if former := m.recorded[service]; former.Revision >= o.Revision {
			continue
		}
		m.recorded[service] = o
		m.log.WithFields(logrus.Fields{"service": service, "to": o.To, "result": o.Result.String(), "revision": o.Revision}).Info("Outcome recorded.")
		if move := m.running[service]; move != nil {
			m.settle(move)
		}
	}
}

// ended tells a move how a try ended.
func (m *moves) ended(move *rollout.Move, version string, ok, failed bool, slowness float64) {
	move.Ended(time.Now(), version, ok, failed, slowness)
	if failed && version == move.Order().To && move.Result() == catalog.ResultRunning {
		m.hurry()
	}
}

// move returns the move of a service, or nil.
func (m *moves) move(service string) *rollout.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[service]
}

// versions says for one request which versions of a service are to be asked,
// the best first. fresh is false for a request that was tried before.
func (m *moves) versions(service string, now time.Time, fresh bool) []func(string) bool {
	m.mu.Lock()
	move, recorded, ok := m.running[service], catalog.Outcome{}, false
	if move == nil {
		recorded, ok = m.recorded[service]
	}
	m.mu.Unlock()
	to, result := recorded.To, recorded.Result
	if move != nil {
		to, result = move.Order().To, move.Result()
		ok = true
	}
	if !ok {
		return []func(string) bool{nil}
	}
	isNew := func(v string) bool { return v == to }
	isOld := func(v string) bool { return v != to }
	switch {
	case result == catalog.ResultTakenBack:
		return []func(string) bool{isOld}
	case result == catalog.ResultCompleted:
		return []func(string) bool{isNew, nil}
	case move == nil:
		return []func(string) bool{nil}
	case fresh && move.TakesNew(now):
		return []func(string) bool{isNew, isOld}
	}
	return []func(string) bool{isOld, isNew}
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
		j := move.Judge(now)
		if !j.Bad || move.Result() != catalog.ResultRunning {
			continue
		}
		move.Suspect()
		m.log.WithFields(logrus.Fields{
			"service": service, "to": move.Order().To, "old": j.Evidence.Old, "new": j.Evidence.New,
			"age_ms": now.Sub(move.Beginning()).Milliseconds(),
		}).Warn("New version is bad.")
	}
}

// step reads outcomes where they may have changed, and records what was judged.
// A bad version is recorded by whoever finds it; what time decides, by one.
func (m *moves) step(ctx context.Context, now time.Time) {
	if m.due(now) {
		m.readRecorded(ctx)
	}
	for service, move := range m.unrecorded() {
		j := move.Judge(now)
		switch {
		case move.Result() == catalog.ResultTakenBack:
			m.record(ctx, service, move, catalog.ResultTakenBack)
		case !m.leads():
		case j.Expired:
			m.record(ctx, service, move, catalog.ResultTakenBack)
		case j.Complete:
			m.record(ctx, service, move, catalog.ResultCompleted)
		case !m.announced(service, move):
			m.record(ctx, service, move, catalog.ResultRunning)
		}
	}
}

// due says whether the recorded outcomes should be read now.
func (m *moves) due(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := !m.loaded
	for service, move := range m.running {
		wanted = wanted || m.pending(service, move)
	}
	if !wanted || now.Sub(m.read) < readOutcomesEvery {
		return false
	}
	m.read = now
	return true
}

// pending says whether a move has no final outcome on record. The caller holds
// mu.
func (m *moves) pending(service string, move *rollout.Move) bool {
	r, ok := m.recorded[service]
	o := move.Order()
	return !ok || r.To != o.To || r.Revision <= o.Revision || r.Result == catalog.ResultRunning
}

// unrecorded returns the moves without a final outcome on record.
func (m *moves) unrecorded() map[string]*rollout.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := make(map[string]*rollout.Move)
	if !m.loaded {
		return left
	}
	for service, move := range m.running {
		if m.pending(service, move) {
			left[service] = move
		}
	}
	return left
}

// readRecorded reads the recorded outcomes.
func (m *moves) readRecorded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, _, table := m.decoder.Tables()
	batch, err := m.store.Read(ctx, table)
	if err != nil {
		m.log.WithError(err).Warn("Outcomes could not be read.")
		return
	}
	rows := make(map[string]registry.Row, len(batch.Rows))
	for _, row := range batch.Rows {
		rows[row.Key] = row
	}
	outcomes, faults := m.decoder.Outcomes(rows)
	for _, fault := range faults {
		m.log.WithError(fault).Warn("Row passed over.")
	}
	m.setRecorded(outcomes)
}

// announced says whether it is on record that a move is under way.
func (m *moves) announced(service string, move *rollout.Move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.recorded[service]
	o := move.Order()
	return ok && r.To == o.To && r.Revision > o.Revision
}

// record writes an outcome on the condition that the record is as it was read.
func (m *moves) record(ctx context.Context, service string, move *rollout.Move, result catalog.Result) {
	m.mu.Lock()
	known := m.recorded[service]
	m.mu.Unlock()
	fields := logrus.Fields{"service": service, "to": move.Order().To, "result": result.String(), "on_revision": known.Revision}
	key, value, err := m.decoder.Outcome(service, catalog.Outcome{To: move.Order().To, Result: result})
	if err != nil {
		m.log.WithError(err).Error("Outcome can't be encoded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, _, table := m.decoder.Tables()
	err = m.store.Write(ctx, table, key, value, known.Revision)
	var conflict *registry.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		m.log.WithError(err).WithFields(fields).Warn("Outcome could not be recorded.")
	}
	if err == nil {
		m.log.WithFields(fields).Info("Outcome written.")
	}
	m.readRecorded(ctx)
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
			Service: service, Revision: move.Order().Revision, AgeMS: now.Sub(move.Beginning()).Milliseconds(),
			Result: move.Result(), Evidence: move.Own(now),
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
		move.Begun(now.Add(-time.Duration(s.AgeMS) * time.Millisecond))
		move.SetOther(instance, s.Evidence, now)
		if s.Result == catalog.ResultTakenBack {
			move.Suspect()
		}
	}
}

// forget drops what an instance saw, where a sum holds it now.
func (m *moves) forget(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, move := range m.running {
		move.Forget(instance)
	}
}
