package rollouts

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
	// tableRollouts holds the start times of rollouts, by service.
	tableRollouts = "cardamomfront-moves"
	// readRecordsInterval is the time between two reads of the records while a
	// rollout is in progress.
	readRecordsInterval = time.Second
	// recordTimeout bounds a read or write of records.
	recordTimeout = 2 * time.Second
)

// startRecord is a row of tableRollouts. It outlives the instances that were
// running when the order was given.
type startRecord struct {
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	// StartMS is the store's clock at the start of the rollout, in
	// milliseconds.
	StartMS int64 `json:"begun_ms"`
}

// clockReading is a reading of the store's clock with the local time at which
// it was taken.
type clockReading struct {
	reading time.Duration
	at      time.Time
}

// readingAt returns the store's clock at a local time.
func (c clockReading) readingAt(at time.Time) time.Duration { return c.reading + at.Sub(c.at) }

// localTime returns the local time at which the store's clock was d.
func (c clockReading) localTime(d time.Duration) time.Time { return c.at.Add(d - c.reading) }

// syncRecords reads the records if they may have changed, and records the
// results of rollouts. Any instance that finds a new version worse records the
// rollback; only the leader records starts, completions and expiries.
func (r *Rollouts) syncRecords(ctx context.Context, now time.Time) {
	if r.readDue(now) {
		r.readRecords(ctx)
		r.readStartTimes(ctx)
	}
	for service, ro := range r.pending() {
		evaluation := ro.Evaluate(now)
		switch {
		case ro.Result() == catalog.RolloutRolledBack && !r.rollbackDue(ro, now):
		case ro.Result() == catalog.RolloutRolledBack:
			r.writeRecord(ctx, service, ro, catalog.RolloutRolledBack)
		case !r.fleet.IsLeader():
		case ro.Result() == catalog.RolloutCompleted:
			// A restore of the store has lost the record.
			r.writeRecord(ctx, service, ro, catalog.RolloutCompleted)
		case evaluation.Expired:
			r.writeRecord(ctx, service, ro, catalog.RolloutRolledBack)
		case !r.hasRecord(service, ro):
			r.writeRecord(ctx, service, ro, catalog.RolloutRunning)
		case evaluation.Complete && r.isStartRead(ro):
			r.writeRecord(ctx, service, ro, catalog.RolloutCompleted)
		case evaluation.Abandoned:
			r.log.WithFields(evidenceFields(evaluation)).WithField("service", service).Warn("Evidence on the new version is too thin, rolling back.")
			r.writeRecord(ctx, service, ro, catalog.RolloutRolledBack)
		}
	}
}

// rollbackDue reports whether this instance is to record a rollback now.
func (r *Rollouts) rollbackDue(ro *rollout.Rollout, now time.Time) bool {
	if r.fleet.IsLeader() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.haltedAt[ro]
	if !ok {
		at = now
		r.haltedAt[ro] = now
	}
	return now.Sub(at) >= r.fleet.RecordDelay()
}

// readDue reports whether the records should be read now.
func (r *Rollouts) readDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := !r.recordsLoaded || r.recordsEra < r.ordersEra
	for service, ro := range r.active {
		wanted = wanted || r.isPending(service, ro)
	}
	if !wanted || now.Sub(r.lastRead) < readRecordsInterval {
		return false
	}
	r.lastRead = now
	return true
}

// isPending reports whether a rollout has no final result on record. The caller
// holds mu.
func (r *Rollouts) isPending(service string, ro *rollout.Rollout) bool {
	record := r.records[service]
	return !record.AppliesTo(ro.Order()) || record.Result == catalog.RolloutRunning
}

// pending returns the rollouts without a final result on record. It leaves out
// those whose order and record were read in different eras of the store.
func (r *Rollouts) pending() map[string]*rollout.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := make(map[string]*rollout.Rollout)
	if !r.recordsLoaded {
		return pending
	}
	for service, ro := range r.active {
		if r.isPending(service, ro) && ro.Order().Era == r.recordsEra {
			pending[service] = ro
		}
	}
	return pending
}

// readRecords reads the records.
func (r *Rollouts) readRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, _, table := r.codec.Tables()
	batch, err := r.store.Read(ctx, table)
	if err != nil {
		r.log.WithError(err).Warn("Failed to read the rollout records.")
		return
	}
	records, faults := r.codec.RolloutRecords(batch.ByKey())
	for _, fault := range faults {
		r.log.WithError(fault).Warn("Failed to decode a row, it is ignored.")
	}
	r.setRecords(records, batch)
}

// readStartTimes reads the start times of the recorded rollouts, once for each,
// if this instance is the leader: it may have started after they did. Reports
// pass the start times on to the other instances.
func (r *Rollouts) readStartTimes(ctx context.Context) {
	if !r.fleet.IsLeader() {
		return
	}
	wanted := make(map[string]*rollout.Rollout)
	for service, ro := range r.pending() {
		if r.hasRecord(service, ro) && !r.isStartRead(ro) {
			wanted[service] = ro
		}
	}
	if len(wanted) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	batch, err := r.store.Read(ctx, tableRollouts)
	if err != nil {
		r.log.WithError(err).Warn("Failed to read the start times of rollouts.")
		return
	}
	clock := clockReading{reading: batch.Clock, at: r.now().Add(-batch.Age)}
	for _, row := range batch.Rows {
		var start startRecord
		if err := json.Unmarshal(row.Value, &start); err != nil {
			r.log.WithError(err).WithField("row", row.Key).Warn("Failed to decode a row, it is ignored.")
			continue
		}
		r.applyStart(row.Key, start, clock)
	}
	for service, ro := range wanted {
		if !r.isStartRead(ro) {
			// The rollout was recorded by an instance of an older version.
			r.log.WithField("service", service).Warn("Start time of the rollout is not on record.")
			r.markStartRead(service, ro.Order().Revision)
		}
	}
}

// markStartRead marks a rollout whose start time need not be read any more.
func (r *Rollouts) markStartRead(service string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startRead[service] = revision
}

// applyStart applies the recorded start time of a rollout.
func (r *Rollouts) applyStart(service string, start startRecord, clock clockReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.active[service]
	if ro == nil || ro.Order().Revision != start.Order {
		return
	}
	r.startRead[service] = start.Order
	ro.ObserveStart(clock.localTime(time.Duration(start.StartMS) * time.Millisecond))
	r.log.WithFields(logrus.Fields{
		"service": service, "to": ro.Order().To, "age_ms": clock.at.Sub(ro.StartTime()).Milliseconds(), "revision": start.Order,
	}).Info("Start time of the rollout read.")
}

// isStartRead reports whether the recorded start time of a rollout has been
// read.
func (r *Rollouts) isStartRead(ro *rollout.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startRead[ro.Order().Service] == ro.Order().Revision
}

// hasRecord reports whether the store has a record of a rollout.
func (r *Rollouts) hasRecord(service string, ro *rollout.Rollout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[service].AppliesTo(ro.Order())
}

// writeRecord writes a result on the condition that the record is unchanged
// since it was read and that the order is still in force.
func (r *Rollouts) writeRecord(ctx context.Context, service string, ro *rollout.Rollout, result catalog.RolloutResult) {
	r.mu.Lock()
	known, clock := r.records[service], r.clock
	r.mu.Unlock()
	order := ro.Order()
	log := r.log.WithFields(logrus.Fields{"service": service, "to": order.To, "result": result.String(), "on_revision": known.Revision, "order": order.Revision})
	change, err := r.recordChange(service, order, catalog.RolloutRecord{To: order.To, Result: result, Era: order.Era, Revision: known.Revision})
	if err == nil && result == catalog.RolloutRunning {
		err = addStart(&change, service, startRecord{Order: order.Revision, StartMS: clock.readingAt(ro.StartTime()).Milliseconds()})
	}
	if err != nil {
		log.WithError(err).Error("Failed to encode the rollout record.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err = r.store.Write(ctx, change)
	var conflict *registry.ConflictError
	switch {
	case err == nil:
		log.WithFields(evidenceFields(ro.Evaluate(r.now()))).Info("Rollout record written.")
		// The operators may act on the record even if a restore of the store
		// loses it before it is read.
		ro.ApplyRecord(result)
	case !errors.As(err, &conflict):
		log.WithError(err).Warn("Failed to write the rollout record.")
	}
	r.readRecords(ctx)
}

// recordChange returns the change that writes a record if the stored one still
// has the revision in record and the order is unchanged.
func (r *Rollouts) recordChange(service string, order catalog.RolloutOrder, record catalog.RolloutRecord) (registry.Change, error) {
	key, value, err := r.codec.EncodeRolloutRecord(service, record)
	operator, _, table := r.codec.Tables()
	row := registry.RowName{Table: table, Key: key}
	return registry.Change{
		Era: record.Era,
		Conditions: []registry.Condition{
			{RowName: row, Revision: record.Revision},
			{RowName: registry.RowName{Table: operator, Key: order.Key}, Revision: order.Revision},
		},
		Rows: []registry.NewRow{{RowName: row, Value: value}},
	}, err
}

// addStart adds a rollout's start time to the change that first records the
// rollout.
func addStart(c *registry.Change, service string, start startRecord) error {
	value, err := json.Marshal(start)
	if err == nil {
		c.Rows = append(c.Rows, registry.NewRow{RowName: registry.RowName{Table: tableRollouts, Key: service}, Value: value})
	}
	return err
}

// applyRecord applies the record of a rollout, if there is one. The caller
// holds mu.
func (r *Rollouts) applyRecord(ro *rollout.Rollout) {
	if record := r.records[ro.Order().Service]; record.AppliesTo(ro.Order()) {
		ro.ApplyRecord(record.Result)
	}
}

// isRecordGone reports whether a known record that a read has not returned is to
// be forgotten. The caller holds mu.
func (r *Rollouts) isRecordGone(service string, known catalog.RolloutRecord, b registry.Batch) bool {
	if known.Era == b.Era {
		return known.Revision <= b.Revision
	}
	// A restore of the store has lost it. The result of a rollout whose order is
	// not in force any more stays known: nobody records it again.
	return r.active[service] != nil
}

// setRecords applies the records that a read of the whole table has returned.
func (r *Rollouts) setRecords(records map[string]catalog.RolloutRecord, b registry.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordsLoaded = true
	r.clock = clockReading{reading: b.Clock, at: r.now().Add(-b.Age)}
	if b.Era < r.recordsEra {
		return // a late response
	}
	r.recordsEra = b.Era
	for service, previous := range r.records {
		if _, ok := records[service]; !ok && r.isRecordGone(service, previous, b) {
			delete(r.records, service)
		}
	}
	for service, record := range records {
		if previous := r.records[service]; previous.Era == record.Era && previous.Revision >= record.Revision {
			continue
		}
		r.records[service] = record
		r.log.WithFields(logrus.Fields{"service": service, "to": record.To, "result": record.Result.String(), "revision": record.Revision}).Info("Rollout record read.")
		if ro := r.active[service]; ro != nil {
			r.applyRecord(ro)
		}
	}
}
