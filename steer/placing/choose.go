package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// candidate is an endpoint with its expected times, in seconds.
type candidate struct {
	e        *endpoint
	score    float64
	expected float64
	usual    float64 // at an endpoint that is not slower than others
	soonest  float64 // if the object is known there after all
	wait     float64
	warmth   warmth
	plain    bool
	trip     float64
}

// Choose returns the endpoint with the earliest expected answer. Errors:
// *Refusal.
func (p *Placer) Choose(now time.Time, q Query) (*Choice, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	g := p.group(q.Service)
	if g == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.workOf(q)
	object := xxhash.Sum64String(q.Object)
	homes := p.homesOf(g, q, object)
	d := g.demand(q)
	p.ask(g, d, q, now)
	best, count, full := p.best(g, q, w, object, homes, now)
	if best.e == nil {
		d.took(full, p.rules)
		return nil, noCandidate(w, full, d.busy)
	}
	late := best.late(q, d.scarcity(p.rules))
	d.took(late > 0, p.rules)
	if late > 0 {
		return nil, &Refusal{
			Reason: ReasonTooLate, Expected: seconds(best.expected), Retry: seconds(late), Best: best.e.ID,
			Wait: seconds(best.wait), Known: best.warmth.String(), Candidates: count, Busy: d.busy,
		}
	}
	return p.reserve(g, q, best, object, count, now), nil
}

// late returns by how many seconds a candidate's answer would come too late to
// be worth its slot; 0 or less is in time. Without a queue only the deadline
// counts: a slot that is free is used, also for an answer after the goal. With
// one, a request that can't reach the goal would make those behind it late.
// Scarce slots are not given for work that is expected to miss the goal because
// nobody knows the object: those that do know theirs need a third of the time.
func (c candidate) late(q Query, s scarcity) float64 {
	late := c.soonest - q.Limit.Seconds()
	goal := max(q.GoalLeft, q.Goal/lateGoalPart).Seconds()
	if c.wait > 0 {
		late = max(late, c.expected-q.Limit.Seconds(), c.soonest-goal)
	}
	unknown := s >= scarce && c.warmth == warmthCold || s == scarceLong && c.warmth == warmthHome
	if unknown && q.Object != "" && c.soonest <= goal {
		late = max(late, c.expected-goal)
	}
	return late
}

// lateGoalPart divides the goal into the time that a request which has missed
// it may still wait for an answer, so that one that came back is not refused
// for the shortest queue.
const lateGoalPart = 2

// noCandidate says why nothing could be chosen.
func noCandidate(w *work, full bool, busy float64) *Refusal {
	r := &Refusal{Reason: ReasonNoEndpoint, Busy: busy}
	if full {
		r.Reason = ReasonNoRoom
		r.Retry = seconds(w.mean[warmthWarm])
	}
	return r
}

// workOf returns the times of work of the query's route.
func (g *group) workOf(q Query) *work {
	w := g.work[q.Route]
	if w == nil {
		w = newWork(q.Goal)
		g.work[q.Route] = w
	}
	if g.slot == 0 {
		g.slot = w.mean[warmthHome]
	}
	return w
}

// homesOf returns the home of the object in each region. Endpoints that are
// cold or at rest keep their objects: they are back soon.
func (p *Placer) homesOf(g *group, q Query, object uint64) map[string]*endpoint {
	if q.Object == "" {
		return nil
	}
	homes := make(map[string]*endpoint, len(p.trips)+1)
	weights := make(map[string]uint64, len(p.trips)+1)
	for _, e := range g.ordered {
		if q.Versions != nil && !q.Versions(e.Version) || p.closed[e.FailureDomain] {
			continue
		}
		if weight := mix(e.hash, object); homes[e.region] == nil || weight > weights[e.region] {
			homes[e.region], weights[e.region] = e, weight
		}
	}
	return homes
}

// best returns the candidate with the earliest expected answer, how many there
// were, and whether others had no room.
func (p *Placer) best(g *group, q Query, w *work, object uint64, homes map[string]*endpoint, now time.Time) (best candidate, count int, full bool) {
	usual := p.price(g.demand(q).busy)
	prices := make(map[string]float64, len(p.trips)+1)
	for _, e := range g.ordered {
		if !p.allowed(e, q) {
			continue
		}
		if !p.hasRoom(e, q, now) {
			full = true
			continue
		}
		count++
		known := warmthCold
		if q.Object != "" {
			known = e.knows(object, homes[e.region] == e, now, p.rules)
		}
		price, ok := prices[e.region]
		if !ok {
			price = max(usual, p.reserved(g, e.region))
			prices[e.region] = price
		}
		c := p.expect(g, e, w, known, price, now)
		if known == warmthHome && !e.used && !e.cold(now) {
			// Somebody has to be the first at an endpoint that has joined.
			c.score = p.expect(g, e, w, warmthWarm, price, now).score - joinBonus.Seconds()
		}
		if best.e == nil || c.score < best.score {
			best = c
		}
	}
	return best, count, full
}

// joinBonus makes up for the way to an endpoint in another failure domain of the
// region.
const joinBonus = 2 * sameRegionTrip

// expect works out when an answer is to be expected from an endpoint.
func (p *Placer) expect(g *group, e *endpoint, w *work, known warmth, price float64, now time.Time) candidate {
	e.decay(now, p.rules.Forget)
	c := candidate{e: e, warmth: known, trip: p.trip(e)}
	slowness := e.slowness(now, w.mean[warmthCold])
	service := w.mean[known] * slowness
	if e.cold(now) {
		service *= p.rules.ColdSlowdown
	}
	if waiting := e.running(now, p.rules) - e.Slots + 1; waiting > 0 {
		c.wait = float64(waiting) / float64(max(1, e.Slots)) * g.slot * slowness
	}
	c.plain = c.wait == 0 && !e.cold(now)
	c.expected = c.trip + c.wait + service
	c.usual = c.trip + (c.wait+service)/slowness
	c.soonest = c.trip + c.wait + w.mean[warmthWarm]
	c.score = c.expected + price*service + e.failures*p.rules.FailureCost.Seconds()
	return c
}

// reserve notes that a request goes to the candidate.
func (p *Placer) reserve(g *group, q Query, c candidate, object uint64, count int, now time.Time) *Choice {
	choice := &Choice{
		Endpoint:   c.e.Endpoint,
		Region:     c.e.region,
		Expected:   seconds(c.expected),
		Usual:      seconds(c.usual),
		Wait:       seconds(c.wait),
		Known:      c.warmth.String(),
		Running:    c.e.running(now, p.rules),
		Candidates: count,
		group:      g,
		state:      c.e,
		route:      q.Route,
		warmth:     c.warmth,
		start:      now,
		plain:      c.plain,
		trip:       c.trip,
	}
	if c.e.cold(now) {
		rate, _ := p.coldRate(c.e, q.Service)
		c.e.takeCold(now, rate)
	}
	if q.Object != "" && c.e.remember(object, now, p.rules) {
		g.note(Warmed{Endpoint: c.e.Incarnation(), Object: object}, now)
	}
	c.e.used = true
	c.e.started(now)
	return choice
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
