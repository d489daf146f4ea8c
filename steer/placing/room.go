package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// price returns what a second of a slot counts as, in seconds.
func (p *Placer) price(g *group, q Query, now time.Time) float64 {
	running, slots := 0, 0
	for _, e := range g.ordered {
		if p.allowed(e, q) && !now.Before(e.restUntil) {
			running += e.running(now, p.rules)
			slots += e.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	busy := (float64(running)/float64(slots) - p.rules.BusyFrom) / (p.rules.BusyTo - p.rules.BusyFrom)
	return p.rules.SlotPrice * min(1, max(0, busy))
}

// allowed says whether the request may go to the endpoint at all.
func (p *Placer) allowed(e *endpoint, q Query) bool {
	switch {
	case p.closed[e.FailureDomain]:
		return false
	case q.Versions != nil && !q.Versions(e.Version):
		return false
	case len(q.Homes) > 0 && !slices.Contains(q.Homes, e.region):
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
	senders = min(senders, p.rules.ColdSenders)
	if ahead >= senders {
		return 0, false
	}
	return p.services[service].ColdRate * p.rules.ColdRateShare / float64(senders), true
}
