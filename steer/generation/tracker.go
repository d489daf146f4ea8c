package generation

import "time"

// Tracker is what one instance knows of the document in force. All moments
// are readings of the instance's own monotonic clock.
type Tracker struct {
	self     Location
	settings Settings

	head Head
	// highestSeen is the highestSeen generation that was heard of, adopted or not.
	highestSeen uint64
	// known says that knownAsOf is set: the head stood in the store then.
	known     bool
	knownAsOf time.Time
	// lastSuccess is the start of the latest read that the store answered.
	lastSuccess time.Time
	// lastFailure is the start of the latest read that failed since then; zero
	// when there is none.
	lastFailure time.Time
	// failures is the run of those failed reads that count.
	failures failureRun
	// headFromStore says that the head came from the store itself at least once.
	headFromStore bool
	ready         bool
	peerReports   map[string]peerReport
}

// NewTracker returns the state of an instance that has just started.
func NewTracker(self Location, settings Settings) *Tracker {
	return &Tracker{self: self, settings: settings, peerReports: map[string]peerReport{}}
}

// Head returns the head that is followed.
func (t *Tracker) Head() Head { return t.head }

// StoreReadSucceeded takes in the head row as read from the store by a read that
// began at started. With Newer the caller loads the document and calls Adopt
// with the same moment; until then the instance's knowledge does not get
// younger.
func (t *Tracker) StoreReadSucceeded(startedAt time.Time, head Head) Relation {
	t.failures, t.lastFailure = failureRun{}, time.Time{}
	if startedAt.After(t.lastSuccess) {
		t.lastSuccess = startedAt
	}
	relation := t.compareOffered(head)
	if relation == Same && head.Generation > 0 {
		t.headFromStore = true
		t.advanceKnownAsOf(startedAt)
	}
	return relation
}

// StoreReadFailed takes in that a read of the store that began at started got no
// answer. A read that began before an answered one is ignored. The caller then
// asks its peers: the failure counts once one of them shows that this instance
// is not merely cut off.
func (t *Tracker) StoreReadFailed(startedAt time.Time) {
	if startedAt.After(t.lastSuccess) && startedAt.After(t.lastFailure) {
		t.lastFailure = startedAt
	}
}

// ObserveHead takes in a head that a peer or an operator sent unasked. Such a
// message may be late, so that it never makes knowledge younger. With Newer
// the caller loads the document and calls Adopt with the zero time.
func (t *Tracker) ObserveHead(head Head) Relation { return t.compareOffered(head) }

// compareOffered remembers the highest generation and compares the head.
func (t *Tracker) compareOffered(head Head) Relation {
	t.highestSeen = max(t.highestSeen, head.Generation)
	return t.head.Compare(head)
}

// behind says that a newer head is known to exist.
func (t *Tracker) behind() bool { return t.highestSeen > t.head.Generation }

// Adopt follows head, whose document the caller has loaded and checked against
// the digest. The head was known to stand in the store at asOf; the zero time
// means that the moment is unknown. It reports whether the head was adopted:
// a head that is not newer never is.
func (t *Tracker) Adopt(head Head, asOf time.Time, fromStore bool) bool {
	if t.head.Compare(head) != Newer {
		return false
	}
	t.head = head
	t.highestSeen = max(t.highestSeen, head.Generation)
	if fromStore {
		t.headFromStore = true
	}
	// What was known of the old head says nothing about the new one, but a
	// newer head never makes knowledge older: it was accepted later.
	if !asOf.IsZero() {
		t.advanceKnownAsOf(asOf)
	}
	return true
}

// advanceKnownAsOf moves the moment of the instance's knowledge forward.
func (t *Tracker) advanceKnownAsOf(asOf time.Time) {
	if !t.known || asOf.After(t.knownAsOf) {
		t.known, t.knownAsOf = true, asOf
	}
}

// FreshUntil returns the moment at which the instance's knowledge becomes
// stale; the zero time when it knows nothing.
func (t *Tracker) FreshUntil() time.Time {
	if !t.known {
		return time.Time{}
	}
	return t.knownAsOf.Add(t.settings.StaleAfter)
}

// Ready says whether the instance may serve. It becomes ready when it has
// fresh knowledge from the store, or from peers of enough failure domains none
// of which follows a newer head; it then stays ready.
func (t *Tracker) Ready(now time.Time) bool {
	if t.ready {
		return true
	}
	fresh := t.head.Generation > 0 && now.Before(t.FreshUntil())
	t.ready = fresh && (t.headFromStore || t.peersAgree(now))
	return t.ready
}

// peersAgree says whether recent statements came from enough failure domains
// and none of them names a newer head.
func (t *Tracker) peersAgree(now time.Time) bool {
	if t.behind() {
		return false
	}
	domains := map[string]bool{}
	for _, peer := range t.peerReports {
		if now.Sub(peer.requestedAt) > t.settings.StaleAfter || peer.report.Head.Generation == 0 {
			continue
		}
		if t.head.Compare(peer.report.Head) == Forked {
			return false
		}
		domains[peer.report.From.FailureDomain] = true
	}
	return len(domains) >= t.settings.ConfirmDomains
}
