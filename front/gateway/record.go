package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

const (
	// tableMoves holds when moves began, by service.
	tableMoves = "cardamomfront-moves"
	// readOutcomesEvery is the time between two readings of recorded outcomes
	// while a move is under way.
	readOutcomesEvery = time.Second
	// recordTimeout bounds the recording of an outcome.
	recordTimeout = 2 * time.Second
)

// beginning is a row of tableMoves. It outlives the instances that saw the order
// come.
type beginning struct {
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	// BegunMS is what the store's clock showed at the beginning.
	BegunMS int64 `json:"begun_ms"`
}

// storeClock is what the store's clock showed at a moment of this process.
type storeClock struct {
	shows time.Duration
	at    time.Time
}

// of returns what the store's clock showed at a moment.
func (c storeClock) of(at time.Time) time.Duration { return c.shows + at.Sub(c.at) }

// moment returns when the store's clock showed a time.
func (c storeClock) moment(shown time.Duration) time.Time { return c.at.Add(shown - c.shows) }

// step reads outcomes where they may have changed, and records what was judged.
// A bad version is recorded by whoever finds it; what time decides, by one.
func (m *moves) step(ctx context.Context, now time.Time) {
	if m.due(now) {
		m.readRecorded(ctx)
		m.readBeginnings(ctx)
	}
	for service, move := range m.unrecorded() {
		j := move.Evaluate(now)
		switch {
		case move.Result() == catalog.RolloutRolledBack:
			m.record(ctx, service, move, catalog.RolloutRolledBack)
		case !m.leads():
		case j.Expired:
			m.record(ctx, service, move, catalog.RolloutRolledBack)
		case !m.announced(service, move):
			m.record(ctx, service, move, catalog.RolloutRunning)
		case j.Complete && m.isPlaced(move):
			m.record(ctx, service, move, catalog.RolloutCompleted)
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
	if !wanted || now.Sub(m.asked) < readOutcomesEvery {
		return false
	}
	m.asked = now
	return true
}

// pending says whether a move has no final outcome on record. The caller holds
// mu.
func (m *moves) pending(service string, move *rollout.Rollout) bool {
	r := m.recorded[service]
	return !r.AppliesTo(move.Order()) || r.Result == catalog.RolloutRunning
}

// unrecorded returns the moves without a final outcome on record.
func (m *moves) unrecorded() map[string]*rollout.Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := make(map[string]*rollout.Rollout)
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
	_, _, table := m.codec.Tables()
	batch, err := m.store.Read(ctx, table)
	if err != nil {
		m.log.WithError(err).Warn("Outcomes could not be read.")
		return
	}
	outcomes, faults := m.codec.RolloutRecords(batch.ByKey())
	for _, fault := range faults {
		m.log.WithError(fault).Warn("Row passed over.")
	}
	m.setRecorded(outcomes, batch)
}

// readBeginnings reads when the announced moves began, once for each, where this
// instance records their outcome: it may have met them late. It tells the
// others.
func (m *moves) readBeginnings(ctx context.Context) {
	if !m.leads() {
		return
	}
	wanted := make(map[string]*rollout.Rollout)
	for service, move := range m.unrecorded() {
		if m.announced(service, move) && !m.isPlaced(move) {
			wanted[service] = move
		}
	}
	if len(wanted) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	batch, err := m.store.Read(ctx, tableMoves)
	if err != nil {
		m.log.WithError(err).Warn("Beginnings of moves could not be read.")
		return
	}
	clock := storeClock{shows: batch.Clock, at: m.now()}
	for _, row := range batch.Rows {
		var b beginning
		if err := json.Unmarshal(row.Value, &b); err != nil {
			m.log.WithError(err).WithField("row", row.Key).Warn("Row passed over.")
			continue
		}
		m.place(row.Key, b, clock)
	}
	for service, move := range wanted {
		if !m.isPlaced(move) {
			// An instance of an older version announced it.
			m.log.WithField("service", service).Warn("Beginning of the move is not on record.")
			m.setPlaced(service, move.Order().Revision)
		}
	}
}

// setPlaced notes that no more is to be learned of a move's beginning.
func (m *moves) setPlaced(service string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placed[service] = revision
}

// place takes in when a move began.
func (m *moves) place(service string, b beginning, clock storeClock) {
	m.mu.Lock()
	defer m.mu.Unlock()
	move := m.running[service]
	if move == nil || move.Order().Revision != b.Order {
		return
	}
	m.placed[service] = b.Order
	move.ObserveStart(clock.moment(time.Duration(b.BegunMS) * time.Millisecond))
	m.log.WithFields(logrus.Fields{
		"service": service, "to": move.Order().To, "age_ms": clock.at.Sub(move.StartTime()).Milliseconds(), "revision": b.Order,
	}).Info("Beginning of the move read.")
}

// isPlaced says whether the recorded beginning of a move is known.
func (m *moves) isPlaced(move *rollout.Rollout) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placed[move.Order().Service] == move.Order().Revision
}

// announced says whether it is on record that a move is under way.
func (m *moves) announced(service string, move *rollout.Rollout) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recorded[service].AppliesTo(move.Order())
}

// record writes an outcome on the condition that the record is as it was read
// and that the order is still in force.
func (m *moves) record(ctx context.Context, service string, move *rollout.Rollout, result catalog.RolloutResult) {
	m.mu.Lock()
	known, clock := m.recorded[service], m.clock
	m.mu.Unlock()
	o := move.Order()
	log := m.log.WithFields(logrus.Fields{"service": service, "to": o.To, "result": result.String(), "on_revision": known.Revision, "order": o.Revision})
	change, err := m.changeTo(service, o, catalog.RolloutRecord{To: o.To, Result: result, Revision: known.Revision})
	if err == nil && result == catalog.RolloutRunning {
		err = addBeginning(&change, service, beginning{Order: o.Revision, BegunMS: clock.of(move.StartTime()).Milliseconds()})
	}
	if err != nil {
		log.WithError(err).Error("Outcome can't be encoded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err = m.store.Write(ctx, change)
	var conflict *registry.ConflictError
	switch {
	case err == nil:
		log.Info("Outcome written.")
	case !errors.As(err, &conflict):
		log.WithError(err).Warn("Outcome could not be recorded.")
	}
	m.readRecorded(ctx)
}

// changeTo returns the change of the record from the revision that an outcome
// names.
func (m *moves) changeTo(service string, order catalog.RolloutOrder, to catalog.RolloutRecord) (registry.Change, error) {
	key, value, err := m.codec.EncodeRolloutRecord(service, to)
	operator, _, table := m.codec.Tables()
	row := registry.RowName{Table: table, Key: key}
	return registry.Change{
		Conditions: []registry.Condition{
			{RowName: row, Revision: to.Revision},
			{RowName: registry.RowName{Table: operator, Key: order.Key}, Revision: order.Revision},
		},
		Rows: []registry.NewRow{{RowName: row, Value: value}},
	}, err
}

// addBeginning adds a move's beginning to the change that announces it.
func addBeginning(c *registry.Change, service string, b beginning) error {
	value, err := json.Marshal(b)
	if err == nil {
		c.Rows = append(c.Rows, registry.NewRow{RowName: registry.RowName{Table: tableMoves, Key: service}, Value: value})
	}
	return err
}

// settle applies a recorded outcome to the move that it belongs to. The caller
// holds mu.
func (m *moves) settle(move *rollout.Rollout) {
	if r := m.recorded[move.Order().Service]; r.AppliesTo(move.Order()) {
		move.ApplyRecord(r.Result)
	}
}

// setRecorded takes in the recorded outcomes, which are all that a reading held.
func (m *moves) setRecorded(outcomes map[string]catalog.RolloutRecord, b registry.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loaded = true
	m.clock = storeClock{shows: b.Clock, at: m.now()}
	for service, former := range m.recorded {
		if _, ok := outcomes[service]; !ok && former.Revision <= b.Revision {
			delete(m.recorded, service)
		}
	}
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
