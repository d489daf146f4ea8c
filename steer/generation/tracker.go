package generation

import "time"

// Tracker is one instance's knowledge of the document in force. All times are
// readings of the instance's own monotonic clock.
type Tracker struct {
	self     Location
	settings Settings

	head Head
	// highestSeen is the highest generation received from any source, adopted
	// or not.
	highestSeen uint64
	// known is set once knownAsOf is valid: the head was in the store at
	// knownAsOf.
	known     bool
	knownAsOf time.Time
	// lastSuccess is the start of the latest successful read of the store.
	lastSuccess time.Time
	// lastFailure is the start of the latest failed read since lastSuccess;
	// zero if there is none.
	lastFailure time.Time
	// failures is the run of failed reads that a peer's response has
	// confirmed.
	failures failureRun
	// headFromStore is set once a head was read from the store itself.
	headFromStore bool
	ready         bool
	peerReports   map[string]peerReport
}

// NewTracker returns the tracker of an instance that has just started.
func NewTracker(self Location, settings Settings) *Tracker {
	return &Tracker{self: self, settings: settings, peerReports: map[string]peerReport{}}
}

// Head returns the head that is followed.
func (t *Tracker) Head() Head { return t.head }

// StoreReadSucceeded records the head returned by a read of the store that
// started at startedAt. On Newer, the caller loads the document and calls
// Adopt with the same time; until then the instance's knowledge is not
// refreshed.
func (t *Tracker) StoreReadSucceeded(startedAt time.Time, head Head) Relation {
	t.failures, t.lastFailure = failureRun{}, time.Time{}
	if startedAt.After(t.lastSuccess) {
		t.lastSuccess = startedAt
	}
	relation := t.compareReceived(head)
	if relation == Same && head.Generation > 0 {
		t.headFromStore = true
		t.advanceKnownAsOf(startedAt)
	}
	return relation
}

// StoreReadFailed records that a read of the store that started at startedAt
// failed. A read that started before a successful one is ignored. The caller
// then requests reports from peers: the failure counts once a peer's response
// shows that this instance is not isolated.
func (t *Tracker) StoreReadFailed(startedAt time.Time) {
	if startedAt.After(t.lastSuccess) && startedAt.After(t.lastFailure) {
		t.lastFailure = startedAt
	}
}

// ObserveHead records a head that a peer or an operator sent without a
// request. Such a message may have been delayed, so it never refreshes the
// instance's knowledge. On Newer, the caller loads the document and calls
// Adopt with the zero time.
func (t *Tracker) ObserveHead(head Head) Relation { return t.compareReceived(head) }

// compareReceived updates highestSeen and compares the received head with the
// followed one.
func (t *Tracker) compareReceived(head Head) Relation {
	t.highestSeen = max(t.highestSeen, head.Generation)
	return t.head.Compare(head)
}

// behind reports whether a newer head is known to exist.
func (t *Tracker) behind() bool { return t.highestSeen > t.head.Generation }

// Adopt makes head the followed one. The caller has loaded its document and
// checked it against the digest. The head is known to have been in the store
// at asOf; the zero time means that this is unknown. Adopt reports whether the
// head was adopted; a head that is not newer is refused.
func (t *Tracker) Adopt(head Head, asOf time.Time, fromStore bool) bool {
	if t.head.Compare(head) != Newer {
		return false
	}
	t.head = head
	t.highestSeen = max(t.highestSeen, head.Generation)
	if fromStore {
		t.headFromStore = true
	}
	// A newer head was accepted later than the old one, so it never makes the
	// knowledge older. If asOf is unknown, knownAsOf stays as it is.
	if !asOf.IsZero() {
		t.advanceKnownAsOf(asOf)
	}
	return true
}

// Confirm records that the store held head at asOf, if that is the followed one: it
// may have been adopted from another source while the caller loaded its document.
func (t *Tracker) Confirm(head Head, asOf time.Time, fromStore bool) {
	if t.head.Compare(head) != Same || asOf.IsZero() {
		return
	}
	t.headFromStore = t.headFromStore || fromStore
	t.advanceKnownAsOf(asOf)
}

// advanceKnownAsOf moves knownAsOf forward, never back.
func (t *Tracker) advanceKnownAsOf(asOf time.Time) {
	if !t.known || asOf.After(t.knownAsOf) {
		t.known, t.knownAsOf = true, asOf
	}
}

// FreshUntil returns when the instance's knowledge becomes stale, or the zero
// time if it has none.
func (t *Tracker) FreshUntil() time.Time {
	if !t.known {
		return time.Time{}
	}
	return t.knownAsOf.Add(t.settings.StaleAfter)
}

// Ready reports whether the instance may serve. It becomes ready when its
// knowledge is fresh and comes either from the store or from peers in enough
// failure domains, none of which follows a newer head. It then stays ready.
func (t *Tracker) Ready(now time.Time) bool {
	if t.ready {
		return true
	}
	fresh := t.head.Generation > 0 && now.Before(t.FreshUntil())
	t.ready = fresh && (t.headFromStore || t.peersAgree(now))
	return t.ready
}

// peersAgree reports whether recent reports came from enough failure domains
// and none of them has a newer or forked head.
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
