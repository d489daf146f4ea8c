package routing

import (
	"cmp"
	"slices"
	"time"
)

// Region is a region as the choice of region sees it.
type Region struct {
	// Name names the region.
	Name string
	// Latency is the one-way latency to it; the instance's own region is the
	// nearest.
	Latency time.Duration
}

// SortByLatency sorts regions by distance, nearest first, and by name among equals.
func SortByLatency(regions []Region) {
	slices.SortFunc(regions, func(a, b Region) int {
		return cmp.Or(cmp.Compare(a.Latency, b.Latency), cmp.Compare(a.Name, b.Name))
	})
}

// Search walks over the regions for one request. A region that would make the
// request wait for longer than the way to the next region takes is passed over
// at first; when all are busy, the request waits where it expects the answer
// soonest. A request for another region goes there before it asks for a slot,
// so that no slot is held while it is under way.
type Search struct {
	regions    []Region
	next       int
	waits      []time.Duration
	triedFinal bool
}

// NewSearch starts a search over regions in the order given by Order.
func NewSearch(regions []Region) *Search {
	return &Search{regions: regions, waits: make([]time.Duration, 0, len(regions))}
}

// Next returns the index of the region to ask and the longest wait to accept
// there; 0 means any that the deadline allows. It reports false when the search
// has ended.
func (s *Search) Next() (region int, maxWait time.Duration, ok bool) {
	if s.next < len(s.regions) && len(s.regions) > 1 {
		return s.next, s.acceptableWait(), true
	}
	if s.triedFinal || len(s.regions) == 0 {
		return 0, 0, false
	}
	s.triedFinal = true
	return s.fastest(), 0, true
}

// acceptableWait returns the longest wait to accept: the way to the next region, or for
// the last one the way that was made. Waiting for the whole way there and back
// was measured to be slower, as the queues at home then grow longer.
func (s *Search) acceptableWait() time.Duration {
	next := min(s.next+1, len(s.regions)-1)
	return max(time.Millisecond, s.regions[next].Latency-s.regions[0].Latency)
}

// RecordBusy notes that the region just asked would make the request wait.
func (s *Search) RecordBusy(wait time.Duration) {
	s.waits = append(s.waits, wait)
	s.next++
}

// RecordClosed notes that the region just asked gives no slots at all.
func (s *Search) RecordClosed() {
	s.waits = append(s.waits, -1)
	s.next++
}

// fastest returns the region with the shortest expected time to an answer.
func (s *Search) fastest() int {
	best := 0
	bestTime := time.Duration(-1)
	for i, wait := range s.waits {
		if wait < 0 {
			continue
		}
		if t := wait + 2*s.regions[i].Latency; bestTime < 0 || t < bestTime {
			best, bestTime = i, t
		}
	}
	return best
}
