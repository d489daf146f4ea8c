package placing

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/split"
)

// splitInterval is the time between two updates of a split while the regions of its
// service stay the same.
const splitInterval = 50 * time.Millisecond

// settleTime is how long the requests of an instance that joins others go where they are
// served best. Where they ran before is not known to it.
const settleTime = 3 * time.Second

// settle lets a new demand settle if this instance has just joined others.
func (p *Placer) settle(d *demand, now time.Time) {
	p.firstRequest.Do(func() { p.settledAt = now.Add(settleTime) })
	if now.Before(p.settledAt) {
		d.split.Settle(p.settledAt)
	}
}

// updateSplit updates the split of a demand with the slots of the regions that may
// serve it.
func (p *Placer) updateSplit(g *group, d *demand, now time.Time) {
	if now.Sub(d.splitAt) < splitInterval {
		return
	}
	if p.locality.Joins && d.splitAt.IsZero() {
		p.settle(d, now)
	}
	d.splitAt = now
	p.balance.Expect(int(p.instancesIn(p.locality.Region)), p.expectedRate())
	var regions []split.Region
	for _, e := range g.ordered {
		if len(d.regions) > 0 && !slices.Contains(d.regions, e.region) {
			continue
		}
		i := slices.IndexFunc(regions, func(r split.Region) bool { return r.Name == e.region })
		if i < 0 {
			i = len(regions)
			regions = append(regions, split.Region{Name: e.region, Demand: p.instancesIn(e.region), RoundTrip: seconds(p.regionRoundTrip(e.region))})
		}
		if p.isUsable(e, now) {
			e.decay(now, p.rules.OutcomeHalfLife)
			regions[i].Slots += e.Slots
			regions[i].FaultySlots += float64(e.Slots) * e.faults
			regions[i].Endpoints++
		}
	}
	d.split.Update(now, seconds(g.meanWork), regions)
}

// instancesIn returns the number of instances in a region.
func (p *Placer) instancesIn(region string) float64 {
	n := 0.0
	for _, m := range p.fleet {
		if m.Region == region {
			n++
		}
	}
	return n
}

// isUsable reports whether an endpoint takes requests at its usual rate. One that has
// just shed a request does.
func (p *Placer) isUsable(e *endpoint, now time.Time) bool {
	inBackoff := e.connectFailures > 0 && now.Before(e.backoffUntil)
	return !p.drainedDomains[e.FailureDomain] && !inBackoff && !e.cold(now) && !e.restriction.forbids(now)
}

// observeSplit records where a request has run, and the load that it met there.
func (p *Placer) observeSplit(now time.Time, c *Choice, o Outcome, load int) {
	switch o {
	case OutcomeShed, OutcomeUnreachable, OutcomeReplaced:
		p.balance.Undo(now, c.demand.split, c.Region)
	case OutcomeAnswered, OutcomeFailed, OutcomeTimedOut, OutcomeUnknown:
	}
	if load < 0 && o != OutcomeAnswered && o != OutcomeShed {
		return
	}
	if load < 0 {
		load = c.state.running(now, p.rules)
	}
	c.demand.split.Observe(now, c.Region, float64(load)/float64(max(1, c.state.Slots)))
}

// slotsPerRate is the number of slots per request per second that is assumed before
// any work is known.
const slotsPerRate = 1.0

// expectedRate returns the requests per second that are assumed for one instance
// before any is known.
func (p *Placer) expectedRate() float64 {
	return float64(p.slots) / slotsPerRate / float64(max(1, len(p.fleet)))
}

// RegionUse is what this instance does with the requests of one service that may run
// in all regions.
type RegionUse struct {
	// Service and Region name the service and the region.
	Service, Region string
	// Fraction is the part of the requests that runs there.
	Fraction float64
	// Load is the average load that they met there: requests per slot.
	Load float64
}

// RegionUses returns the use of each service's regions.
func (p *Placer) RegionUses() []RegionUse {
	var uses []RegionUse
	p.eachGroup(func(service string, g *group) {
		d := g.demands[""]
		if d == nil {
			return
		}
		for region := range g.regions {
			uses = append(uses, RegionUse{Service: service, Region: region, Fraction: d.split.Fraction(region), Load: d.split.Load(region)})
		}
	})
	return uses
}
