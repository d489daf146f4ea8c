package shift

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// minScopes is the minimum number of scopes by which the false alarm
// probability is divided.
const minScopes = 8

// scopeCache caches the sorted scopes until one is added.
type scopeCache struct {
	tallies int
	scopes  []Scope
}

// threshold returns the evidence, in nats, at which a detector rolls the shift
// back. The false alarm probability is divided among the scopes, the two
// detectors of each scope (local and fleet) and the starting times of the
// detectors.
func (c *Controller) threshold(scopes int) float64 {
	parts := 2 * max(scopes, minScopes) * c.epochs.total
	return math.Log(float64(parts) / c.cfg.FalseAlarmProbability)
}

// fleetTally returns the combined evidence of this instance and its peers.
func (c *Controller) fleetTally(scope Scope) Tally {
	sum := Tally{}
	if local := c.judge.tallies[scope]; local != nil {
		sum = *local
	}
	if peers := c.peerTallies[scope]; peers != nil {
		sum.Merge(peers)
	}
	return sum
}

// scopes returns all scopes with local evidence or evidence from peers, in a
// fixed order.
func (c *Controller) scopes() []Scope {
	tallies := len(c.judge.tallies) + len(c.peerTallies) + len(c.judge.drifts)
	if tallies == c.scopeCache.tallies {
		return c.scopeCache.scopes
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
	c.scopeCache = scopeCache{tallies: tallies, scopes: sortedScopes(all)}
	return c.scopeCache.scopes
}

// checkEvidence rolls the shift back if the new version is proven worse. Local
// evidence alone is enough; the fleet's evidence detects faults for which each
// instance has too little traffic.
func (c *Controller) checkEvidence(now time.Time) {
	if c.view.Phase != Running && c.view.Phase != Watching {
		return
	}
	started := c.epochs.started(now)
	scopes := c.scopes()
	strongest, strongestIndex := c.threshold(len(scopes)), -1
	for i, scope := range scopes {
		fleet := c.fleetTally(scope)
		fleetDetector := getOrCreate(c.fleetDetectors, scope)
		fleetDetector.advance(&fleet.Logs, started)
		localDetector := getOrCreate(c.judge.detectors, scope)
		if tally := c.judge.tallies[scope]; tally != nil {
			localDetector.advance(&tally.Logs, started)
		}
		if found := max(localDetector.log(), fleetDetector.log()); found >= strongest {
			strongest, strongestIndex = found, i
		}
	}
	if strongestIndex >= 0 {
		scope := scopes[strongestIndex]
		c.rollBack(now, scope.cause(), scope, describeEvidence(scope, c.fleetTally(scope)))
		return
	}
	c.checkDrift(now)
	c.checkUnprovenSuspicions(now)
}

// fleetDrift returns the log likelihood ratio of a drift, summed over the
// fleet.
func (c *Controller) fleetDrift(scope Scope) float64 {
	sum := 0.0
	if local := c.judge.drifts[scope]; local != nil {
		sum = *local
	}
	if peers := c.peerDrifts[scope]; peers != nil {
		sum += *peers
	}
	return sum
}

// checkDrift starts a suspicion when the new version drifts, and ends an active
// one when it is complete.
func (c *Controller) checkDrift(now time.Time) {
	suspicion := &c.judge.suspicion
	strongest, strongestScope := 0.0, Scope{}
	for _, scope := range c.scopes() {
		d := getOrCreate(c.drifts, scope)
		if !c.judge.driftEnabled {
			d.pause(c.fleetDrift(scope))
			continue
		}
		d.advance(c.fleetDrift(scope))
		if d.sum > strongest {
			strongest, strongestScope = d.sum, scope
		}
	}
	if strongest >= driftLimit && !suspicion.active {
		tally := c.fleetTally(strongestScope)
		suspicion.begin(now, strongestScope, &tally, getOrCreate(c.judge.baselines, strongestScope).counts)
	}
	if suspicion.active {
		tally := c.fleetTally(suspicion.scope)
		suspicion.endIfComplete(now, &tally)
	}
}

// checkUnprovenSuspicions rolls the shift back if too many suspicions over the
// fleet ended without proof.
func (c *Controller) checkUnprovenSuspicions(now time.Time) {
	all := make(map[Scope][]time.Time)
	for scope := range c.judge.suspicion.unprovenEnds {
		all[scope] = c.judge.suspicion.recentUnproven(now, scope)
	}
	for _, peer := range c.peers {
		for _, s := range peer.report.UnprovenSuspicions {
			for _, at := range s.EndTimes {
				if now.Sub(at) < unprovenWindow {
					all[s.Scope] = append(all[s.Scope], at)
				}
			}
		}
	}
	for _, scope := range sortedScopes(all) {
		episodes := countEpisodes(all[scope])
		if episodes < maxUnprovenSuspicions {
			continue
		}
		detail := fmt.Sprintf("%s: worse in %d spells, only at a share above %s", scope, episodes, suspectShare)
		c.rollBack(now, CauseLoad, scope, detail)
		return
	}
}

// countEpisodes counts the episodes behind the ends of suspicions. Ends that
// are close together belong to one episode, seen by several instances.
func countEpisodes(ends []time.Time) int {
	slices.SortFunc(ends, time.Time.Compare)
	episodes := 0
	for i, at := range ends {
		if i == 0 || at.Sub(ends[i-1]) >= minEpisodeGap {
			episodes++
		}
	}
	return episodes
}

// describeEvidence formats evidence for operators.
func describeEvidence(scope Scope, t Tally) string {
	return fmt.Sprintf("%s: new version %d of %d, old version %d of %d",
		scope, t.New.Hits, t.New.N, t.Old.Hits, t.Old.N)
}

// fleetProgress sums the outcomes of the current stage over the fleet.
func (c *Controller) fleetProgress() map[string]*Progress {
	sum := make(map[string]*Progress)
	add := func(p *Progress) {
		e := getOrCreate(sum, p.Route)
		e.Route = p.Route
		e.New.add(p.New)
		e.Old.add(p.Old)
	}
	for _, p := range c.progress {
		add(p)
	}
	for _, peer := range c.peers {
		if !peer.report.Record.sameStep(&c.view) {
			continue
		}
		for i := range peer.report.Progress {
			add(&peer.report.Progress[i])
		}
	}
	return sum
}

// outcomesMissingInFleet reports whether outcomes of the new version are
// missing on this instance or on a live peer.
func (c *Controller) outcomesMissingInFleet(now time.Time) bool {
	if c.outcomesMissing {
		return true
	}
	for name, peer := range c.peers {
		if peer.report.OutcomesMissing && c.reportedRecently(now, name) {
			return true
		}
	}
	return false
}
