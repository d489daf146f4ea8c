package generation

import "time"

// Tracker is what one instance knows of the document in force. All moments
// are readings of the instance's own monotonic clock.
type Tracker struct {
	self     Location
	settings Settings

	head Head
	// highest is the highest generation that was heard of, adopted or not.
	highest uint64
	// known says that knownAsOf is set: the head stood in the store then.
	known     bool
	knownAsOf time.Time
	// answeredAsOf is the start of the latest read that the store answered.
	answeredAsOf time.Time
	// failedAsOf is the start of the latest read that failed since then; zero
	// when there is none.
	failedAsOf time.Time
	// silence is the run of those failed reads that count.
	silence silence
	// storeRead says that the head came from the store itself at least once.
	storeRead bool
	ready     bool
	peers     map[string]heard
}

// NewTracker returns the state of an instance that has just started.
func NewTracker(self Location, settings Settings) *Tracker {
	return &Tracker{self: self, settings: settings, peers: map[string]heard{}}
}

// Head returns the head that is followed.
func (t *Tracker) Head() Head { return t.head }

// StoreReadSucceeded takes in the head row as read from the store by a read that
// began at started. With Newer the caller loads the document and calls Adopt
// with the same moment; until then the instance's knowledge does not get
// younger.
func (t *Tracker) StoreReadSucceeded(started time.Time, head Head) Relation {
	t.silence, t.failedAsOf = silence{}, time.Time{}
	if started.After(t.answeredAsOf) {
		t.answeredAsOf = started
	}
	relation := t.offered(head)
	if relation == Same && head.Generation > 0 {
		t.storeRead = true
		t.learn(started)
	}
	return relation
}

// StoreReadFailed takes in that a read of the store that began at started got no
// answer. A read that began before an answered one is ignored. The caller then
// asks its peers: the failure counts once one of them shows that this instance
// is not merely cut off.
func (t *Tracker) StoreReadFailed(started time.Time) {
	if started.After(t.answeredAsOf) && started.After(t.failedAsOf) {
		t.failedAsOf = started
	}
}

// ObserveHead takes in a head that a peer or an operator sent unasked. Such a
// message may be late, so that it never makes knowledge younger. With Newer
// the caller loads the document and calls Adopt with the zero time.
func (t *Tracker) ObserveHead(head Head) Relation { return t.offered(head) }

// offered remembers the highest generation and compares the head.
func (t *Tracker) offered(head Head) Relation {
	t.highest = max(t.highest, head.Generation)
	return t.head.Compare(head)
}

// behind says that a newer head is known to exist.
func (t *Tracker) behind() bool { return t.highest > t.head.Generation }

// Adopt follows head, whose document the caller has loaded and checked against
// the digest. The head was known to stand in the store at asOf; the zero time
// means that the moment is unknown. It reports whether the head was adopted:
// a head that is not newer never is.
func (t *Tracker) Adopt(head Head, asOf time.Time, fromStore bool) bool {
	if t.head.Compare(head) != Newer {
		return false
	}
	t.head = head
	t.highest = max(t.highest, head.Generation)
	if fromStore {
		t.storeRead = true
	}
	// What was known of the old head says nothing about the new one, but a
	// newer head never makes knowledge older: it was accepted later.
	if !asOf.IsZero() {
		t.learn(asOf)
	}
	return true
}

// learn moves the moment of the instance's knowledge forward.
func (t *Tracker) learn(asOf time.Time) {
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
	t.ready = fresh && (t.storeRead || t.peersAgree(now))
	return t.ready
}

// peersAgree says whether recent statements came from enough failure domains
// and none of them names a newer head.
func (t *Tracker) peersAgree(now time.Time) bool {
	if t.behind() {
		return false
	}
	domains := map[string]bool{}
	for _, h := range t.peers {
		if now.Sub(h.at) > t.settings.StaleAfter || h.statement.Head.Generation == 0 {
			continue
		}
		if t.head.Compare(h.statement.Head) == Forked {
			return false
		}
		domains[h.statement.From.FailureDomain] = true
	}
	return len(domains) >= t.settings.ConfirmDomains
}
