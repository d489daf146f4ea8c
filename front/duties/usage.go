package duties

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/duty"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// maxDataBytes bounds the encoded counts of one payload. A hub of 300 instances
// with 85 teams sends 330 KB a second to the other hub of its failure domain.
const maxDataBytes = 1 << 20

// maxDataCounts bounds the counts of one payload; later ones follow in the next.
// With short team names they take about half of maxDataBytes. All counts that a hub of
// 300 instances knows may take more than maxDataBytes, as when its fellow starts.
const maxDataCounts = 30_000

// clockError bounds how far the wall clocks of two instances differ.
const clockError = time.Second

// usageDuty reports how many requests of each team began to run in each window.
type usageDuty struct {
	settings UsageSettings
	address  string
	platform Platform
	plan     *usage.Plan
	metrics  *metrics
	log      logrus.FieldLogger

	mu      sync.Mutex // guards counter
	counter *usage.Counter
}

func newUsageDuty(s Settings, own usage.Source, p Platform, m *metrics, log logrus.FieldLogger) *usageDuty {
	return &usageDuty{
		settings: s.Usage, address: s.Address, platform: p, metrics: m, log: log,
		plan: usage.NewPlan(s.Usage.window()), counter: usage.NewCounter(own, s.Usage.window()),
	}
}

// count counts one request of a team that began to run at a time.
func (u *usageDuty) count(began time.Time, team string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Add(began, team)
}

// counts returns how many requests and counts were not taken in.
func (u *usageDuty) counts() (late, ignored int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.Late(), u.counter.Ignored()
}

// Kind implements Duty.
func (u *usageDuty) Kind() Kind { return KindUsage }

// Interval implements Duty.
func (u *usageDuty) Interval() time.Duration { return u.settings.window() }

// Prepare implements Duty. A state that can't be decoded counts as one that a
// restore of the store has lost, so that no window is reported with two counts.
func (u *usageDuty) Prepare(now time.Time, row duty.Row, restoredAt time.Time) (json.RawMessage, time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	state, err := usage.DecodeState(row.State)
	if err != nil {
		u.log.WithError(err).Error("Failed to decode the state of the duty, windows that may have been reported are skipped.")
		state, restoredAt = usage.State{}, now
	}
	next, changed := u.plan.Prepare(now, state, restoredAt, u.total)
	if !changed && err == nil {
		return nil, time.Time{}, false
	}
	if skipped := next.Skipped - state.Skipped; skipped > 0 {
		u.metrics.skip(KindUsage, skipped)
		u.log.WithField("windows", skipped).Warn("Windows are skipped, they are too old or may have been reported.")
	}
	encoded, err := next.Encode()
	if err != nil {
		u.log.WithError(err).Error("Failed to encode the state of the duty.")
		return nil, time.Time{}, false
	}
	return encoded, u.plan.Due(next), true
}

// total returns the counts of a window and logs them. The caller holds mu.
func (u *usageDuty) total(window int64) usage.Counts {
	counts := u.counter.Total(window)
	sources, domains := u.counter.Sources(window)
	u.log.WithFields(logrus.Fields{
		"window": window, "teams": len(counts), "requests": sum(counts), "sources": sources, "domains": domains,
		"age_ms": time.Since(usage.End(window, u.settings.window())).Milliseconds(),
	}).Info("Usage of a window summed up.")
	return counts
}

func sum(counts usage.Counts) int64 {
	n := int64(0)
	for _, count := range counts {
		n += count
	}
	return n
}

// Confirmed implements Duty.
func (u *usageDuty) Confirmed(now time.Time, row duty.Row, restoredAt time.Time) error {
	state, err := usage.DecodeState(row.State)
	if err != nil {
		return err
	}
	u.plan.Confirmed(now, state, restoredAt)
	u.close(state.Next - 1)
	return nil
}

// Heard implements Duty.
func (u *usageDuty) Heard(due time.Time) {
	recorded := u.plan.RecordedTo(due)
	if usage.End(recorded, u.settings.window()).After(time.Now().Add(clockError)) {
		return // a window that has not ended can't have been recorded
	}
	u.plan.Recorded(recorded)
	u.close(recorded)
}

// close closes the windows that have been recorded, and those that are too old.
func (u *usageDuty) close(recorded int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Close(recorded)
	u.counter.Forget(time.Now())
}

// Pending implements Duty.
func (u *usageDuty) Pending(row duty.Row, restoredAt time.Time) []Call {
	state, err := usage.DecodeState(row.State)
	if err != nil {
		return nil // Confirmed has returned the error
	}
	var calls []Call
	for _, r := range u.plan.Pending(state, restoredAt) {
		calls = append(calls, Call{
			ID:        r.Window,
			Send:      func(ctx context.Context, f Fence) error { return u.platform.ReportUsage(ctx, f, r) },
			Delivered: func(f Fence) { u.delivered(r, f) },
		})
	}
	return calls
}

// delivered records that the platform has accepted a report.
func (u *usageDuty) delivered(r usage.Record, f Fence) {
	u.plan.Delivered(r.Window)
	age := time.Since(usage.End(r.Window, u.settings.window()))
	late := u.settings.Late > 0 && age > seconds(u.settings.Late)
	if late {
		u.metrics.lateReport(KindUsage)
	}
	u.log.WithFields(logrus.Fields{
		"window": r.Window, "teams": len(r.Counts), "requests": sum(r.Counts), "holder": f.Holder, "token": f.Token,
		"age_ms": age.Milliseconds(), "late": late,
	}).Info("Usage of a window reported.")
}

// Since implements Sharer.
func (u *usageDuty) Since(change uint64, to Relation) (json.RawMessage, uint64) {
	var scope usage.Scope
	switch to {
	case RelationOther:
		return nil, change
	case RelationCollector:
		scope = usage.Own
	case RelationFellowHub:
		scope = usage.All
	case RelationRemoteHub:
		scope = usage.DomainSum
	}
	for limit := maxDataCounts; limit > 0; limit /= 4 {
		u.mu.Lock()
		delta, next := u.counter.SinceLimited(change, scope, limit)
		u.mu.Unlock()
		if delta.Empty() {
			return nil, next
		}
		data, err := json.Marshal(delta)
		if err != nil {
			u.log.WithError(err).Error("Failed to encode counts for another instance.")
			return nil, change
		}
		if len(data) <= maxDataBytes {
			return data, next
		}
	}
	return nil, change // no count is as large
}

// Merge implements Sharer.
func (u *usageDuty) Merge(now time.Time, data json.RawMessage) error {
	if len(data) > maxDataBytes {
		return &tooLargeError{bytes: len(data)}
	}
	var delta usage.Delta
	if err := json.Unmarshal(data, &delta); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Merge(now, delta)
	return nil
}
