package placing

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// peerSums are the sums over other instances' requests at the endpoints of a service,
// by source. Sums pass through several instances and are about as old as a request
// takes. By then, an endpoint with few requests has been chosen by all that know of
// it, so the mean of its region says more about it than its own number.
type peerSums map[string]*peerSum

// peerSum is what is known of one source.
type peerSum struct {
	measuredAt time.Time
	means      map[string]float64 // requests at each endpoint, by region
}

// weight returns the weight of the numbers of single endpoints at a time.
func (s *peerSum) weight(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, now.Sub(s.measuredAt).Seconds()) / halfLife.Seconds())
}

// estimate returns the number of requests that the sources together have at an
// endpoint.
func (p peerSums) estimate(e *endpoint, now time.Time, halfLife time.Duration) int {
	estimated := 0.0
	for source, sum := range p {
		mean := sum.means[e.region]
		estimated += mean + sum.weight(now, halfLife)*(float64(e.peerRequests[source])-mean)
	}
	return int(math.Round(estimated))
}

// SetPeerSums replaces the sums of the loads of several peers from one source,
// measured at measuredAt or later.
func (p *Placer) SetPeerSums(source string, loads []Load, measuredAt time.Time) {
	running := runningByEndpoint(loads)
	p.eachGroup(func(_ string, g *group) {
		sum := &peerSum{measuredAt: measuredAt, means: make(map[string]float64)}
		counts := make(map[string]int)
		for in, e := range g.endpoints {
			e.setPeerRequests(source, running[in])
			sum.means[e.region] += float64(running[in])
			counts[e.region]++
		}
		for region, n := range counts {
			sum.means[region] /= float64(n)
		}
		g.peerSums[source] = sum
	})
}

// setPeerRequests stores the number of requests of an instance or of a source.
func (e *endpoint) setPeerRequests(source string, n int) {
	if n > 0 {
		e.peerRequests[source] = n
		return
	}
	delete(e.peerRequests, source)
}

// runningByEndpoint returns loads by endpoint.
func runningByEndpoint(loads []Load) map[catalog.Incarnation]int {
	running := make(map[catalog.Incarnation]int, len(loads))
	for _, l := range loads {
		running[l.Endpoint] = l.Running
	}
	return running
}
