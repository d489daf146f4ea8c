package generation

import (
	"slices"
	"time"
)

// silence is an unbroken run of reads that the store did not answer.
type silence struct {
	// on says that there is such a run.
	on bool
	// since is the start of the run's first read.
	since time.Time
	// until is the start of its latest read.
	until time.Time
}

// extend adds a failed read. A read that began longer than maxGap after the
// one before starts a new run: the store may have answered others in between.
func (s *silence) extend(started time.Time, maxGap time.Duration) {
	if s.on && !started.After(s.until) {
		return
	}
	if !s.on || started.Sub(s.until) > maxGap {
		s.since = started
	}
	s.on, s.until = true, started
}

// countFailure lets the latest failed read count as the store's silence when a
// question asked since it began was answered by a peer that an isolated
// instance would not reach: one of the store's region, or for an instance that
// is in that region itself, one of another failure domain.
func (t *Tracker) countFailure(asked time.Time, from Location) {
	if t.failedAsOf.IsZero() || asked.Before(t.failedAsOf) {
		return
	}
	if t.self.Region == t.settings.StoreRegion {
		if from.FailureDomain == t.self.FailureDomain {
			return
		}
	} else if from.Region != t.settings.StoreRegion {
		return
	}
	t.silence.extend(t.failedAsOf, t.settings.MaxReadGap)
}

// witness is the latest moment at which the store was silent to a failure
// domain.
type witness struct {
	place Location
	until time.Time
}

// learnFromSilence moves the instance's knowledge forward to the latest moment
// at which the store is known to have been silent since the knowledge began.
// Without the store no promotion is accepted, so what was known then still
// holds.
//
// This takes witnesses in enough failure domains, one of them in the store's
// region, each with an unbroken run of failed reads that began at most MaxGap
// after what is known. It is not done while a newer head is known to exist.
func (t *Tracker) learnFromSilence() {
	if !t.known || t.behind() {
		return
	}
	if asOf, ok := t.silentAsOf(t.witnesses()); ok {
		t.learn(asOf)
	}
}

// witnesses returns the best witness of each failure domain, latest first.
func (t *Tracker) witnesses() []witness {
	best := map[string]witness{}
	add := func(place Location, s silence) {
		if !s.on || s.since.Sub(t.knownAsOf) > t.settings.MaxReadGap {
			return
		}
		if w, known := best[place.FailureDomain]; !known || s.until.After(w.until) {
			best[place.FailureDomain] = witness{place: place, until: s.until}
		}
	}
	add(t.self, t.silence)
	for _, h := range t.peers {
		add(h.statement.From, h.silence)
	}
	sorted := make([]witness, 0, len(best))
	for _, w := range best {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b witness) int { return b.until.Compare(a.until) })
	return sorted
}

// silentAsOf returns the latest moment up to which enough of the witnesses,
// which are sorted latest first, vouch for the store's silence.
func (t *Tracker) silentAsOf(witnesses []witness) (time.Time, bool) {
	local := slices.IndexFunc(witnesses, func(w witness) bool { return w.place.Region == t.settings.StoreRegion })
	if local < 0 || len(witnesses) < t.settings.ConfirmDomains {
		return time.Time{}, false
	}
	last := max(local, t.settings.ConfirmDomains-1)
	return witnesses[last].until, true
}
