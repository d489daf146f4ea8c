package placing

import (
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
	if len(q.Tried) == 0 && !q.Waiting {
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

// admits reports whether a request of the query's rank may be sent to an endpoint
// with some slots and requests.
func (q *Query) admits(now time.Time, running, slots int) bool {
	return q.ranks == nil || running < q.ranks.Limit(now, q.admittedAs, slots)
}

// recordServed records that the query's request is sent to an endpoint.
func (q *Query) recordServed() {
	if q.ranks != nil && len(q.Tried) == 0 {
		q.ranks.Served(q.Rank, q.Team)
	}
}

// countsAsRefused reports whether a refusal of the query for lack of room shows that
// slots are oversubscribed. A request that leaves room for a higher rank does not.
func (q *Query) countsAsRefused() bool {
	return !q.Waiting && (q.ranks == nil || q.admittedAs == q.ranks.Ranks()[0])
}
