package generation

import "time"

// Report is what one instance tells another about its knowledge. All spans
// end at the moment when the statement was made, on the teller's clock.
type Report struct {
	// From is the teller.
	From Location `json:"from"`
	// Head is what the teller follows.
	Head Head `json:"head"`
	// Known is false until the teller has learned of the store's head.
	Known bool `json:"known"`
	// Age is the age of the teller's knowledge. It counts only when Known.
	Age time.Duration `json:"age"`
	// StoreFailing says that the teller's last read of the store failed.
	StoreFailing bool `json:"silent"`
	// LastFailureAge is the time since that failed read began. It counts only when
	// Silent.
	LastFailureAge time.Duration `json:"silentAge"`
	// FirstFailureAge is the time since the first read of the unbroken run of failed
	// reads began. It counts only when Silent.
	FirstFailureAge time.Duration `json:"silentRun"`
}

// Report returns what the instance can tell others now.
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

// peerReport is a statement with the teller's silence on the hearer's clock.
type peerReport struct {
	report Report
	// requestedAt is when the statement was asked for.
	requestedAt time.Time
	// failures begins no earlier and ends no later than the teller's does.
	failures failureRun
}

// PeerReported takes in the statement that a peer gave in answer to a question
// sent at asked; the answer came at answered. The statement was made between
// the two, so that spans count from asked where an early moment is the safe
// one and from answered where a late one is. It returns how the peer's head
// stands to the one followed; with Newer the caller loads the document and
// calls Adopt with the result of AsOf.
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
	relation := t.compareOffered(report.Head)
	if relation == Same && report.Known {
		t.advanceKnownAsOf(report.AsOf(sentAt))
	}
	t.confirmFailure(sentAt, report.From)
	t.extendDuringOutage()
	return relation
}

// prune drops statements that are too old to count for anything.
func (t *Tracker) prune(now time.Time) {
	for instance, peer := range t.peerReports {
		if now.Sub(peer.requestedAt) > t.settings.StaleAfter {
			delete(t.peerReports, instance)
		}
	}
}

// AsOf returns the moment of the teller's knowledge on the clock of the
// instance that asked for the statement at asked; zero when the teller knows
// nothing.
func (r Report) AsOf(sentAt time.Time) time.Time {
	if !r.Known {
		return time.Time{}
	}
	return sentAt.Add(-r.Age)
}
