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
	// scarceNot means that slots are free.
	scarceNot scarcity = iota
	// scarce means that they are all in use.
	scarce
	// scarceLong means that many requests have been refused of late, too.
	scarceLong
)

// scarcity says how scarce the slots are for the requests of a demand.
func (d *demand) scarcity(r Rules) scarcity {
	switch {
	case d.busy < r.BusyTo:
		return scarceNot
	case d.refused < r.HighRefusalShare:
		return scarce
	}
	return scarceLong
}

// demand is what is known of the requests that certain regions alone may serve.
type demand struct {
	regions []string // empty for all
	share   float64  // of the service's requests
	refused float64  // share of them that were refused
	busy    float64  // part of the slots in use at the last one
	slots   float64  // part of the service's slots that may serve them
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

// took takes in whether a request was refused.
func (d *demand) took(refused bool, r Rules) {
	if refused {
		d.refused += r.RefusalWeight
	}
	d.refused /= 1 + r.RefusalWeight
}

// ask notes a request of a demand.
func (p *Placer) ask(g *group, d *demand, q Query, now time.Time) {
	for _, other := range g.demands {
		if other == d {
			other.share += p.rules.ShareWeight
		}
		other.share /= 1 + p.rules.ShareWeight
	}
	d.busy, d.slots = p.busy(g, q, now)
}

// reserved returns the price of a slot in a region by what the requests need
// that no other region may serve: none where they are few for its slots.
func (p *Placer) reserved(g *group, region string) float64 {
	price := 0.0
	for _, d := range g.demands {
		if d.slots > 0 && slices.Contains(d.regions, region) {
			price = max(price, p.price(d.busy)*min(1, d.share/d.slots))
		}
	}
	return price
}

// price returns what a second of a slot counts as, in seconds, when a part of
// the slots is in use.
func (p *Placer) price(busy float64) float64 {
	over := (busy - p.rules.BusyFrom) / (p.rules.BusyTo - p.rules.BusyFrom)
	return p.rules.MaxSlotPrice * min(1, max(0, over))
}

// busy returns which part of the slots is in use of the endpoints that may serve
// a request, more than 1 where requests wait, and which part of the service's
// slots these are.
func (p *Placer) busy(g *group, q Query, now time.Time) (busy, part float64) {
	running, slots, all := 0, 0, 0
	for _, e := range g.ordered {
		all += e.Slots
		if p.allowed(e, q) && !now.Before(e.restUntil) {
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
	case p.closed[e.FailureDomain]:
		return false
	case q.Versions != nil && !q.Versions(e.Version):
		return false
	case len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, e.region):
		return false
	}
	return !slices.Contains(q.Tried, e.Incarnation())
}

// hasRoom says whether the endpoint may get one more request now.
func (p *Placer) hasRoom(e *endpoint, q Query, now time.Time) bool {
	if now.Before(e.restUntil) || e.onTrial && len(e.starts) > 0 {
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
	e.fillCold(now, rate)
	return e.coldTokens >= 1
}

// coldRate returns how many requests a second this instance may send to a cold
// endpoint, and whether it may send any.
func (p *Placer) coldRate(e *endpoint, service string) (float64, bool) {
	near := 0
	for _, m := range p.fleet {
		if m.Region == e.region {
			near++
		}
	}
	own := mix(e.hash, xxhash.Sum64String(p.here.Self))
	if near > 0 && p.here.Region != e.region {
		return 0, false
	}
	ahead, senders := 0, 0
	for _, m := range p.fleet {
		if near > 0 && m.Region != e.region {
			continue
		}
		senders++
		if m.Name != p.here.Self && mix(e.hash, xxhash.Sum64String(m.Name)) > own {
			ahead++
		}
	}
	senders = min(senders, p.rules.MaxColdSenders)
	if ahead >= senders {
		return 0, false
	}
	return p.services[service].ColdRate * p.rules.ColdRateShare / float64(senders), true
}
