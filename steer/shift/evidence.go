package shift

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// minScopes is the least number of scopes that the false alarm budget is
// divided by.
const minScopes = 8

// scopeOrder keeps the order of the scopes for as long as none is added.
type scopeOrder struct {
	tallies int
	scopes  []Scope
}

// threshold is the evidence, in nats, at which a detector takes the shift back.
// The budget is divided among the scopes, their two detectors (own and fleet)
// and the detectors' starting times.
func (c *Controller) threshold(scopes int) float64 {
	parts := 2 * max(scopes, minScopes) * c.epochs.total
	return math.Log(float64(parts) / c.cfg.FalseAlarmProbability)
}

// fleetTally returns the evidence of this instance and its peers.
func (c *Controller) fleetTally(scope Scope) Tally {
	sum := Tally{}
	if own := c.judge.tallies[scope]; own != nil {
		sum = *own
	}
	if peers := c.peerTallies[scope]; peers != nil {
		sum.Merge(peers)
	}
	return sum
}

// scopes returns all scopes with evidence, here or at peers, in a fixed order.
func (c *Controller) scopes() []Scope {
	tallies := len(c.judge.tallies) + len(c.peerTallies) + len(c.judge.drifts)
	if tallies == c.ordered.tallies {
		return c.ordered.scopes
	}
	all := make(map[Scope]bool)
	for scope := range c.judge.tallies {
		all[scope] = true
	}
	for scope := range c.peerTallies {
		all[scope] = true
	}
	for scope := range c.judge.drifts {
		all[scope] = true
	}
	c.ordered = scopeOrder{tallies: tallies, scopes: sortedScopes(all)}
	return c.ordered.scopes
}

// checkEvidence takes the shift back if the new version proves worse. The own
// evidence cuts by itself; the fleet's adds what each instance is too small to
// see.
func (c *Controller) checkEvidence(now time.Time) {
	if c.view.Phase != Running && c.view.Phase != Watching {
		return
	}
	started := c.epochs.started(now)
	scopes := c.scopes()
	strongest, where := c.threshold(len(scopes)), -1
	for i, scope := range scopes {
		fleet := c.fleetTally(scope)
		summed := entry(c.fleet, scope)
		summed.advance(&fleet.Logs, started)
		own := entry(c.judge.detectors, scope)
		if tally := c.judge.tallies[scope]; tally != nil {
			own.advance(&tally.Logs, started)
		}
		if found := max(own.log(), summed.log()); found >= strongest {
			strongest, where = found, i
		}
	}
	if where >= 0 {
		scope := scopes[where]
		c.takeBack(now, scope.cause(), scope, describe(scope, c.fleetTally(scope)))
		return
	}
	c.checkDrift(now)
	c.checkStrikes(now)
}

// fleetDrift returns the log likelihood ratio of a drift over the fleet.
func (c *Controller) fleetDrift(scope Scope) float64 {
	sum := 0.0
	if own := c.judge.drifts[scope]; own != nil {
		sum = *own
	}
	if peers := c.peerDrifts[scope]; peers != nil {
		sum += *peers
	}
	return sum
}

// checkDrift begins a suspicion when the new version drifts, and ends one that
// has run its course.
func (c *Controller) checkDrift(now time.Time) {
	suspicion := &c.judge.suspicion
	strongest, where := 0.0, Scope{}
	for _, scope := range c.scopes() {
		d := entry(c.drifts, scope)
		if !c.judge.drifting {
			d.rest(c.fleetDrift(scope))
			continue
		}
		d.advance(c.fleetDrift(scope))
		if d.sum > strongest {
			strongest, where = d.sum, scope
		}
	}
	if strongest >= driftLimit && !suspicion.on {
		tally := c.fleetTally(where)
		suspicion.begin(now, where, &tally, entry(c.judge.baselines, where).counts)
	}
	if suspicion.on {
		tally := c.fleetTally(suspicion.scope)
		suspicion.review(now, &tally)
	}
}

// checkStrikes takes the shift back if suspicions passed without proof too
// often over the fleet.
func (c *Controller) checkStrikes(now time.Time) {
	all := make(map[Scope][]time.Time)
	for scope := range c.judge.suspicion.strikes {
		all[scope] = c.judge.suspicion.recent(now, scope)
	}
	for _, from := range c.sources {
		for _, s := range from.summary.UnprovenSuspicions {
			for _, at := range s.EndTimes {
				if now.Sub(at) < strikeTime {
					all[s.Scope] = append(all[s.Scope], at)
				}
			}
		}
	}
	for _, scope := range sortedScopes(all) {
		spells := countSpells(all[scope])
		if spells < maxStrikes {
			continue
		}
		detail := fmt.Sprintf("%s: worse in %d spells, only at a share above %s", scope, spells, suspectShare)
		c.takeBack(now, CauseLoad, scope, detail)
		return
	}
}

// countSpells counts strikes, of which those close together tell of one spell
// that several instances saw.
func countSpells(strikes []time.Time) int {
	slices.SortFunc(strikes, time.Time.Compare)
	spells := 0
	for i, at := range strikes {
		if i == 0 || at.Sub(strikes[i-1]) >= strikeGap {
			spells++
		}
	}
	return spells
}

// describe puts evidence into a sentence.
func describe(scope Scope, t Tally) string {
	return fmt.Sprintf("%s: new version %d of %d, old version %d of %d",
		scope, t.New.Hits, t.New.N, t.Old.Hits, t.Old.N)
}

// fleetProgress sums the present stage's outcomes over the fleet.
func (c *Controller) fleetProgress() map[string]*Progress {
	sum := make(map[string]*Progress)
	add := func(p *Progress) {
		e := entry(sum, p.Route)
		e.Route = p.Route
		e.New.add(p.New)
		e.Old.add(p.Old)
	}
	for _, p := range c.progress {
		add(p)
	}
	for _, from := range c.sources {
		if !from.summary.Record.sameStep(&c.view) {
			continue
		}
		for i := range from.summary.Progress {
			add(&from.summary.Progress[i])
		}
	}
	return sum
}

// blindAnywhere reports whether outcomes of the new version have stopped at this
// instance or at a live peer.
func (c *Controller) blindAnywhere(now time.Time) bool {
	if c.blind {
		return true
	}
	for name, from := range c.sources {
		if from.summary.OutcomesMissing && c.heardFrom(now, name) {
			return true
		}
	}
	return false
}
