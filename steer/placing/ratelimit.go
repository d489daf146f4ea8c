package placing

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

const (
	// limitBurst is the number of requests that an instance may send at once to an
	// endpoint that names a limit. The number of instances that may send follows the
	// limit, so that their bursts together stay small beside it.
	limitBurst = 2
	// minLimitRate is the rate, in requests per second over all instances, at which
	// an endpoint is asked even if its limit is lower. Without requests the end of
	// the limit would not be noticed.
	minLimitRate = 0.25
)

// limitPart is this instance's part of an endpoint's limit.
type limitPart struct {
	// rate is in requests per second; sender is whether this instance may send any.
	rate   float64
	sender bool
	// limit and topology are what it was computed from.
	limit    ratelimit.Limit
	topology int
}

// limitRate returns how many requests per second this instance may send to an
// endpoint that names a limit, and whether it may send any. The limit is divided
// evenly among a few instances of the endpoint's region and of regions in which
// the service has no endpoint.
func (p *Placer) limitRate(e *endpoint, l ratelimit.Limit) (float64, bool) {
	if part := e.limitPart; part.limit == l && part.topology == p.topology {
		return part.rate, part.sender
	}
	g := p.groups[e.Service]
	maxSenders := 1 + int(min(l.PerSecond, float64(len(p.fleet))))
	senders, chosen := p.senders(e, maxSenders, func(region string) bool { return region == e.region || !g.regions[region] })
	e.limitPart = limitPart{rate: max(l.PerSecond, minLimitRate) / float64(senders), sender: chosen, limit: l, topology: p.topology}
	return e.limitPart.rate, chosen
}

// limitAllows reports whether the limit that an endpoint names, if any, allows
// this instance one more request now. The caller holds the group's mu.
func (p *Placer) limitAllows(e *endpoint, now time.Time) bool {
	l := e.restriction.rate.Limit(now)
	if !l.Named {
		return true
	}
	rate, sender := p.limitRate(e, l)
	return sender && e.limitTokens.Ready(now, rate)
}

// limitWait returns the time until an endpoint's limit allows this instance one
// more request. It reports false if it never does.
func (p *Placer) limitWait(e *endpoint, now time.Time) (time.Duration, bool) {
	l := e.restriction.rate.Limit(now)
	if !l.Named {
		return 0, true
	}
	rate, sender := p.limitRate(e, l)
	return e.limitTokens.Wait(now, rate), sender
}

// takeLimitToken counts a request against the limit that an endpoint names.
func (p *Placer) takeLimitToken(e *endpoint, now time.Time) {
	if l := e.restriction.rate.Limit(now); l.Named {
		rate, _ := p.limitRate(e, l)
		e.limitTokens.Take(now, rate)
	}
}

// ObserveRateLimit records what an endpoint's response to a request that was sent
// at sentAt states about its limit. It reports whether the limit has changed.
func (p *Placer) ObserveRateLimit(sentAt, now time.Time, in catalog.Incarnation, l ratelimit.Limit) bool {
	return p.changeRateLimit(now, in, func(k ratelimit.Knowledge) ratelimit.Knowledge { return k.AfterResponse(sentAt, now, l) })
}

// ObservePeerRateLimit records what a peer reports that an endpoint's response
// stated some time ago. It reports whether the limit has changed.
func (p *Placer) ObservePeerRateLimit(now time.Time, r EndpointRateLimit) bool {
	return p.changeRateLimit(now, r.Endpoint, func(k ratelimit.Knowledge) ratelimit.Knowledge {
		return k.AfterReport(now.Add(-r.Age), r.Limit)
	})
}

// changeRateLimit changes what is known about an endpoint's limit. It reports
// whether the limit has changed.
func (p *Placer) changeRateLimit(now time.Time, in catalog.Incarnation, change func(ratelimit.Knowledge) ratelimit.Knowledge) bool {
	known := p.restrictions.of(in).rate
	if change(known) == known {
		return false
	}
	changed := false
	p.restrict(now, in, func(r *restriction) {
		before := r.rate.Limit(now)
		r.rate = change(r.rate)
		changed = r.rate.Limit(now) != before
	})
	return changed
}

// EndpointRateLimit is what an endpoint's response stated some time ago.
type EndpointRateLimit struct {
	// Endpoint is the incarnation of the endpoint.
	Endpoint catalog.Incarnation
	// Limit is what it stated.
	Limit ratelimit.Limit
	// Age is the time since the response.
	Age time.Duration
}

// RateLimits returns what recent responses, or peers' reports of them, stated
// about the limits of endpoints that name one or have just ceased to.
func (p *Placer) RateLimits(now time.Time) []EndpointRateLimit {
	p.restrictions.mu.Lock()
	defer p.restrictions.mu.Unlock()
	var limits []EndpointRateLimit
	for in, r := range p.restrictions.known {
		if age, reported := r.rate.Age(now); reported {
			limits = append(limits, EndpointRateLimit{Endpoint: in, Limit: r.rate.Limit(now), Age: age})
		}
	}
	return limits
}
