package placing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// scarcity says how scarce slots are for a request.
type scarcity uint8

const (
	// slotsFree means that slots are free.
	slotsFree scarcity = iota
	// slotsBusy means that they are all in use.
	slotsBusy
	// slotsOversubscribed means that many requests have been refused of late, too.
	slotsOversubscribed
)

// scarcity says how scarce the slots are for the requests of a demand.
func (d *demand) scarcity(r Rules) scarcity {
	switch {
	case d.utilization < r.BusyTo:
		return slotsFree
	case d.refusedShare < r.HighRefusalShare:
		return slotsBusy
	}
	return slotsOversubscribed
}

// demand is what is known of the requests that certain regions alone may serve.
type demand struct {
	regions      []string // empty for all
	share        float64  // of the service's requests
	refusedShare float64  // share of them that were refused
	utilization  float64  // part of the slots in use at the last one
	slotShare    float64  // part of the service's slots that may serve them
}

// demand returns the demand that a request belongs to.
func (g *group) demand(q Query) *demand {
	key := strings.Join(q.HomeRegions, ",")
	d := g.demands[key]
	if d == nil {
		d = &demand{regions: q.HomeRegions}
		g.demands[key] = d
	}
	return d
}

// updateRefusedShare takes in whether a request was refused.
func (d *demand) updateRefusedShare(refused bool, r Rules) {
	if refused {
		d.refusedShare += r.RefusalWeight
	}
	d.refusedShare /= 1 + r.RefusalWeight
}

// recordRequest notes a request of a demand.
func (p *Placer) recordRequest(g *group, d *demand, q Query, now time.Time) {
	for _, other := range g.demands {
		if other == d {
			other.share += p.rules.ShareWeight
		}
		other.share /= 1 + p.rules.ShareWeight
	}
	d.utilization, d.slotShare = p.utilization(g, q, now)
}

// homeRegionPrice returns the price of a slot in a region by what the requests need
// that no other region may serve: none where they are few for its slots.
func (p *Placer) homeRegionPrice(g *group, region string) float64 {
	price := 0.0
	for _, d := range g.demands {
		if d.slotShare > 0 && slices.Contains(d.regions, region) {
			price = max(price, p.price(d.utilization)*min(1, d.share/d.slotShare))
		}
	}
	return price
}

// price returns what a second of a slot counts as, in seconds, when a part of
// the slots is in use.
func (p *Placer) price(utilization float64) float64 {
	over := (utilization - p.rules.BusyFrom) / (p.rules.BusyTo - p.rules.BusyFrom)
	return p.rules.MaxSlotPrice * min(1, max(0, over))
}

// utilization returns which part of the slots is in use of the endpoints that may serve
// a request, more than 1 where requests wait, and which part of the service's
// slots these are.
func (p *Placer) utilization(g *group, q Query, now time.Time) (utilization, slotShare float64) {
	running, slots, all := 0, 0, 0
	for _, e := range g.ordered {
		all += e.Slots
		if p.allowed(e, q) && !now.Before(e.backoffUntil) {
			running += e.running(now, p.rules)
			slots += e.Slots
		}
	}
	if slots == 0 {
		return 0, 0
	}
	return float64(running) / float64(slots), float64(slots) / float64(all)
}

// allowed says whether the request may go to the endpoint at all.
func (p *Placer) allowed(e *endpoint, q Query) bool {
	switch {
	case p.drainedDomains[e.FailureDomain]:
		return false
	case q.Versions != nil && !q.Versions(e.Version):
		return false
	case len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, e.region):
		return false
	}
	return !slices.Contains(q.Tried, e.Incarnation())
}

// hasCapacity says whether the endpoint may get one more request now.
func (p *Placer) hasCapacity(e *endpoint, q Query, now time.Time) bool {
	if now.Before(e.backoffUntil) || e.probing && len(e.starts) > 0 {
		return false
	}
	if float64(e.running(now, p.rules)) >= float64(e.Slots)*p.rules.QueueFactor {
		return false
	}
	if !e.cold(now) {
		return true
	}
	rate, sender := p.coldRate(e, q.Service)
	if !sender {
		return false
	}
	e.refillCold(now, rate)
	return e.coldTokens >= 1
}

// coldRate returns how many requests a second this instance may send to a cold
// endpoint, and whether it may send any.
func (p *Placer) coldRate(e *endpoint, service string) (float64, bool) {
	inRegion := 0
	for _, m := range p.fleet {
		if m.Region == e.region {
			inRegion++
		}
	}
	ownRank := mixHashes(e.hash, xxhash.Sum64String(p.locality.Self))
	if inRegion > 0 && p.locality.Region != e.region {
		return 0, false
	}
	ahead, senders := 0, 0
	for _, m := range p.fleet {
		if inRegion > 0 && m.Region != e.region {
			continue
		}
		senders++
		if m.Name != p.locality.Self && mixHashes(e.hash, xxhash.Sum64String(m.Name)) > ownRank {
			ahead++
		}
	}
	senders = min(senders, p.rules.MaxColdSenders)
	if ahead >= senders {
		return 0, false
	}
	return p.services[service].ColdRate * p.rules.ColdRateShare / float64(senders), true
}
