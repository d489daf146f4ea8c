package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Query asks for an endpoint for one try of a request.
type Query struct {
	// Service is where the request goes.
	Service string
	// Route names the route; times of work are learned by it.
	Route string
	// Object names what the request is about, "" when nothing is known.
	Object string
	// Versions says which versions may be chosen; nil means all.
	Versions func(version string) bool
	// Homes are the regions that may serve the request; empty means all.
	Homes []string
	// Tried are the endpoints that earlier tries failed at.
	Tried []catalog.Incarnation
	// Goal is the route's response-time goal; times of work that are not
	// known yet are guessed from it.
	Goal time.Duration
	// GoalLeft is the time left until the goal; it may be negative.
	GoalLeft time.Duration
	// Limit is the time left until the request's deadline.
	Limit time.Duration
}

// Choice is an endpoint with the right to send one request to it. Done must be
// called once for each.
type Choice struct {
	// Endpoint is where the request goes.
	Endpoint catalog.Endpoint
	// Region is the endpoint's region.
	Region string
	// Expected is the time in which an answer is expected.
	Expected time.Duration
	// Usual is Expected for an endpoint that is not slower than others.
	Usual time.Duration
	// Wait is the part of it that is spent in the endpoint's queue.
	Wait time.Duration
	// Known is what is known of the object there: "warm", "home" or "cold".
	Known string
	// Running is how many requests were known to be there.
	Running int
	// Candidates is how many endpoints could have been chosen.
	Candidates int

	group  *group
	state  *endpoint
	route  string
	warmth warmth
	start  time.Time
	plain  bool // no queue, no slowness: its time tells how long work takes
	trip   float64
}

// Refusal says that no endpoint was chosen.
type Refusal struct {
	// Reason says why.
	Reason Reason
	// Expected is the earliest expected answer, 0 when there is no endpoint.
	Expected time.Duration
	// Retry is when there may be room.
	Retry time.Duration
	// Known is how many endpoints of the service are known.
	Known int
}

// Reason is why no endpoint was chosen.
type Reason string

const (
	// ReasonNoEndpoint means that no endpoint may serve the request.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoRoom means that each endpoint has all the requests it may have.
	ReasonNoRoom Reason = "no-room"
	// ReasonTooLate means that no answer is expected in time.
	ReasonTooLate Reason = "too-late"
)

// Error implements error.
func (r *Refusal) Error() string { return "placing: " + string(r.Reason) }

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
	best, count, full := p.best(g, q, w, object, homes, now)
	if best.e == nil {
		return nil, p.noCandidate(g, w, full)
	}
	if late := best.late(q); late > 0 {
		return nil, &Refusal{Reason: ReasonTooLate, Expected: seconds(best.expected), Retry: seconds(late), Known: len(g.ordered)}
	}
	return p.reserve(g, q, best, object, count, now), nil
}

// late returns by how many seconds a candidate's answer would come too late to
// be worth its slot; 0 or less is in time. Without a queue only the deadline
// counts: a slot that is free is used, also for an answer after the goal. With
// one, a request that can't reach the goal would make those behind it late.
func (c candidate) late(q Query) float64 {
	late := c.soonest - q.Limit.Seconds()
	if c.wait > 0 {
		late = max(late, c.expected-q.Limit.Seconds(), c.soonest-max(q.GoalLeft, q.Goal/lateGoalPart).Seconds())
	}
	return late
}

// lateGoalPart divides the goal into the time that a request which has missed
// it may still wait for an answer, so that one that came back is not refused
// for the shortest queue.
const lateGoalPart = 2

// noCandidate says why nothing could be chosen.
func (p *Placer) noCandidate(g *group, w *work, full bool) *Refusal {
	r := &Refusal{Reason: ReasonNoEndpoint, Known: len(g.ordered)}
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
	price := p.price(g, q, now)
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
