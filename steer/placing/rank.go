package placing

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/priority"
)

// SetRanks sets the ranks of the services whose requests differ in rank. The
// requests of all other services are placed without regard to rank.
func (p *Placer) SetRanks(ranks map[string][]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranks = ranks
}

// updateRanks creates, replaces or removes the controller of a service after a
// change of its ranks.
func (g *group) updateRanks(ranks []int) {
	switch {
	case len(ranks) < 2:
		g.ranks = nil
	case g.ranks == nil || !slices.Equal(g.ranks.Ranks(), ranks):
		g.ranks = priority.NewController(priority.DefaultRules(), ranks)
	}
}

// observeRank records the query in the demand by rank and returns it with the rank
// by which it is admitted.
func (g *group) observeRank(d *demand, q Query, now time.Time) Query {
	if g.ranks == nil {
		return q
	}
	if len(q.Tried) == 0 && !q.Waiting && !q.Repeated {
		w := g.workFor(q)
		work := w.all
		if work == 0 {
			work = w.mean[warmthHome]
		}
		g.ranks.Observe(now, q.Rank, seconds(work))
		g.ranks.Admit(q.Rank, q.Team)
	}
	g.ranks.SetUtilization(now, d.utilization)
	q.ranks, q.admittedAs = g.ranks, g.ranks.Effective(q.Rank, q.Team)
	return q
}

// room returns the number of requests at an endpoint with some slots up to which a
// request of the query's rank may be sent there.
func (q *Query) room(now time.Time, slots int) int {
	if q.ranks == nil {
		return math.MaxInt
	}
	return q.ranks.Limit(now, q.admittedAs, slots)
}

// insteadOfBlocked returns the best candidate that has room for the query's rank if
// the given one has none and a request that waits for it would miss its goal. It
// returns the given one if the other would miss the goal, too: most such responses
// are late because the object is not warm there, which takes the slot three times as
// long.
func (s *search) insteadOfBlocked(c candidate) candidate {
	if !c.blocked || s.open.e == nil || c.lateBy(s.query, s.demand.scarcity(s.rules)) <= 0 || s.open.expected > s.query.goalLeft() {
		return c
	}
	return s.open
}

// goalLeft returns the seconds until the response is wanted.
func (q *Query) goalLeft() float64 {
	return max(q.GoalLeft, q.Goal/missedGoalDivisor).Seconds()
}

// blockedRefusal returns the refusal of a request that is best served by an endpoint
// which has no room for its rank now.
func (s *search) blockedRefusal(c candidate, count int) *Refusal {
	return &Refusal{
		Reason: ReasonAtCapacity, Expected: seconds(c.expected), RetryAfter: seconds(c.queueWait), BestEndpoint: c.e.ID,
		QueueWait: seconds(c.queueWait), Warmth: c.warmth.String(), Candidates: count, Utilization: s.demand.utilization, Limited: s.limited,
		MayWait: true, Work: seconds(c.expected - c.queueWait),
	}
}

// recordServed records that the query's request is sent to an endpoint.
func (q *Query) recordServed() {
	if q.ranks != nil && len(q.Tried) == 0 {
		q.ranks.Served(q.Rank, q.Team)
	}
}
