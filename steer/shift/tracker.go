package shift

import "time"

// Proposal is a write of the record that should be tried now.
type Proposal struct {
	// Record is the new content.
	Record Record
	// ExpectedVersion is the version that the row must still have; 0 means that it
	// must not exist.
	ExpectedVersion uint64
	// Step says that the record's phase or stage changes, as opposed to its
	// holder or renewal.
	Step bool
}

// recordTracker keeps what one instance knows of a record and of its own contact with
// the store and the fleet. It holds the rules that shifts and drains share: who
// advances the record, and who may act on the deadline.
type recordTracker struct {
	self   string
	tuning *Tuning
	// view is the highest outcome known; row is the table's record.
	view, row  Record
	rowVersion uint64
	// rowChangedAt and storeAnsweredAt are when the row last changed and when the
	// store last answered.
	rowChangedAt, storeAnsweredAt time.Time
	// liveInstances are the live instances; heard is when each peer last spoke.
	liveInstances []string
	lastReports   map[string]time.Time
}

// newRecordTracker returns a follower that knows nothing.
func newRecordTracker(self string, tuning *Tuning) recordTracker {
	return recordTracker{self: self, tuning: tuning, lastReports: make(map[string]time.Time)}
}

// observeRow takes the table's record as read at now.
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

// advanceView moves the view up to r and reports whether r stood higher.
func (t *recordTracker) advanceView(r Record) bool {
	if !r.supersedes(&t.view) {
		return false
	}
	t.view = r
	return true
}

// rollbackRecord returns the record of a take-back by this instance.
func (t *recordTracker) rollbackRecord(now time.Time, cause Cause, scope Scope, detail string) Record {
	r := t.view
	r.Phase = RolledBack
	r.Since = now
	r.Reason = Reason{Cause: cause, Scope: scope, Instance: t.self, Detail: detail}
	return r
}

// known reports whether the store or a peer has told of the record.
func (t *recordTracker) known() bool { return !t.storeAnsweredAt.IsZero() || len(t.lastReports) > 0 }

// withinContactTimeout reports whether t lies within the contact limit.
func (t *recordTracker) withinContactTimeout(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= t.tuning.ContactTimeout
}

// reportedRecently reports whether the peer was heard lately.
func (t *recordTracker) reportedRecently(now time.Time, name string) bool {
	return t.withinContactTimeout(now, t.lastReports[name])
}

// connected reports whether the store or most of the fleet was heard lately.
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

// rollbackDue reports whether this instance must take the move back because of its
// deadline. The holder does so earlier, when completion can no longer be known
// everywhere in time. An instance that is out of touch leaves the outcome open:
// the fleet may have completed without it.
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

// proposal returns the write that this instance should try at now. next gives the
// record after the present one and whether it is due.
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

// proposeTakeover proposes to take over a record that nobody advances.
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

// proposalFor builds the proposalFor of r by this instance.
func (t *recordTracker) proposalFor(r Record) Proposal {
	step := t.rowVersion == 0 || !r.sameStep(&t.row)
	r.Holder = t.self
	r.Renewal = t.row.Renewal + 1
	return Proposal{Record: r, ExpectedVersion: t.rowVersion, Step: step}
}

// waitsForStore says whether the table is out of reach or behind.
func (t *recordTracker) waitsForStore(now time.Time) []Wait {
	if !t.withinContactTimeout(now, t.storeAnsweredAt) {
		return []Wait{{WaitStore, "the platform's table does not answer"}}
	}
	if !t.view.sameStep(&t.row) {
		return []Wait{{WaitStore, "the platform's table has not yet the latest step"}}
	}
	return nil
}
