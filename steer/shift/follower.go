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

// follower keeps what one instance knows of a record and of its own contact with
// the store and the fleet. It holds the rules that shifts and drains share: who
// advances the record, and who may act on the deadline.
type follower struct {
	self   string
	tuning *Tuning
	// view is the highest outcome known; row is the table's record.
	view, row  Record
	rowVersion uint64
	// rowChanged and storeHeard are when the row last changed and when the
	// store last answered.
	rowChanged, storeHeard time.Time
	// listed are the live instances; heard is when each peer last spoke.
	listed []string
	heard  map[string]time.Time
}

// newFollower returns a follower that knows nothing.
func newFollower(self string, tuning *Tuning) follower {
	return follower{self: self, tuning: tuning, heard: make(map[string]time.Time)}
}

// seeRow takes the table's record as read at now.
func (f *follower) seeRow(now time.Time, row Record, version uint64) {
	f.storeHeard = now
	if f.rowChanged.IsZero() {
		f.rowChanged = now
	}
	if version > f.rowVersion {
		f.row = row
		f.rowVersion = version
		f.rowChanged = now
	}
}

// rise moves the view up to r and reports whether r stood higher.
func (f *follower) rise(r Record) bool {
	if !r.above(&f.view) {
		return false
	}
	f.view = r
	return true
}

// takenBack returns the record of a take-back by this instance.
func (f *follower) takenBack(now time.Time, cause Cause, scope Scope, detail string) Record {
	r := f.view
	r.Phase = RolledBack
	r.Since = now
	r.Reason = Reason{Cause: cause, Scope: scope, Instance: f.self, Detail: detail}
	return r
}

// known reports whether the store or a peer has told of the record.
func (f *follower) known() bool { return !f.storeHeard.IsZero() || len(f.heard) > 0 }

// recent reports whether t lies within the contact limit.
func (f *follower) recent(now, t time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= f.tuning.ContactTimeout
}

// heardFrom reports whether the peer was heard lately.
func (f *follower) heardFrom(now time.Time, name string) bool {
	return f.recent(now, f.heard[name])
}

// inTouch reports whether the store or most of the fleet was heard lately.
func (f *follower) inTouch(now time.Time) bool {
	if f.recent(now, f.storeHeard) {
		return true
	}
	heard := 0
	for _, name := range f.listed {
		if name == f.self || f.heardFrom(now, name) {
			heard++
		}
	}
	return 2*heard > len(f.listed)
}

// overdue reports whether this instance must take the move back because of its
// deadline. The holder does so earlier, when completion can no longer be known
// everywhere in time. An instance that is out of touch leaves the outcome open:
// the fleet may have completed without it.
func (f *follower) overdue(now, deadline time.Time) bool {
	if f.view.Settled() || !f.inTouch(now) {
		return false
	}
	last := deadline.Add(-f.tuning.ClockSkew)
	if f.row.Holder == f.self {
		last = deadline.Add(-f.tuning.Guard)
	}
	return !now.Before(last)
}

// proposal returns the write that this instance should try at now. next gives the
// record after the present one and whether it is due.
func (f *follower) proposal(now time.Time, next func() (Record, bool)) (Proposal, bool) {
	if !f.recent(now, f.storeHeard) {
		return Proposal{}, false
	}
	if f.view.Phase == RolledBack && f.row.Phase != RolledBack {
		return f.write(f.view), true
	}
	if f.row.Phase >= Done {
		return Proposal{}, false
	}
	if f.row.Holder != f.self {
		return f.claim(now)
	}
	if r, due := next(); due {
		return f.write(r), true
	}
	if now.Sub(f.rowChanged) >= f.tuning.HolderLease/3 {
		return f.write(f.row), true
	}
	return Proposal{}, false
}

// claim proposes to take over a record that nobody advances.
func (f *follower) claim(now time.Time) (Proposal, bool) {
	if f.rowVersion > 0 && now.Sub(f.rowChanged) < f.tuning.HolderLease {
		return Proposal{}, false
	}
	r := f.row
	if f.rowVersion == 0 {
		r.Since = now
	}
	return f.write(r), true
}

// write builds the write of r by this instance.
func (f *follower) write(r Record) Proposal {
	step := f.rowVersion == 0 || !r.sameStep(&f.row)
	r.Holder = f.self
	r.Renewal = f.row.Renewal + 1
	return Proposal{Record: r, ExpectedVersion: f.rowVersion, Step: step}
}

// waitsForStore says whether the table is out of reach or behind.
func (f *follower) waitsForStore(now time.Time) []Wait {
	if !f.recent(now, f.storeHeard) {
		return []Wait{{WaitStore, "the platform's table does not answer"}}
	}
	if !f.view.sameStep(&f.row) {
		return []Wait{{WaitStore, "the platform's table has not yet the latest step"}}
	}
	return nil
}
