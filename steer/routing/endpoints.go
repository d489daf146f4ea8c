// Package routing chooses the endpoint and the region for a request, from the
// slots in use, health reports and latencies.
//
// It chooses only among free slots, so that no choice overloads an endpoint or
// a region, even when the state that it is based on is out of date.
package routing

// Candidate is the state of an endpoint on which the choice is based.
type Candidate struct {
	// Limit is how many requests the endpoint may run at present.
	Limit int
	// Used is how many requests the endpoint is running.
	Used int
	// Suspected is set when a health report says that the endpoint is
	// unhealthy.
	Suspected bool
}

// Free returns the number of free slots.
func (c *Candidate) Free() int { return max(0, c.Limit-c.Used) }

// Choose returns the index of the candidate to use, or -1 when none has a free
// slot. Candidates that are not suspected come first, and among them the one
// with the smallest used fraction of its limit. A suspected candidate is used
// when no other is free, so that reports alone never leave a request without
// an endpoint. Candidates for which avoid returns true are used last. The scan
// begins at index start, so that callers can spread requests over equal
// candidates.
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

// lessUsed reports whether a uses a smaller fraction of its limit than b.
func lessUsed(a, b *Candidate) bool {
	return a.Used*b.Limit < b.Used*a.Limit
}
