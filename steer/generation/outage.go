package generation

import (
	"slices"
	"time"
)

// failureRun is an uninterrupted run of failed reads of the store.
type failureRun struct {
	// active is set while there is such a run.
	active bool
	// first is the start of the first read of the run.
	first time.Time
	// last is the start of the latest read of the run.
	last time.Time
}

// extend adds a failed read. A read that started more than maxGap after the
// previous one starts a new run, because the store may have answered other
// instances in between.
func (r *failureRun) extend(startedAt time.Time, maxGap time.Duration) {
	if r.active && !startedAt.After(r.last) {
		return
	}
	if !r.active || startedAt.Sub(r.last) > maxGap {
		r.first = startedAt
	}
	r.active, r.last = true, startedAt
}

// confirmFailure adds the latest failed read to the run of failures if a peer
// has answered a report request sent since that read started, and an isolated
// instance could not have reached that peer. Outside the store's region, the
// peer must be in the store's region; inside it, the peer must be in another
// failure domain.
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

// outageWitness is the latest moment at which the store was unavailable to a
// failure domain.
type outageWitness struct {
	location Location
	until    time.Time
}

// extendDuringOutage advances the instance's knowledge to the latest moment up
// to which the store is known to have been unavailable. No promotion is
// accepted without the store, so what was known when the outage began still
// holds.
//
// This requires witnesses in enough failure domains, one of them in the
// store's region. Each needs an uninterrupted run of failed reads that started
// at most MaxReadGap after knownAsOf. Nothing is extended while a newer head
// is known to exist.
func (t *Tracker) extendDuringOutage() {
	if !t.known || t.behind() {
		return
	}
	if asOf, ok := t.outageConfirmedUntil(t.outageWitnesses()); ok {
		t.advanceKnownAsOf(asOf)
	}
}

// outageWitnesses returns the witness with the latest failed read of each
// failure domain, latest first.
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

// outageConfirmedUntil returns the latest moment up to which enough witnesses
// confirm the outage. The witnesses are sorted latest first.
func (t *Tracker) outageConfirmedUntil(witnesses []outageWitness) (time.Time, bool) {
	inStoreRegion := slices.IndexFunc(witnesses, func(w outageWitness) bool { return w.location.Region == t.settings.StoreRegion })
	if inStoreRegion < 0 || len(witnesses) < t.settings.ConfirmDomains {
		return time.Time{}, false
	}
	needed := max(inStoreRegion, t.settings.ConfirmDomains-1)
	return witnesses[needed].until, true
}
