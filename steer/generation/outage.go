package generation

import (
	"slices"
	"time"
)

// failureRun is an unbroken run of reads that the store did not answer.
type failureRun struct {
	// active says that there is such a run.
	active bool
	// first is the start of the run's first read.
	first time.Time
	// last is the start of its latest read.
	last time.Time
}

// extend adds a failed read. A read that began longer than maxGap after the
// one before starts a new run: the store may have answered others in between.
func (r *failureRun) extend(startedAt time.Time, maxGap time.Duration) {
	if r.active && !startedAt.After(r.last) {
		return
	}
	if !r.active || startedAt.Sub(r.last) > maxGap {
		r.first = startedAt
	}
	r.active, r.last = true, startedAt
}

// confirmFailure lets the latest failed read count as the store's silence when a
// question asked since it began was answered by a peer that an isolated
// instance would not reach: one of the store's region, or for an instance that
// is in that region itself, one of another failure domain.
func (t *Tracker) confirmFailure(sentAt time.Time, from Location) {
	if t.lastFailure.IsZero() || sentAt.Before(t.lastFailure) {
		return
	}
	if t.self.Region == t.settings.StoreRegion {
		if from.FailureDomain == t.self.FailureDomain {
			return
		}
	} else if from.Region != t.settings.StoreRegion {
		return
	}
	t.failures.extend(t.lastFailure, t.settings.MaxReadGap)
}

// outageWitness is the latest moment at which the store was silent to a failure
// domain.
type outageWitness struct {
	location Location
	until    time.Time
}

// extendDuringOutage moves the instance's knowledge forward to the latest moment
// at which the store is known to have been silent since the knowledge began.
// Without the store no promotion is accepted, so what was known then still
// holds.
//
// This takes witnesses in enough failure domains, one of them in the store's
// region, each with an unbroken run of failed reads that began at most MaxGap
// after what is known. It is not done while a newer head is known to exist.
func (t *Tracker) extendDuringOutage() {
	if !t.known || t.behind() {
		return
	}
	if asOf, ok := t.outageConfirmedUntil(t.outageWitnesses()); ok {
		t.advanceKnownAsOf(asOf)
	}
}

// outageWitnesses returns the best witness of each failure domain, latest first.
func (t *Tracker) outageWitnesses() []outageWitness {
	best := map[string]outageWitness{}
	add := func(location Location, run failureRun) {
		if !run.active || run.first.Sub(t.knownAsOf) > t.settings.MaxReadGap {
			return
		}
		if w, known := best[location.FailureDomain]; !known || run.last.After(w.until) {
			best[location.FailureDomain] = outageWitness{location: location, until: run.last}
		}
	}
	add(t.self, t.failures)
	for _, peer := range t.peerReports {
		add(peer.report.From, peer.failures)
	}
	sorted := make([]outageWitness, 0, len(best))
	for _, w := range best {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b outageWitness) int { return b.until.Compare(a.until) })
	return sorted
}

// outageConfirmedUntil returns the latest moment up to which enough of the witnesses,
// which are sorted latest first, vouch for the store's silence.
func (t *Tracker) outageConfirmedUntil(witnesses []outageWitness) (time.Time, bool) {
	inStoreRegion := slices.IndexFunc(witnesses, func(w outageWitness) bool { return w.location.Region == t.settings.StoreRegion })
	if inStoreRegion < 0 || len(witnesses) < t.settings.ConfirmDomains {
		return time.Time{}, false
	}
	needed := max(inStoreRegion, t.settings.ConfirmDomains-1)
	return witnesses[needed].until, true
}
