package routing

import (
	"cmp"
	"slices"
	"time"
)

// Region is a region with the latency on which the choice is based.
type Region struct {
	Name string
	// Latency is the one-way latency to the region. It is lowest for the
	// instance's own region.
	Latency time.Duration
}

// SortByLatency sorts regions by latency, lowest first, and by name among
// equals.
func SortByLatency(regions []Region) {
	slices.SortFunc(regions, func(a, b Region) int {
		return cmp.Or(cmp.Compare(a.Latency, b.Latency), cmp.Compare(a.Name, b.Name))
	})
}

// Search tries the regions in order for one request. At first it skips a
// region in which the expected wait exceeds the extra latency of the next
// region. When all regions are busy, the request waits in the region with the
// shortest expected time to a response. A request for another region is sent
// there before it requests a slot, so that no slot is held while the request
// is in transit.
type Search struct {
	regions    []Region
	next       int
	waits      []time.Duration
	triedFinal bool
}

// NewSearch starts a search over regions sorted by SortByLatency.
func NewSearch(regions []Region) *Search {
	return &Search{regions: regions, waits: make([]time.Duration, 0, len(regions))}
}

// Next returns the index of the next region to try and the longest wait to
// accept there; 0 means any wait that the deadline allows. It reports false
// when the search has ended.
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

// acceptableWait returns the longest wait to accept: the extra latency of the
// next region compared with the first, or of the last region itself if there
// is no next one. Accepting a wait as long as the round trip gives higher
// latencies, because the queues in the first region grow longer.
func (s *Search) acceptableWait() time.Duration {
	next := min(s.next+1, len(s.regions)-1)
	return max(time.Millisecond, s.regions[next].Latency-s.regions[0].Latency)
}

// RecordBusy records that the last region tried would make the request wait.
func (s *Search) RecordBusy(wait time.Duration) {
	s.waits = append(s.waits, wait)
	s.next++
}

// RecordClosed records that the last region tried grants no slots at all.
func (s *Search) RecordClosed() {
	s.waits = append(s.waits, -1)
	s.next++
}

// fastest returns the index of the region with the shortest expected time to a
// response.
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
