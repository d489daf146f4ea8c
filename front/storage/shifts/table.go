package shifts

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// syncRecords reads all records and attempts the writes that are due.
func (m *Manager) syncRecords(ctx context.Context) {
	movements := m.set.Load().movements
	if len(movements) == 0 {
		return
	}
	rows, readStart, ok := m.readRecords(ctx)
	if !ok {
		return
	}
	for _, mv := range movements {
		row := rows[mv.name]
		record, err := decodeRecord(row)
		if err != nil {
			m.log.WithError(err).WithField("movement", mv.name).Error("Failed to decode record.")
			continue
		}
		mv.ObserveRecord(readStart, record, row.Version)
		m.commitProposal(ctx, mv)
	}
}

// readRecords returns the rows of all records by name and the time at which the
// read started. The rows were current at some time after that.
func (m *Manager) readRecords(ctx context.Context) (map[string]storage.Row, time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readStart := time.Now()
	rows, err := m.table.Scan(ctx, recordPrefix(m.settings.Environment))
	if err != nil {
		m.metrics.countTableFailure(ctx, "scan")
		m.log.WithError(err).Debug("Failed to read records.")
		return nil, readStart, false
	}
	byName := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		byName[recordName(m.settings.Environment, row.Key)] = row
	}
	return byName, readStart, true
}

// decodeRecord returns the record in a row. A missing row yields the zero
// record, which is pending.
func decodeRecord(row storage.Row) (shift.Record, error) {
	var r shift.Record
	if row.Version == 0 {
		return r, nil
	}
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// commitProposal attempts the write that is due for a movement, if any. If the
// response is lost, the next read of the records shows whether the write
// succeeded.
func (m *Manager) commitProposal(ctx context.Context, mv *movement) {
	now := time.Now()
	p, due := mv.Propose(now)
	if !due {
		return
	}
	writes, err := m.proposalWrites(now, mv, p)
	if err != nil {
		m.log.WithError(err).Error("Failed to encode record.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := m.table.Commit(ctx, writes)
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		mv.ObserveRecord(now, p.Record, versions[0])
		m.announceStep(ctx, mv, p)
	case errors.As(err, &conflict):
		m.metrics.countConflict(ctx, mv.kind)
		m.observeConflict(now, mv, conflict.Actual)
	default:
		m.metrics.countTableFailure(ctx, "commit")
		m.log.WithError(err).WithField("movement", mv.name).Warn("Failed to write record, or the outcome is unknown.")
	}
}

// observeConflict applies the record that another instance wrote in the
// meantime.
func (m *Manager) observeConflict(now time.Time, mv *movement, actual storage.Row) {
	if actual.Key != recordKey(m.settings.Environment, mv.name) {
		return
	}
	if record, err := decodeRecord(actual); err == nil {
		mv.ObserveRecord(now, record, actual.Version)
	}
}

// announceStep counts and logs a recorded step and triggers a report to the
// peers.
func (m *Manager) announceStep(ctx context.Context, mv *movement, p shift.Proposal) {
	if !p.Step {
		return
	}
	signal(m.urgentReport)
	m.metrics.countStep(ctx, mv.kind, p.Record)
	entry := m.log.WithFields(logrus.Fields{
		"kind":     mv.kind,
		"movement": mv.name,
		"subject":  mv.subject,
		"phase":    p.Record.Phase.String(),
		"stage":    p.Record.Stage,
	})
	if p.Record.Phase == shift.RolledBack {
		entry.WithField("reason", p.Record.Reason.Detail).Warn("Movement rolled back.")
		return
	}
	entry.Info("Movement advanced.")
}
