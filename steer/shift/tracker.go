package shift

import "time"

// Proposal is a write of the record to try now.
type Proposal struct {
	// Record is the new content.
	Record Record
	// ExpectedVersion is the version that the row must still have. 0 means that
	// the row must not exist.
	ExpectedVersion uint64
	// Step is set if the phase or stage of the record changes, and not only its
	// holder or renewal count.
	Step bool
}

// recordTracker holds what one instance knows of a record, and when it last had
// contact with the store and its peers. It implements the rules common to
// shifts and drains: which instance advances the record, and which may act on
// the deadline.
type recordTracker struct {
	self   string
	tuning *Tuning
	// view is the highest record received; row is the record in the table.
	view, row  Record
	rowVersion uint64
	// rowChangedAt is when the row last changed, and storeAnsweredAt is when
	// the store last answered.
	rowChangedAt, storeAnsweredAt time.Time
	// liveInstances are the instances that the platform lists as live.
	// lastReports holds the time of the last report from each peer.
	liveInstances []string
	lastReports   map[string]time.Time
}

// newRecordTracker returns a tracker without a record.
func newRecordTracker(self string, tuning *Tuning) recordTracker {
	return recordTracker{self: self, tuning: tuning, lastReports: make(map[string]time.Time)}
}

// observeRow processes the record as read from the platform's table at now.
func (t *recordTracker) observeRow(now time.Time, row Record, version uint64) {
	t.storeAnsweredAt = now
	if t.rowChangedAt.IsZero() {
		t.rowChangedAt = now
	}
	if version > t.rowVersion {
		t.row = row
		t.rowVersion = version
		t.rowChangedAt = now
	}
}

// advanceView sets the view to r if r supersedes it, and reports whether it
// did.
func (t *recordTracker) advanceView(r Record) bool {
	if !r.supersedes(&t.view) {
		return false
	}
	t.view = r
	return true
}

// rollbackRecord returns the record of a rollback by this instance.
func (t *recordTracker) rollbackRecord(now time.Time, cause Cause, scope Scope, detail string) Record {
	r := t.view
	r.Phase = RolledBack
	r.Since = now
	r.Reason = Reason{Cause: cause, Scope: scope, Instance: t.self, Detail: detail}
	return r
}

// known reports whether the record was received from the store or from a peer.
func (t *recordTracker) known() bool { return !t.storeAnsweredAt.IsZero() || len(t.lastReports) > 0 }

// withinContactTimeout reports whether at is set and no older than the contact
// timeout.
func (t *recordTracker) withinContactTimeout(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= t.tuning.ContactTimeout
}

// reportedRecently reports whether a report of the peer was received within the
// contact timeout.
func (t *recordTracker) reportedRecently(now time.Time, name string) bool {
	return t.withinContactTimeout(now, t.lastReports[name])
}

// connected reports whether the store answered or a majority of the fleet
// reported within the contact timeout.
func (t *recordTracker) connected(now time.Time) bool {
	if t.withinContactTimeout(now, t.storeAnsweredAt) {
		return true
	}
	reporting := 0
	for _, name := range t.liveInstances {
		if name == t.self || t.reportedRecently(now, name) {
			reporting++
		}
	}
	return 2*reporting > len(t.liveInstances)
}

// rollbackDue reports whether this instance must roll back because of the
// deadline. The holder does so earlier, by the guard, because a completion
// recorded later could not reach all instances in time. An instance without
// contact leaves the outcome open, because the fleet may have completed without
// it.
func (t *recordTracker) rollbackDue(now, deadline time.Time) bool {
	if t.view.Settled() || !t.connected(now) {
		return false
	}
	latest := deadline.Add(-t.tuning.ClockSkew)
	if t.row.Holder == t.self {
		latest = deadline.Add(-t.tuning.Guard)
	}
	return !now.Before(latest)
}

// proposal returns the write that this instance should try at now. next returns
// the following record and whether that step is due.
func (t *recordTracker) proposal(now time.Time, next func() (Record, bool)) (Proposal, bool) {
	if !t.withinContactTimeout(now, t.storeAnsweredAt) {
		return Proposal{}, false
	}
	if t.view.Phase == RolledBack && t.row.Phase != RolledBack {
		return t.proposalFor(t.view), true
	}
	if t.row.Phase >= Done {
		return Proposal{}, false
	}
	if t.row.Holder != t.self {
		return t.proposeTakeover(now)
	}
	if r, due := next(); due {
		return t.proposalFor(r), true
	}
	if now.Sub(t.rowChangedAt) >= t.tuning.HolderLease/3 {
		return t.proposalFor(t.row), true
	}
	return Proposal{}, false
}

// proposeTakeover proposes to become the holder of a record that does not exist
// yet or is no longer renewed.
func (t *recordTracker) proposeTakeover(now time.Time) (Proposal, bool) {
	if t.rowVersion > 0 && now.Sub(t.rowChangedAt) < t.tuning.HolderLease {
		return Proposal{}, false
	}
	r := t.row
	if t.rowVersion == 0 {
		r.Since = now
	}
	return t.proposalFor(r), true
}

// proposalFor returns the proposal to write r with this instance as holder.
func (t *recordTracker) proposalFor(r Record) Proposal {
	step := t.rowVersion == 0 || !r.sameStep(&t.row)
	r.Holder = t.self
	r.Renewal = t.row.Renewal + 1
	return Proposal{Record: r, ExpectedVersion: t.rowVersion, Step: step}
}

// waitsForStore returns a wait if the table does not answer or lags behind the
// view.
func (t *recordTracker) waitsForStore(now time.Time) []Wait {
	if !t.withinContactTimeout(now, t.storeAnsweredAt) {
		return []Wait{{WaitStore, "the platform's table does not answer"}}
	}
	if !t.view.sameStep(&t.row) {
		return []Wait{{WaitStore, "the platform's table has not yet the latest step"}}
	}
	return nil
}
