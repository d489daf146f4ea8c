package shift

import (
	"math"
	"time"
)

const (
	// suspectShare is the maximum share while the new version is suspected. It
	// leaves the old version enough traffic for a comparison.
	suspectShare = FullShare / 4
	// driftLimit is the evidence of a drift, in nats, that starts a suspicion.
	driftLimit = 7.5
	// pausedDriftLimit limits the evidence, in nats, that a paused drift test
	// keeps.
	pausedDriftLimit = 5.0
	// minSuspicionSamples is the number of outcomes of each version that
	// completes a suspicion.
	minSuspicionSamples = 60
	// maxSuspicionTime ends a suspicion that gets too few outcomes.
	maxSuspicionTime = 30 * time.Second
	// maxUnprovenSuspicions is the number of suspicions ending without proof
	// within unprovenWindow at which the shift is rolled back.
	maxUnprovenSuspicions = 3
	unprovenWindow        = 10 * time.Minute
	// minEpisodeGap is the minimum time between the ends of two suspicions that
	// count as separate episodes.
	minEpisodeGap = 3 * time.Second

	// Parameters of driftRates. The accepted rate is acceptedFactor times an
	// upper bound of the old version's rate, deviationsAllowed standard
	// deviations above it, but at least minAcceptedRate. The unaccepted rate is
	// unacceptedFactor times the accepted one, but at least minUnacceptedRate
	// and at most maxUnacceptedRate.
	minAcceptedRate   = 0.01
	acceptedFactor    = 1.5
	minUnacceptedRate = 0.1
	unacceptedFactor  = 3.0
	maxUnacceptedRate = 0.9
	deviationsAllowed = 2.0
)

// driftRates returns the hit rates that a drift test distinguishes, given the
// old version's outcomes. Rates up to accepted count as no worse.
func driftRates(base Counts) (accepted, unaccepted float64) {
	hits := float64(base.Hits)
	upper := (hits + deviationsAllowed*math.Sqrt(hits+1) + 1) / float64(max(base.N, 1))
	accepted = max(minAcceptedRate, acceptedFactor*upper)
	unaccepted = min(maxUnacceptedRate, max(minUnacceptedRate, unacceptedFactor*accepted))
	return accepted, unaccepted
}

// driftLogRatio returns the log likelihood ratio of the new version's outcomes
// for the unaccepted rate against the highest accepted one.
func driftLogRatio(c, base Counts) float64 {
	accepted, unaccepted := driftRates(base)
	if base.N < minReferenceSamples || accepted >= unaccepted {
		return 0
	}
	hit := math.Log(unaccepted / accepted)
	miss := math.Log((1 - unaccepted) / (1 - accepted))
	return float64(c.Hits)*hit + float64(c.N-c.Hits)*miss
}

// drift is a cumulative sum test (Page, 1954) of the new version's hits against
// the old version's recent rate, over the fleet. It is used while the new
// version gets nearly all traffic, which leaves too little on the old version
// for a comparison.
type drift struct {
	sum, last float64
}

// advance updates the sum with the fleet's current log likelihood ratio.
func (d *drift) advance(logRatio float64) {
	d.sum = max(d.sum+logRatio-d.last, 0)
	d.last = logRatio
}

// pause limits the sum and skips the change of logRatio. Part of the sum is
// kept, so that a recurring fault is detected sooner.
func (d *drift) pause(logRatio float64) {
	d.sum = min(d.sum, pausedDriftLimit)
	d.last = logRatio
}

// suspicion is a period in which the share is lowered to compare the versions.
// Either the comparison proves a fault or the suspicion ends. If the old
// version did no worse than before in this period, the end counts as unproven,
// because the new version may fail only when it gets nearly all traffic.
type suspicion struct {
	active       bool
	scope        Scope
	startedAt    time.Time
	accepted     float64
	startTally   Tally
	unprovenEnds map[Scope][]time.Time
}

// begin starts a suspicion.
func (s *suspicion) begin(now time.Time, scope Scope, tally *Tally, base Counts) {
	s.active = true
	s.scope = scope
	s.startedAt = now
	s.startTally = *tally
	s.accepted, _ = driftRates(base)
}

// endIfComplete ends the suspicion when it has enough samples or has lasted too
// long.
func (s *suspicion) endIfComplete(now time.Time, tally *Tally) {
	newTrials := tally.New.N - s.startTally.New.N
	oldCounts := Counts{N: tally.Old.N - s.startTally.Old.N, Hits: tally.Old.Hits - s.startTally.Old.Hits}
	enough := newTrials >= minSuspicionSamples && oldCounts.N >= minSuspicionSamples
	if !enough && now.Sub(s.startedAt) < maxSuspicionTime {
		return
	}
	s.active = false
	if oldCounts.rate() >= s.accepted {
		return
	}
	if s.unprovenEnds == nil {
		s.unprovenEnds = make(map[Scope][]time.Time)
	}
	s.unprovenEnds[s.scope] = append(s.recentUnproven(now, s.scope), now)
}

// recentUnproven returns the ends of unproven suspicions in the scope that
// still count.
func (s *suspicion) recentUnproven(now time.Time, scope Scope) []time.Time {
	var all []time.Time
	for _, at := range s.unprovenEnds[scope] {
		if now.Sub(at) < unprovenWindow {
			all = append(all, at)
		}
	}
	return all
}
