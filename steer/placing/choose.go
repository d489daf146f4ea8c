package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/split"
)

// candidate is an endpoint with its expected times, in seconds.
type candidate struct {
	e            *endpoint
	score        float64
	localScore   float64 // for the comparison with others of its region
	expected     float64
	nominal      float64 // expected at an endpoint that is not slower than others
	warmExpected float64 // expected if the endpoint has the object warm after all
	earliest     float64 // expected if the request needs the shortest work known of its route
	queueWait    float64
	warmth       warmth
	blocked      bool // the request has to wait for room, see Query.room
	workKnown    bool // expected follows from observations
	unloaded     bool // no queue and not cold
	roundTrip    float64
	workTime     float64 // part of the expected times, as the endpoint reported it
}

// search is the choice of an endpoint for one attempt.
type search struct {
	*Placer
	group         *group
	demand        *demand
	query         Query
	work          *work
	object        uint64               // hash of the query's object
	homeEndpoints map[string]*endpoint // the object's home endpoints, by region
	slotPrices    map[string]float64   // price of one second of a slot, by region
	now           time.Time
	reopensAt     time.Time   // when the first of the closed endpoints opens again
	busy          bool        // an endpoint that is open is at capacity
	limited       int         // endpoints whose limit allows no request now
	regions       []candidate // the best one of each region
	number        uint64      // of the random source, for near ties
	drawn         bool        // number was asked for
	breaksTies    bool        // number is set
	open          candidate   // the best one that is not blocked, if ranks count
	present       []string    // regions with endpoints that may serve the query
}

// Choose returns the endpoint with the lowest score: the expected time to the
// response plus the price of the slot and a penalty for failures. Its error is a
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
	d := g.demand(q, p.locality.Region)
	p.recordRequest(g, d, q, now)
	g.updateRanks(p.ranks[q.Service])
	q = g.observeRank(d, q, now)
	object := uint64(0)
	if q.Object != "" {
		object = xxhash.Sum64String(q.Object)
	}
	s := &search{
		Placer: p, group: g, demand: d, query: q, work: g.workFor(q), object: object,
		homeEndpoints: p.homeEndpoints(g, q, object), slotPrices: make(map[string]float64, len(p.roundTrips)+1), now: now,
	}
	best, count, atCapacity := s.best()
	best = s.insteadOfBlocked(best)
	if best.e == nil {
		if !q.Waiting {
			d.updateRefusedShare(atCapacity, p.rules)
		}
		return nil, s.refusal(atCapacity)
	}
	lateBy := best.lateBy(q, d.scarcity(p.rules))
	if !q.Waiting && !best.blocked {
		d.updateRefusedShare(lateBy > 0, p.rules)
	}
	if lateBy > 0 {
		return nil, &Refusal{
			Reason: ReasonTooLate, Expected: seconds(best.expected), RetryAfter: seconds(lateBy), BestEndpoint: best.e.ID,
			QueueWait: seconds(best.queueWait), Warmth: best.warmth.String(), Candidates: count, Utilization: d.utilization, Limited: s.limited,
		}
	}
	if best.blocked {
		return nil, s.blockedRefusal(best, count)
	}
	q.recordServed()
	return s.reserve(best, count), nil
}

// lateBy returns by how many seconds a candidate's response is too late to be
// worth its slot; 0 or less is in time. Without a queue only the deadline
// counts: a free slot is used even for a response after the goal. With a queue,
// a request that cannot reach the goal would delay those behind it. Scarce
// slots are not given to requests that are expected to miss the goal because
// their object is not warm at the endpoint: requests for warm objects need a
// third of the time.
func (c candidate) lateBy(q Query, s scarcity) float64 {
	lateBy := c.earliest - q.DeadlineLeft.Seconds()
	goal := q.goalLeft()
	if c.queueWait > 0 {
		lateBy = max(lateBy, c.warmExpected-goal)
		if c.workKnown {
			lateBy = max(lateBy, c.expected-q.DeadlineLeft.Seconds())
		}
	}
	unknown := s >= slotsBusy && c.warmth == warmthCold || s == slotsOversubscribed && c.warmth == warmthHome
	if unknown && q.Object != "" && c.warmExpected <= goal {
		lateBy = max(lateBy, c.expected-goal)
	}
	return lateBy
}

// missedGoalDivisor sets how long a request that has missed its goal may still
// wait for a response: the goal divided by it. Without it, a retried request
// would be refused at even the shortest queue.
const missedGoalDivisor = 2

// refusal returns the refusal for a request without a candidate.
func (s *search) refusal(atCapacity bool) *Refusal {
	r := &Refusal{Reason: ReasonNoEndpoint, Utilization: s.demand.utilization, Limited: s.limited}
	if atCapacity {
		r.Reason = ReasonAtCapacity
		r.RetryAfter = seconds(s.work.mean[warmthWarm])
		if !s.busy && s.reopensAt.After(s.now) {
			r.RetryAfter = s.reopensAt.Sub(s.now)
		}
	}
	return r
}

// workFor returns the work times of the query's route.
func (g *group) workFor(q Query) *work {
	w := g.work[q.Route]
	if w == nil {
		w = newWork(q.Goal)
		g.work[q.Route] = w
	}
	if g.meanWork == 0 {
		g.meanWork = w.mean[warmthHome]
	}
	return w
}

// homeEndpoints returns the home of the object in each region. Endpoints that
// are cold or in backoff keep their objects, because they will be back soon.
func (p *Placer) homeEndpoints(g *group, q Query, object uint64) map[string]*endpoint {
	if q.Object == "" {
		return nil
	}
	homes := make(map[string]*endpoint, len(p.roundTrips)+1)
	weights := make(map[string]uint64, len(p.roundTrips)+1)
	for _, e := range g.ordered {
		if q.Versions != nil && !q.Versions(e.Version) || p.drainedDomains[e.FailureDomain] {
			continue
		}
		if weight := mixHashes(e.hash, object); homes[e.region] == nil || weight > weights[e.region] {
			homes[e.region], weights[e.region] = e, weight
		}
	}
	return homes
}

// best returns the candidate for the request, the number of candidates, and whether
// other endpoints were at capacity.
func (s *search) best() (best candidate, count int, atCapacity bool) {
	for _, e := range s.group.ordered {
		if !s.allowed(e, s.query) {
			continue
		}
		if !slices.Contains(s.present, e.region) {
			s.present = append(s.present, e.region)
		}
		if !s.hasCapacity(e, s.query, s.now) {
			atCapacity = s.recordAtCapacity(e) || atCapacity
			continue
		}
		count++
		known := s.warmthAt(e)
		c := s.estimate(e, known)
		if known == warmthHome && !e.everUsed && !e.cold(s.now) {
			// A newly joined endpoint needs a first request from some instance,
			// so it is scored as if the object were warm, plus a bonus.
			asWarm := s.estimate(e, warmthWarm)
			c.score, c.localScore = asWarm.score-joinBonus.Seconds(), asWarm.localScore-joinBonus.Seconds()
		}
		s.addCandidate(c)
		if s.query.ranks != nil && !c.blocked && (s.open.e == nil || c.score < s.open.score) {
			s.open = c
		}
		if best.e == nil || c.score < best.score {
			best = c
		}
	}
	return s.inRegion(best), count, atCapacity
}

// addCandidate keeps a candidate if it is the best one of its region.
func (s *search) addCandidate(c candidate) {
	i := slices.IndexFunc(s.regions, func(other candidate) bool { return other.e.region == c.e.region })
	switch {
	case i < 0:
		s.regions = append(s.regions, c)
	case c.localScore < s.regions[i].localScore:
		s.regions[i] = c
	}
}

// bestIn returns the best candidate of a region.
func (s *search) bestIn(region string) candidate {
	for _, c := range s.regions {
		if c.e.region == region {
			return c
		}
	}
	return candidate{}
}

// inRegion returns the best candidate of the region that the split of the demand
// gives the request, which has none if the region is at capacity. best is the best
// one of all regions. It is returned while a region has lost slots, and for a request
// that would otherwise fail after a first attempt.
func (s *search) inRegion(best candidate) candidate {
	s.updateSplit(s.group, s.demand, s.now)
	if best.e == nil || s.demand.split.Urgent(s.now) {
		return best
	}
	scarce := s.demand.scarcity(s.rules)
	region, ok := s.balance.Pick(s.now, s.demand.split, split.Request{
		Object: s.object,
		Best:   best.e.region,
		May:    func(region string) bool { return slices.Contains(s.present, region) },
		Can: func(region string) bool {
			c := s.bestIn(region)
			return c.e != nil && c.lateBy(s.query, scarce) <= 0
		},
	})
	if region == best.e.region || !ok && len(s.query.Tried) > 0 {
		return best
	}
	return s.bestIn(region)
}

// recordAtCapacity records an endpoint that can't take the request now. It
// reports whether it may be able to later.
func (s *search) recordAtCapacity(e *endpoint) bool {
	until := e.restriction.closedUntil
	wait, sender := s.limitWait(e, s.now)
	if opensAt := s.now.Add(wait); sender && opensAt.After(until) {
		until = opensAt
	}
	if wait > 0 || !sender {
		s.limited++
	}
	switch {
	case !e.restriction.leavingSince.IsZero():
		return false
	case !until.After(s.now):
		s.busy = true
	case s.reopensAt.IsZero() || until.Before(s.reopensAt):
		s.reopensAt = until
	}
	return true
}

// warmthAt returns the warmth of the query's object at an endpoint.
func (s *search) warmthAt(e *endpoint) warmth {
	if s.query.Object == "" {
		return warmthCold
	}
	return e.warmthOf(s.object, s.homeEndpoints[e.region] == e, s.now, s.rules)
}

// slotPrice returns the price of one second of a slot in a region.
func (s *search) slotPrice(region string) float64 {
	price, ok := s.slotPrices[region]
	if !ok {
		price = max(s.price(s.demand.utilization), s.homeRegionPrice(s.group, region))
		s.slotPrices[region] = price
	}
	return price
}

// joinBonus offsets the round trip to an endpoint in another failure domain of
// the region.
const joinBonus = 2 * sameRegionRoundTrip

// estimate returns the endpoint as a candidate with its expected times.
func (s *search) estimate(e *endpoint, known warmth) candidate {
	e.decay(s.now, s.rules.OutcomeHalfLife)
	c := candidate{e: e, warmth: known, roundTrip: s.roundTrip(e)}
	c.workTime = e.workTimeOf(s.now, s.rules.WorkTimeHalfLife)
	slowness := e.slowness(s.now, s.work.mean[warmthCold]) * c.workTime
	service := s.work.mean[known] * slowness
	if e.cold(s.now) {
		service *= s.rules.ColdSlowdown
	}
	running := e.running(s.now, s.rules)
	room := s.query.room(s.now, e.Slots)
	c.blocked = running >= room && s.query.ranks != nil
	if queued := running - min(room, e.Slots) + 1; queued > 0 {
		c.queueWait = float64(queued) / float64(max(1, e.Slots)) * s.group.meanWork * slowness
	}
	c.unloaded = c.queueWait == 0 && !e.cold(s.now)
	c.expected = c.roundTrip + c.queueWait + service
	c.nominal = c.roundTrip + (c.queueWait+service)/slowness
	c.warmExpected = c.roundTrip + c.queueWait + s.work.mean[warmthWarm]
	c.workKnown = s.work.known(known)
	c.earliest = c.roundTrip + c.queueWait + s.work.shortest()
	penalty := e.failures*s.rules.FailurePenalty.Seconds() + s.tieBreak(e, service)
	c.score = c.expected + s.slotPrice(e.region)*service + penalty
	c.localScore = c.expected + max(s.slotPrice(e.region), s.price(s.demand.split.Load(e.region)))*service + penalty
	return c
}

// reserve records that the request goes to the candidate.
func (s *search) reserve(c candidate, count int) *Choice {
	local := s.bestIn(s.locality.Region)
	choice := &Choice{
		Endpoint:       c.e.Endpoint,
		Region:         c.e.region,
		Expected:       seconds(c.expected),
		Nominal:        seconds(c.nominal),
		QueueWait:      seconds(c.queueWait),
		Warmth:         c.warmth.String(),
		Running:        c.e.running(s.now, s.rules),
		Candidates:     count,
		LocalExpected:  seconds(local.expected),
		LocalQueueWait: seconds(local.queueWait),
		Fraction:       s.demand.split.Fraction(c.e.region),
		demand:         s.demand,
		group:          s.group,
		state:          c.e,
		route:          s.query.Route,
		warmth:         c.warmth,
		start:          s.now,
		unloaded:       c.unloaded,
		roundTrip:      c.roundTrip,
		workTime:       c.workTime,
	}
	choice.LocalUtilization, _ = s.utilization(s.group, s.query, s.locality.Region, s.now)
	if c.e.cold(s.now) {
		rate, _ := s.coldRate(c.e, s.query.Service)
		c.e.coldTokens.Take(s.now, rate)
	}
	s.takeLimitToken(c.e, s.now)
	s.balance.Record(s.now, s.demand.split, c.e.region)
	if s.query.Object != "" && c.e.markWarm(s.object, s.now, s.rules) {
		s.group.addRecentWarm(WarmedObject{
			Endpoint: c.e.Incarnation(), Object: s.object, Home: s.homeEndpoints[c.e.region] == c.e,
		}, s.now)
	}
	c.e.everUsed = true
	c.e.requestStarted(s.now)
	return choice
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
