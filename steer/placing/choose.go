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

// search is the choice of an endpoint for one try.
type search struct {
	*Placer
	group  *group
	demand *demand
	query  Query
	work   *work
	object uint64               // the hash of the query's
	homes  map[string]*endpoint // the object's, by region
	prices map[string]float64   // of a second of a slot, by region
	now    time.Time
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
	d := g.demand(q)
	p.ask(g, d, q, now)
	object := xxhash.Sum64String(q.Object)
	s := &search{
		Placer: p, group: g, demand: d, query: q, work: g.workOf(q), object: object,
		homes: p.homesOf(g, q, object), prices: make(map[string]float64, len(p.trips)+1), now: now,
	}
	best, count, full := s.best()
	if best.e == nil {
		d.took(full, p.rules)
		return nil, s.noCandidate(full)
	}
	late := best.late(q, d.scarcity(p.rules))
	d.took(late > 0, p.rules)
	if late > 0 {
		return nil, &Refusal{
			Reason: ReasonTooLate, Expected: seconds(best.expected), RetryAfter: seconds(late), BestEndpoint: best.e.ID,
			QueueWait: seconds(best.wait), Warmth: best.warmth.String(), Candidates: count, Utilization: d.busy,
		}
	}
	return s.reserve(best, count), nil
}

// late returns by how many seconds a candidate's answer would come too late to
// be worth its slot; 0 or less is in time. Without a queue only the deadline
// counts: a slot that is free is used, also for an answer after the goal. With
// one, a request that can't reach the goal would make those behind it late.
// Scarce slots are not given for work that is expected to miss the goal because
// nobody knows the object: those that do know theirs need a third of the time.
func (c candidate) late(q Query, s scarcity) float64 {
	late := c.soonest - q.DeadlineLeft.Seconds()
	goal := max(q.GoalLeft, q.Goal/lateGoalPart).Seconds()
	if c.wait > 0 {
		late = max(late, c.expected-q.DeadlineLeft.Seconds(), c.soonest-goal)
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
func (s *search) noCandidate(full bool) *Refusal {
	r := &Refusal{Reason: ReasonNoEndpoint, Utilization: s.demand.busy}
	if full {
		r.Reason = ReasonNoRoom
		r.RetryAfter = seconds(s.work.mean[warmthWarm])
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
func (s *search) best() (best candidate, count int, full bool) {
	for _, e := range s.group.ordered {
		if !s.allowed(e, s.query) {
			continue
		}
		if !s.hasRoom(e, s.query, s.now) {
			full = true
			continue
		}
		count++
		known := s.known(e)
		c := s.expect(e, known)
		if known == warmthHome && !e.used && !e.cold(s.now) {
			// Somebody has to be the first at an endpoint that has joined.
			c.score = s.expect(e, warmthWarm).score - joinBonus.Seconds()
		}
		if best.e == nil || c.score < best.score {
			best = c
		}
	}
	return best, count, full
}

// known returns what is known of the object at an endpoint.
func (s *search) known(e *endpoint) warmth {
	if s.query.Object == "" {
		return warmthCold
	}
	return e.knows(s.object, s.homes[e.region] == e, s.now, s.rules)
}

// priceIn returns the price of a second of a slot in a region.
func (s *search) priceIn(region string) float64 {
	price, ok := s.prices[region]
	if !ok {
		price = max(s.price(s.demand.busy), s.reserved(s.group, region))
		s.prices[region] = price
	}
	return price
}

// joinBonus makes up for the way to an endpoint in another failure domain of the
// region.
const joinBonus = 2 * sameRegionTrip

// expect works out when an answer is to be expected from an endpoint.
func (s *search) expect(e *endpoint, known warmth) candidate {
	e.decay(s.now, s.rules.OutcomeHalfLife)
	c := candidate{e: e, warmth: known, trip: s.trip(e)}
	slowness := e.slowness(s.now, s.work.mean[warmthCold])
	service := s.work.mean[known] * slowness
	if e.cold(s.now) {
		service *= s.rules.ColdSlowdown
	}
	if waiting := e.running(s.now, s.rules) - e.Slots + 1; waiting > 0 {
		c.wait = float64(waiting) / float64(max(1, e.Slots)) * s.group.slot * slowness
	}
	c.plain = c.wait == 0 && !e.cold(s.now)
	c.expected = c.trip + c.wait + service
	c.usual = c.trip + (c.wait+service)/slowness
	c.soonest = c.trip + c.wait + s.work.mean[warmthWarm]
	c.score = c.expected + s.priceIn(e.region)*service + e.failures*s.rules.FailurePenalty.Seconds()
	return c
}

// reserve notes that a request goes to the candidate.
func (s *search) reserve(c candidate, count int) *Choice {
	choice := &Choice{
		Endpoint:   c.e.Endpoint,
		Region:     c.e.region,
		Expected:   seconds(c.expected),
		Nominal:    seconds(c.usual),
		QueueWait:  seconds(c.wait),
		Warmth:     c.warmth.String(),
		Running:    c.e.running(s.now, s.rules),
		Candidates: count,
		group:      s.group,
		state:      c.e,
		route:      s.query.Route,
		warmth:     c.warmth,
		start:      s.now,
		plain:      c.plain,
		trip:       c.trip,
	}
	if c.e.cold(s.now) {
		rate, _ := s.coldRate(c.e, s.query.Service)
		c.e.takeCold(s.now, rate)
	}
	if s.query.Object != "" && c.e.remember(s.object, s.now, s.rules) {
		s.group.note(WarmedObject{Endpoint: c.e.Incarnation(), Object: s.object}, s.now)
	}
	c.e.used = true
	c.e.started(s.now)
	return choice
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
