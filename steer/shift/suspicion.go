package shift

import (
	"math"
	"time"
)

const (
	// suspectShare is the largest share while the new version is suspected:
	// it leaves the old version enough traffic to compare with.
	suspectShare = Whole / 4
	// driftLimit is the evidence of a drift, in nats, that raises a suspicion.
	driftLimit = 5.0
	// suspectSamples is how many outcomes of each version end a suspicion.
	suspectSamples = 60
	// suspectTime ends a suspicion that gets too few outcomes.
	suspectTime = 30 * time.Second
	// maxStrikes is the number of suspicions that may pass without proof.
	maxStrikes = 3

	acceptedRate    = 0.01
	acceptedFactor  = 2.0
	unacceptedRate  = 0.1
	unacceptedTimes = 3.0
	highestRate     = 0.9
)

// drift is a cumulative sum test (Page, 1954) of the new version's hits against
// the old version's recent rate. It serves where the new version has nearly all
// traffic and the old one gives nothing to compare with.
type drift struct {
	sum float64
}

// rates returns the hit rates that the test tells apart, given the baseline.
func rates(base Counts) (accepted, unaccepted float64) {
	accepted = max(acceptedRate, acceptedFactor*base.rate())
	unaccepted = min(highestRate, max(unacceptedRate, unacceptedTimes*accepted))
	return accepted, unaccepted
}

// add takes outcomes of the new version and reports whether they drifted.
func (d *drift) add(c, base Counts) bool {
	accepted, unaccepted := rates(base)
	if accepted >= unaccepted {
		return false
	}
	hit := math.Log(unaccepted / accepted)
	miss := math.Log((1 - unaccepted) / (1 - accepted))
	d.sum += float64(c.Hits)*hit + float64(c.N-c.Hits)*miss
	d.sum = max(d.sum, 0)
	return d.sum >= driftLimit
}

// suspicion is a time in which the share is lowered to compare the versions.
// Either the comparison proves a fault, or it ends; if the old version did no
// worse than before in that time, the end counts as a strike, since the new
// version may fail only when it has nearly all traffic.
type suspicion struct {
	on       bool
	scope    Scope
	since    time.Time
	accepted float64
	start    Tally
	strikes  map[Scope]int
}

// begin starts a suspicion unless one is on.
func (s *suspicion) begin(now time.Time, scope Scope, tally *Tally, base Counts) {
	if s.on {
		return
	}
	s.on = true
	s.scope = scope
	s.since = now
	s.start = *tally
	s.accepted, _ = rates(base)
}

// review ends the suspicion when it has run its course.
func (s *suspicion) review(now time.Time, tally *Tally) {
	if !s.on {
		return
	}
	fresh := tally.New.N - s.start.New.N
	old := Counts{N: tally.Old.N - s.start.Old.N, Hits: tally.Old.Hits - s.start.Old.Hits}
	enough := fresh >= suspectSamples && old.N >= suspectSamples
	if !enough && now.Sub(s.since) < suspectTime {
		return
	}
	s.on = false
	if old.rate() >= s.accepted {
		return
	}
	if s.strikes == nil {
		s.strikes = make(map[Scope]int)
	}
	s.strikes[s.scope]++
}
