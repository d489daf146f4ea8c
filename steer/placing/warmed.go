package placing

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// warmReportPeriod is how long an object sent to an endpoint is told to the others: the
// time of three exchanges, so that one may be lost.
const warmReportPeriod = 1600 * time.Millisecond

// WarmedObject is an object that an endpoint has been sent and did not know before.
type WarmedObject struct {
	// Endpoint is the incarnation.
	Endpoint catalog.Incarnation
	// Object is the object's hash.
	Object uint64
}

// sentObject is an object that was sent to an endpoint, and when.
type sentObject struct {
	WarmedObject
	at time.Time
}

// addRecentWarm keeps an object for the others and drops what was told long enough.
func (g *group) addRecentWarm(w WarmedObject, now time.Time) {
	g.recentWarm = slices.DeleteFunc(g.recentWarm, func(n sentObject) bool { return now.Sub(n.at) > warmReportPeriod })
	g.recentWarm = append(g.recentWarm, sentObject{WarmedObject: w, at: now})
}

// WarmedObjects returns the objects that this instance has sent to endpoints of late,
// for the other instances of the region.
func (p *Placer) WarmedObjects(now time.Time) []WarmedObject {
	var all []WarmedObject
	p.eachGroup(func(_ string, g *group) {
		for _, n := range g.recentWarm {
			if now.Sub(n.at) <= warmReportPeriod {
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
				e.markWarm(w.Object, now, p.rules)
			}
		}
	})
}
