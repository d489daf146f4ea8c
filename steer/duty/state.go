package duty

import "time"

// State is the state of one duty at one instance.
type State struct {
	settings Settings

	// row is the row as last read or confirmed, readAt the time of the last read.
	row    Row
	known  bool
	readAt time.Time

	// news is the latest version of the row that is known from any source, newsAt
	// the time at which it became known.
	news   Notice
	heard  bool
	newsAt time.Time
	// doubted is the version of a notice that a read has not shown.
	doubted Notice

	// overdueAt is when the next action is overdue, for rank 0.
	overdueAt     time.Time
	noClaimBefore time.Time

	// era is the latest era that is known.
	era uint64
	// restoredAt is when, by the wall clock, this version of a restored state was
	// read.
	restoredAt time.Time

	// held is set while the instance knows that row has its own claim.
	held       bool
	leaseStart Clock
	pending    bool

	// writing is set while the write of the row write is in flight. firstStart is
	// the start of the first write on the condition of the version base.
	writing    bool
	write      Row
	writeStart Clock
	base       Notice
	firstStart Clock

	// leaving is set once the process is about to stop, released from the start of the
	// write that gives up the claim.
	leaving  bool
	released bool

	needRead bool
	refused  uint64 // highest refused token
	refusals int

	notBefore time.Time
	backoff   time.Duration
}

// New returns the state of a process that starts.
func New(now Clock, settings Settings) *State {
	return &State{settings: settings, overdueAt: now.Mono.Add(startDelay)}
}

// Next returns the store call that is needed now. rank is the instance's place
// among the live instances that reach the store, in the order of their names; -1
// if it is not among them.
func (s *State) Next(now Clock, rank int) Action {
	switch {
	case s.writing || now.Mono.Before(s.notBefore):
		return Action{}
	case s.needRead:
		return Action{Kind: Read}
	case s.held && s.leaving:
		write := s.row
		write.Released = true
		return Action{Kind: Release, Write: write}
	case s.held:
		return s.nextOfHolder(now)
	case rank < 0 || s.leaving:
		return Action{}
	}
	return s.nextOfCandidate(now, rank)
}

func (s *State) nextOfHolder(now Clock) Action {
	write := s.row
	if now.Wall.UnixMilli() >= s.row.Due {
		write.StateEra = write.Era
		return Action{Kind: Act, Write: write}
	}
	if s.pending && !s.leased(now) {
		return Action{Kind: Renew, Write: write}
	}
	return Action{}
}

func (s *State) nextOfCandidate(now Clock, rank int) Action {
	if s.heard && s.news.Holder == s.settings.Holder && s.news.Started <= s.settings.Started {
		// Its own claim, or that of an earlier process of the instance, has ended.
		rank = 0
	}
	overdueAt := s.overdueAt.Add(time.Duration(rank) * rankDelay)
	if now.Mono.Before(overdueAt) {
		return Action{}
	}
	if !s.known || s.readAt.Before(overdueAt) || s.news.after(s.row.notice()) {
		return Action{Kind: Read}
	}
	if now.Mono.Before(s.noClaimBefore) {
		return Action{}
	}
	// The lease of a released claim has ended: no call was made after the release began.
	released := s.row.valid() && s.row.Released
	if !s.settings.RequireFence && s.row.Revision != 0 && !released && now.Mono.Before(s.newsAt.Add(s.settings.Lease+leaseMargin)) {
		return Action{}
	}
	claim := s.row
	claim.Holder, claim.Started, claim.Token, claim.Released = s.settings.Holder, s.settings.Started, s.row.nextToken(), false
	if claim.Token <= s.refused {
		// The platform has seen a token that the store has lost.
		claim.Token = s.refused + 1<<min(s.refusals-1, maxTokenStep)
	}
	return Action{Kind: Claim, Write: claim}
}

// Begin records that the write of a row starts.
func (s *State) Begin(now Clock, write Row) {
	s.writing, s.write, s.writeStart = true, write, now
	s.released = s.released || write.Released
	if base := (Notice{Revision: write.Revision, Era: write.Era}); base != s.base || s.firstStart.Mono.IsZero() {
		s.base, s.firstStart = base, now
	}
}

// Written applies the result of the write that Begin recorded.
func (s *State) Written(now Clock, result Result) {
	s.writing = false
	switch result.Outcome {
	case Applied:
		if s.write.Era < s.era {
			s.held, s.needRead = false, true
			return
		}
		s.backoff = 0
		s.row = s.write
		s.row.Revision = result.Revision
		s.held, s.leaseStart = s.row.Token > s.refused && !s.row.Released, s.writeStart
		s.base, s.firstStart = Notice{}, Clock{}
		s.needRead = !s.held && !s.row.Released || result.Revision == 0
		if result.Revision != 0 {
			s.learn(now, s.row.notice(), false)
		}
		version := s.row.notice()
		version.Revision = max(version.Revision, s.write.Revision)
		if s.news.after(version) && s.news.Token != s.row.Token {
			// A notice of a later claim came before the answer.
			s.held, s.needRead = false, true
		}
	case Conflict:
		s.held, s.needRead = false, true
	case Rejected:
		s.fail(now)
	default:
		s.needRead = true
	}
}

// Observe applies a read of the row. The read must come from the store itself and
// have started after the last write ended. For a row that does not exist, row has
// only the era.
func (s *State) Observe(now Clock, row Row) {
	if row.Era < s.era {
		s.ReadFailed(now)
		return
	}
	s.needRead, s.backoff = false, 0
	s.learn(now, row.notice(), true)
	s.doubt(now, row.notice())
	version := Notice{Revision: row.Revision, Era: row.Era}
	own := row.valid() && !row.Released && row.Holder == s.settings.Holder && row.Started == s.settings.Started
	if !own && (!s.known || row.notice().after(s.row.notice())) {
		s.restoredAt = now.Wall
	}
	s.row, s.known, s.readAt = row, true, now.Mono
	switch {
	case own && row.Token <= s.refused:
		s.held, s.overdueAt = false, now.Mono
	case own:
		if version.after(s.base) && !s.firstStart.Mono.IsZero() {
			// One of the writes since firstStart has been applied.
			s.leaseStart = s.firstStart
		}
		s.held = true
	default:
		s.held = false
	}
	if s.firstStart.Mono.IsZero() {
		return
	}
	if version == s.base {
		// The write has not been applied so far, and may be repeated.
		s.fail(now)
		return
	}
	s.base, s.firstStart = Notice{}, Clock{}
}

// doubt compares a version that was read with the latest one that is known. The first
// read may have started before a notice's write. A second one that does not show the
// version proves the notice wrong, and it would otherwise prevent all claims.
func (s *State) doubt(now Clock, read Notice) {
	if !s.news.after(read) {
		return
	}
	if s.news != s.doubted {
		s.doubted = s.news
		s.fail(now)
		return
	}
	s.heard = false
	s.learn(now, read, true)
}

// ReadFailed records that the row could not be read.
func (s *State) ReadFailed(now Clock) { s.fail(now) }

// Hear applies a notice of another instance.
func (s *State) Hear(now Clock, n Notice) {
	if n.Era < s.era || s.heard && !n.after(s.news) {
		return
	}
	own := n.Holder == s.settings.Holder && n.Started == s.settings.Started
	if s.held && !own {
		// Another claim is in the row, or a write of an earlier era.
		s.held, s.needRead = false, true
	}
	s.learn(now, n, false)
}

// ObserveEra applies an era that a response of the store has shown.
func (s *State) ObserveEra(era uint64) {
	if era <= s.era {
		return
	}
	s.era = era
	if s.held {
		s.held, s.needRead = false, true
	}
}

// Refused records that the platform refused a call under a fencing token, since it
// had seen a higher one. The instance never acts under that token again.
func (s *State) Refused(now Clock, token uint64) {
	if token <= s.refused {
		return
	}
	s.refused = token
	s.refusals++
	s.noClaimBefore = later(s.noClaimBefore, now.Mono.Add(s.settings.Lease))
	if s.held && s.row.Token <= token {
		s.held, s.needRead = false, true
	}
}

// Leave gives up the duty, if the instance holds it, before the process stops. It must
// not be called while a call to the platform is in progress. The process does not claim
// again, and makes no call once the write that gives up the claim has begun.
func (s *State) Leave() { s.leaving = true }

// SetPending sets whether calls are still to be made for what the row's state says.
// Without fencing the lease is renewed for them.
func (s *State) SetPending(pending bool) { s.pending = pending }

// Permit returns the permit for calls to the platform, if there is one now. It
// covers what the state of Row says, and nothing else.
func (s *State) Permit(now Clock) (Permit, bool) {
	if !s.held || s.released || !s.leased(now) {
		return Permit{}, false
	}
	p := Permit{Token: s.row.Token}
	if !s.settings.RequireFence {
		left := min(s.settings.Lease-now.Mono.Sub(s.leaseStart.Mono), s.settings.Lease-now.Wall.Sub(s.leaseStart.Wall))
		p.Until = now.Mono.Add(left)
	}
	return p, true
}

// leased reports whether the platform checks tokens or the lease runs, by both
// clocks: the monotonic clock may stop while the machine is suspended, and the
// wall clock may be set.
func (s *State) leased(now Clock) bool {
	if s.settings.RequireFence {
		return true
	}
	if s.leaseStart.Mono.IsZero() {
		return false
	}
	mono, wall := now.Mono.Sub(s.leaseStart.Mono), now.Wall.Sub(s.leaseStart.Wall)
	return mono < s.settings.Lease && wall >= 0 && wall < s.settings.Lease
}

// Row returns the row as the store last confirmed it to this instance, and whether
// there was such a confirmation.
func (s *State) Row() (Row, bool) { return s.row, s.known }

// Holding reports whether the instance holds the duty as far as it knows, under
// the token of Row.
func (s *State) Holding() bool { return s.held }

// RestoredAt returns a time by the wall clock after which no holder has written what
// the state of Row lacks, if that state may be older than what was last written, as
// after a restore of the store; else the zero time.
func (s *State) RestoredAt() time.Time {
	if !s.row.Restored() {
		return time.Time{}
	}
	return s.restoredAt
}

// Notice returns the latest version of the row that is known, for other instances.
func (s *State) Notice() (Notice, bool) { return s.news, s.heard }

// RowAge returns how long ago the latest version of the row became known.
func (s *State) RowAge(now Clock) time.Duration { return now.Mono.Sub(s.newsAt) }

// learn applies a version of the row, that was read or that a notice tells of.
func (s *State) learn(now Clock, n Notice, read bool) {
	if !s.heard && n.Era >= s.era {
		s.era = n.Era
	}
	s.ObserveEra(n.Era)
	if s.heard && !n.after(s.news) {
		return
	}
	first := !s.heard
	another := n.Holder != s.settings.Holder && n.Holder != ""
	if another && (first || n.Token != s.news.Token || n.Holder != s.news.Holder) {
		s.noClaimBefore = later(s.noClaimBefore, now.Mono.Add(s.settings.Lease))
	}
	s.news, s.heard, s.newsAt = n, true, now.Mono
	switch {
	case n.valid() && n.Released:
		s.overdueAt = now.Mono
	case !n.valid():
		s.overdueAt = now.Mono
		if n.Era > 0 || n.Revision > 0 {
			// The row may have lost a claim that this instance has not seen.
			s.noClaimBefore = later(s.noClaimBefore, now.Mono.Add(s.settings.Lease))
		}
	case n.Holder == s.settings.Holder && n.Started < s.settings.Started:
		s.overdueAt = now.Mono
	default:
		s.overdueAt = s.overdue(now, n.Due, first && read)
	}
}

// overdue returns when an action is overdue that is due at a wall-clock time in
// Unix milliseconds. While versions of the row arrive, a wall clock that is wrong
// changes the result by at most grace in each direction. A process that has heard
// nothing since its start believes its clock.
func (s *State) overdue(now Clock, due int64, first bool) time.Time {
	earliest := s.settings.Interval - grace
	if first {
		earliest = -grace
	}
	remaining := time.UnixMilli(due).Sub(now.Wall)
	return now.Mono.Add(min(max(remaining, earliest), s.settings.Interval) + grace)
}

// fail postpones the next store call.
func (s *State) fail(now Clock) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.notBefore = now.Mono.Add(s.backoff)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
