package catalog

import "slices"

// RankOf returns the rank of a request of a route and a team, which may be nil; 0
// is the highest. A team's priority counts only if the teams differ in it: a
// missing priority is 0, and would otherwise put the requests of all routes at the
// same rank.
func (c *Catalog) RankOf(r *Route, t *Team) int {
	if t != nil && c.teamRanks {
		return t.Priority
	}
	return r.Priority
}

// teamsDiffer reports whether the teams have different priorities. New stores the
// result, since it is needed for each request.
func (c *Catalog) teamsDiffer() bool {
	return slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Priority != c.Teams[0].Priority })
}

// Ranks returns the ranks of each service whose requests differ in rank.
func (c *Catalog) Ranks() map[string][]int {
	byService := make(map[string][]int)
	add := func(r *Route, rank int) {
		for _, b := range r.Backends {
			if !slices.Contains(byService[b.Service], rank) {
				byService[b.Service] = append(byService[b.Service], rank)
			}
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Open || !c.teamRanks {
			add(r, r.Priority)
			continue
		}
		for j := range c.Teams {
			add(r, c.Teams[j].Priority)
		}
	}
	for service, ranks := range byService {
		if len(ranks) < 2 {
			delete(byService, service)
		}
		slices.Sort(ranks)
	}
	return byService
}
