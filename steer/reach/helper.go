package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Helper is an instance that reaches endpoints and sends requests for others.
type Helper struct {
	// Name is unique in the fleet.
	Name string
	// Region is where it runs.
	Region string
	// Address accepts relayed requests.
	Address string
	// RoundTrip is the time to it and back.
	RoundTrip time.Duration
	// Running is the number of requests that this instance has sent to it and that
	// are running.
	Running int
}

// waitPerRequest is the time by which each running request makes a helper less
// attractive. It spreads requests over the helpers of a region, and over other
// regions where there are few.
const waitPerRequest = 3 * time.Millisecond

// ChooseHelper returns the helper for a request whose body may be sent only to some
// regions; an empty list of regions means all. It reports false if there is none.
func ChooseHelper(random *rand.Rand, helpers []Helper, regions []string) (Helper, bool) {
	cost := func(h Helper) time.Duration { return h.RoundTrip + time.Duration(h.Running)*waitPerRequest }
	var best []Helper
	for _, h := range helpers {
		if len(regions) > 0 && !slices.Contains(regions, h.Region) {
			continue
		}
		switch {
		case len(best) == 0 || cost(h) < cost(best[0]):
			best = []Helper{h}
		case cost(h) == cost(best[0]):
			best = append(best, h)
		}
	}
	if len(best) == 0 {
		return Helper{}, false
	}
	return best[random.IntN(len(best))], true
}
