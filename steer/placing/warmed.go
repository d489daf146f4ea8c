package placing

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// newsFor is how long an object sent to an endpoint is told to the others: the
// time of three exchanges, so that one may be lost.
const newsFor = 1600 * time.Millisecond

// Warmed is an object that an endpoint has been sent and did not know before.
type Warmed struct {
	// Endpoint is the incarnation.
	Endpoint catalog.Incarnation
	// Object is the object's hash.
	Object uint64
}

// news is an object that was sent to an endpoint, and when.
type news struct {
	Warmed
	at time.Time
}

// note keeps an object for the others and drops what was told long enough.
func (g *group) note(w Warmed, now time.Time) {
	g.news = slices.DeleteFunc(g.news, func(n news) bool { return now.Sub(n.at) > newsFor })
	g.news = append(g.news, news{Warmed: w, at: now})
}

// Warmed returns the objects that this instance has sent to endpoints of late,
// for the other instances of the region.
func (p *Placer) Warmed(now time.Time) []Warmed {
	var all []Warmed
	p.eachGroup(func(_ string, g *group) {
		for _, n := range g.news {
			if now.Sub(n.at) <= newsFor {
				all = append(all, n.Warmed)
			}
		}
	})
	return all
}

// TakeWarmed takes in what another instance has sent.
func (p *Placer) TakeWarmed(now time.Time, all []Warmed) {
	p.eachGroup(func(_ string, g *group) {
		for _, w := range all {
			if e := g.endpoints[w.Endpoint]; e != nil {
				e.remember(w.Object, now, p.rules)
			}
		}
	})
}
