package generation

import "time"

// Report is what an instance sends its peers about the head it follows. All
// durations are measured on the sender's clock and end when the report is
// made.
type Report struct {
	// From is the sender.
	From Location `json:"from"`
	// Head is the head that the sender follows.
	Head Head `json:"head"`
	// Known is false until the sender knows, from the store or from a peer,
	// that its head was in the store.
	Known bool `json:"known"`
	// Age is the age of the sender's knowledge. It is valid only if Known is
	// set.
	Age time.Duration `json:"age"`
	// StoreFailing is set if the sender's latest read of the store failed
	// although it reached a peer that it could not reach if it were isolated.
	StoreFailing bool `json:"silent"`
	// LastFailureAge is the time since the latest failed read started. It is
	// valid only if StoreFailing is set.
	LastFailureAge time.Duration `json:"silentAge"`
	// FirstFailureAge is the time since the first read of the run of failed
	// reads started. It is valid only if StoreFailing is set.
	FirstFailureAge time.Duration `json:"silentRun"`
}

// Report returns the instance's current report.
func (t *Tracker) Report(now time.Time) Report {
	report := Report{From: t.self, Head: t.head, Known: t.known}
	if t.known {
		report.Age = now.Sub(t.knownAsOf)
	}
	if t.failures.active {
		report.StoreFailing = true
		report.LastFailureAge = now.Sub(t.failures.last)
		report.FirstFailureAge = now.Sub(t.failures.first)
	}
	return report
}

// peerReport is a report received from a peer, with the peer's failed reads
// converted to the local clock.
type peerReport struct {
	report Report
	// requestedAt is when the request for the report was sent.
	requestedAt time.Time
	// failures starts no earlier and ends no later than the peer's own run.
	failures failureRun
}

// PeerReported records a report that a peer sent in response to a request sent
// at sentAt; the response arrived at receivedAt. The report was made between
// the two, so durations are counted back from sentAt where the earlier moment
// is the safe one, and from receivedAt where the later one is. It returns the
// relation of the peer's head to the followed one. On Newer, the caller loads
// the document and calls Adopt with the result of AsOf.
func (t *Tracker) PeerReported(sentAt, receivedAt time.Time, report Report) Relation {
	if report.From.Instance == t.self.Instance {
		return Older
	}
	t.prune(receivedAt)
	received := peerReport{report: report, requestedAt: sentAt}
	if report.StoreFailing {
		received.failures = failureRun{active: true, first: receivedAt.Add(-report.FirstFailureAge), last: sentAt.Add(-report.LastFailureAge)}
	}
	if previous, known := t.peerReports[report.From.Instance]; !known || !previous.requestedAt.After(sentAt) {
		t.peerReports[report.From.Instance] = received
	}
	relation := t.compareReceived(report.Head)
	if relation == Same && report.Known {
		t.advanceKnownAsOf(report.AsOf(sentAt))
	}
	t.confirmFailure(sentAt, report.From)
	t.extendDuringOutage()
	return relation
}

// prune drops reports that are older than StaleAfter.
func (t *Tracker) prune(now time.Time) {
	for instance, peer := range t.peerReports {
		if now.Sub(peer.requestedAt) > t.settings.StaleAfter {
			delete(t.peerReports, instance)
		}
	}
}

// AsOf returns the moment up to which the sender's knowledge reaches, on the
// clock of the instance that requested the report at sentAt. It is zero if the
// sender's head is unconfirmed.
func (r Report) AsOf(sentAt time.Time) time.Time {
	if !r.Known {
		return time.Time{}
	}
	return sentAt.Add(-r.Age)
}
