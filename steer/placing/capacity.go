package placing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/split"
)

// scarcity is how scarce slots are for a request.
type scarcity uint8

const (
	// slotsFree means that slots are free.
	slotsFree scarcity = iota
	// slotsBusy means that all slots are in use.
	slotsBusy
	// slotsOversubscribed means that, in addition, many requests have been
	// refused recently.
	slotsOversubscribed
)

// scarcity returns how scarce the slots are for the requests of a demand.
func (d *demand) scarcity(r Rules) scarcity {
	switch {
	case d.utilization < r.BusyTo:
		return slotsFree
	case d.refusedShare < r.HighRefusalShare:
		return slotsBusy
	}
	return slotsOversubscribed
}

// demand is the state of the requests that may be served by the same set of
// regions.
type demand struct {
	regions      []string // empty for all
	share        float64  // fraction of the service's requests
	refusedShare float64  // fraction of them that were refused
	utilization  float64  // fraction of their slots in use at the last request
	slotShare    float64  // fraction of the service's slots that may serve them
	split        *split.Split
	splitAt      time.Time // of the last update of split
}

// demand returns the demand that a request belongs to. home is this instance's region.
func (g *group) demand(q Query, home string) *demand {
	key := strings.Join(q.HomeRegions, ",")
	d := g.demands[key]
	if d == nil {
		d = &demand{regions: q.HomeRegions, split: split.New(home)}
		g.demands[key] = d
	}
	return d
}

// updateRefusedShare updates the share of refused requests with one more
// request.
func (d *demand) updateRefusedShare(refused bool, r Rules) {
	if refused {
		d.refusedShare += r.RefusalWeight
	}
	d.refusedShare /= 1 + r.RefusalWeight
}

// recordRequest updates the shares of all demands with one more request and the
// slot usage of its demand.
func (p *Placer) recordRequest(g *group, d *demand, q Query, now time.Time) {
	for _, other := range g.demands {
		if q.Waiting {
			break // counted at its arrival
		}
		if other == d {
			other.share += p.rules.ShareWeight
		}
		other.share /= 1 + p.rules.ShareWeight
	}
	d.utilization, d.slotShare = p.utilization(g, q, "", now)
}

// homeRegionPrice returns the price of a slot in a region that follows from the
// requests that may only be served by certain regions. It is low if these
// requests are few relative to the slots that may serve them.
func (p *Placer) homeRegionPrice(g *group, region string) float64 {
	price := 0.0
	for _, d := range g.demands {
		if d.slotShare > 0 && slices.Contains(d.regions, region) {
			price = max(price, p.price(d.utilization)*min(1, d.share/d.slotShare))
		}
	}
	return price
}

// price returns the price of one second of a slot, in seconds, at a
// utilization.
func (p *Placer) price(utilization float64) float64 {
	over := (utilization - p.rules.BusyFrom) / (p.rules.BusyTo - p.rules.BusyFrom)
	return p.rules.MaxSlotPrice * min(1, max(0, over))
}

// utilization returns the fraction in use of the slots of the endpoints in a
// region, or in all if it is "", that may serve a request, and the fraction of the
// service's slots that these are. The utilization exceeds 1 if requests are queued.
func (p *Placer) utilization(g *group, q Query, region string, now time.Time) (utilization, slotShare float64) {
	running, slots, all := 0, 0, 0
	for _, e := range g.ordered {
		all += e.Slots
		if region != "" && e.region != region {
			continue
		}
		if p.allowed(e, q) && !now.Before(e.backoffUntil) && !e.restriction.forbids(now) && p.limitAllows(e, now) {
			running += e.running(now, p.rules)
			slots += e.Slots
		}
	}
	if slots == 0 {
		return 0, 0
	}
	return float64(running) / float64(slots), float64(slots) / float64(all)
}

// allowed reports whether the endpoint may serve the request at all.
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

// hasCapacity reports whether the endpoint can take one more request now.
func (p *Placer) hasCapacity(e *endpoint, q Query, now time.Time) bool {
	if now.Before(e.backoffUntil) || e.probing && len(e.starts) > 0 || e.restriction.forbids(now) {
		return false
	}
	if float64(e.running(now, p.rules)) >= float64(e.Slots)*p.rules.QueueFactor {
		return false
	}
	if !p.limitAllows(e, now) {
		return false
	}
	if !p.paceAllows(e, now) {
		return false
	}
	if !e.cold(now) {
		return true
	}
	rate, sender := p.coldRate(e, q.Service)
	return sender && e.coldTokens.Ready(now, rate)
}

// coldRate returns how many requests per second this instance may send to a
// cold endpoint, and whether it may send any.
func (p *Placer) coldRate(e *endpoint, service string) (float64, bool) {
	if p.rules.Pace {
		senders, chosen := p.coldSenders(e)
		return p.services[service].ColdRate * p.rules.ColdRateShare / float64(senders), chosen
	}
	senders, chosen := p.senders(e, p.rules.MaxColdSenders, func(region string) bool { return region == e.region })
	return p.services[service].ColdRate * p.rules.ColdRateShare / float64(senders), chosen
}

// senders returns how many instances send to an endpoint, and whether this one
// does. They are chosen by rendezvous hashing among the instances of the given
// regions, or among all if these have none.
func (p *Placer) senders(e *endpoint, most int, preferred func(region string) bool) (senders int, chosen bool) {
	all := !slices.ContainsFunc(p.fleet, func(m Member) bool { return preferred(m.Region) })
	ownRank := mixHashes(e.hash, xxhash.Sum64String(p.locality.Self))
	ahead := 0
	for _, m := range p.fleet {
		if !all && !preferred(m.Region) {
			continue
		}
		senders++
		if m.Name != p.locality.Self && mixHashes(e.hash, xxhash.Sum64String(m.Name)) > ownRank {
			ahead++
		}
	}
	senders = min(senders, most)
	return senders, ahead < senders && (all || preferred(p.locality.Region))
}
