package shift

import (
	"math"
	"time"
)

const (
	// suspectShare is the largest share while the new version is suspected:
	// it leaves the old version enough traffic to compare with.
	suspectShare = FullShare / 4
	// driftLimit is the evidence of a drift, in nats, that raises a suspicion.
	driftLimit = 7.5
	// pausedDriftLimit is the evidence, in nats, kept after a suspicion ended.
	pausedDriftLimit = 5.0
	// minSuspicionSamples is how many outcomes of each version end a suspicion.
	minSuspicionSamples = 60
	// maxSuspicionTime ends a suspicion that gets too few outcomes.
	maxSuspicionTime = 30 * time.Second
	// maxUnprovenSuspicions is the number of suspicions in strikeTime that may pass
	// without proof.
	maxUnprovenSuspicions = 3
	unprovenWindow        = 10 * time.Minute
	// minEpisodeGap is the least time between the ends of two suspicions that
	// count as two.
	minEpisodeGap = 3 * time.Second

	minAcceptedRate   = 0.01
	acceptedFactor    = 1.5
	minUnacceptedRate = 0.1
	unacceptedFactor  = 3.0
	maxUnacceptedRate = 0.9
	deviationsAllowed = 2.0
)

// driftRates returns the hit driftRates that a drift tells apart, given the old version's
// outcomes: driftRates up to accepted count as no worse.
func driftRates(base Counts) (accepted, unaccepted float64) {
	hits := float64(base.Hits)
	upper := (hits + deviationsAllowed*math.Sqrt(hits+1) + 1) / float64(max(base.N, 1))
	accepted = max(minAcceptedRate, acceptedFactor*upper)
	unaccepted = min(maxUnacceptedRate, max(minUnacceptedRate, unacceptedFactor*accepted))
	return accepted, unaccepted
}

// driftLogRatio returns the logarithm of the likelihood ratio of the new version's
// outcomes, of an unaccepted rate against the highest accepted one.
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
// the old version's recent rate, over the fleet. It serves where the new version
// has nearly all traffic and the old one gives nothing to compare with.
type drift struct {
	sum, last float64
}

// advance takes the fleet's present log likelihood ratio.
func (d *drift) advance(logRatio float64) {
	d.sum = max(d.sum+logRatio-d.last, 0)
	d.last = logRatio
}

// pause keeps a part of the sum, so that a fault that returns is found sooner, and
// passes over the changes of log.
func (d *drift) pause(logRatio float64) {
	d.sum = min(d.sum, pausedDriftLimit)
	d.last = logRatio
}

// suspicion is a time in which the share is lowered to compare the versions.
// Either the comparison proves a fault, or it ends; if the old version did no
// worse than before in that time, the end counts as a strike, since the new
// version may fail only when it has nearly all traffic.
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

// endIfComplete ends the suspicion when it has run its course.
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

// recentUnproven returns the strikes that still count.
func (s *suspicion) recentUnproven(now time.Time, scope Scope) []time.Time {
	var all []time.Time
	for _, at := range s.unprovenEnds[scope] {
		if now.Sub(at) < unprovenWindow {
			all = append(all, at)
		}
	}
	return all
}
