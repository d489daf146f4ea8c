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
	// driftRest is the evidence, in nats, kept after a suspicion ended.
	driftRest = 5.0
	// suspectSamples is how many outcomes of each version end a suspicion.
	suspectSamples = 60
	// suspectTime ends a suspicion that gets too few outcomes.
	suspectTime = 30 * time.Second
	// maxStrikes is the number of suspicions in strikeTime that may pass
	// without proof.
	maxStrikes = 3
	strikeTime = 10 * time.Minute
	// strikeGap is the least time between the ends of two suspicions that
	// count as two.
	strikeGap = 3 * time.Second

	acceptedRate      = 0.01
	acceptedFactor    = 1.5
	unacceptedRate    = 0.1
	unacceptedTimes   = 3.0
	highestRate       = 0.9
	deviationsAllowed = 2.0
)

// rates returns the hit rates that a drift tells apart, given the old version's
// outcomes: rates up to accepted count as no worse.
func rates(base Counts) (accepted, unaccepted float64) {
	hits := float64(base.Hits)
	upper := (hits + deviationsAllowed*math.Sqrt(hits+1) + 1) / float64(max(base.N, 1))
	accepted = max(acceptedRate, acceptedFactor*upper)
	unaccepted = min(highestRate, max(unacceptedRate, unacceptedTimes*accepted))
	return accepted, unaccepted
}

// driftOf returns the logarithm of the likelihood ratio of the new version's
// outcomes, of an unaccepted rate against the highest accepted one.
func driftOf(c, base Counts) float64 {
	accepted, unaccepted := rates(base)
	if base.N < minReference || accepted >= unaccepted {
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
func (d *drift) advance(log float64) {
	d.sum = max(d.sum+log-d.last, 0)
	d.last = log
}

// rest keeps a part of the sum, so that a fault that returns is found sooner, and
// passes over the changes of log.
func (d *drift) rest(log float64) {
	d.sum = min(d.sum, driftRest)
	d.last = log
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
	strikes  map[Scope][]time.Time
}

// begin starts a suspicion.
func (s *suspicion) begin(now time.Time, scope Scope, tally *Tally, base Counts) {
	s.on = true
	s.scope = scope
	s.since = now
	s.start = *tally
	s.accepted, _ = rates(base)
}

// review ends the suspicion when it has run its course.
func (s *suspicion) review(now time.Time, tally *Tally) {
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
		s.strikes = make(map[Scope][]time.Time)
	}
	s.strikes[s.scope] = append(s.recent(now, s.scope), now)
}

// recent returns the strikes that still count.
func (s *suspicion) recent(now time.Time, scope Scope) []time.Time {
	var all []time.Time
	for _, at := range s.strikes[scope] {
		if now.Sub(at) < strikeTime {
			all = append(all, at)
		}
	}
	return all
}
