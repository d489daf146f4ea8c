package placing

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// newsFor is how long an object sent to an endpoint is told to the others: the
// time of three exchanges, so that one may be lost.
const newsFor = 1600 * time.Millisecond

// WarmedObject is an object that an endpoint has been sent and did not know before.
type WarmedObject struct {
	// Endpoint is the incarnation.
	Endpoint catalog.Incarnation
	// Object is the object's hash.
	Object uint64
}

// news is an object that was sent to an endpoint, and when.
type news struct {
	WarmedObject
	at time.Time
}

// note keeps an object for the others and drops what was told long enough.
func (g *group) note(w WarmedObject, now time.Time) {
	g.news = slices.DeleteFunc(g.news, func(n news) bool { return now.Sub(n.at) > newsFor })
	g.news = append(g.news, news{WarmedObject: w, at: now})
}

// WarmedObjects returns the objects that this instance has sent to endpoints of late,
// for the other instances of the region.
func (p *Placer) WarmedObjects(now time.Time) []WarmedObject {
	var all []WarmedObject
	p.eachGroup(func(_ string, g *group) {
		for _, n := range g.news {
			if now.Sub(n.at) <= newsFor {
				all = append(all, n.WarmedObject)
			}
		}
	})
	return all
}

// AddPeerWarmed takes in what another instance has sent.
func (p *Placer) AddPeerWarmed(now time.Time, all []WarmedObject) {
	p.eachGroup(func(_ string, g *group) {
		for _, w := range all {
			if e := g.endpoints[w.Endpoint]; e != nil {
				e.remember(w.Object, now, p.rules)
			}
		}
	})
}
