// Package routing chooses the endpoint and the region for a request.
//
// It chooses only among free slots, so that no choice overloads an endpoint or
// a region, however late what is known about them.
package routing

// Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// Limit is how many requests the endpoint may run now.
	Limit int
	// Used is how many it runs.
	Used int
	// Suspected says that a report speaks against it.
	Suspected bool
}

// Free returns the number of free slots.
func (c *Candidate) Free() int { return max(0, c.Limit-c.Used) }

// Choose returns the index of the candidate to use, or -1 when none has a free
// slot. It prefers candidates that are not doubted and among them the least
// used part of the limit; a doubted candidate is used when nothing else is
// free, so that reports alone never leave a request without an endpoint.
// Candidates for which avoid reports true are used last. The scan starts at
// from, which spreads equal candidates.
func Choose(candidates []Candidate, start int, avoid func(i int) bool) int {
	best := -1
	bestPenalty := 0
	n := len(candidates)
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		c := &candidates[i]
		if c.Used >= c.Limit {
			continue
		}
		penalty := 0
		if c.Suspected {
			penalty++
		}
		if avoid != nil && avoid(i) {
			penalty += 2
		}
		if best < 0 || penalty < bestPenalty || penalty == bestPenalty && lessUsed(c, &candidates[best]) {
			best, bestPenalty = i, penalty
		}
	}
	return best
}

// lessUsed reports whether a uses a smaller part of its limit than b.
func lessUsed(a, b *Candidate) bool {
	return a.Used*b.Limit < b.Used*a.Limit
}
