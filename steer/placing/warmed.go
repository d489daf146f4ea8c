package placing

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// warmReportPeriod is how long an object sent to an endpoint is reported to the
// peers: the time of three exchanges, so that one may be lost.
const warmReportPeriod = 1600 * time.Millisecond

// WarmedObject is an object that was sent to an endpoint and had not been warm
// there.
type WarmedObject struct {
	// Endpoint is the incarnation of the endpoint.
	Endpoint catalog.Incarnation
	// Object is the hash of the object.
	Object uint64
	// Home is set if the endpoint is the object's home in its region, where
	// other instances look for it anyway.
	Home bool
}

// sentObject is a warmed object and the time at which it was sent.
type sentObject struct {
	WarmedObject
	at time.Time
}

// addRecentWarm adds an object to those reported to the peers and drops those
// that have been reported for long enough.
func (g *group) addRecentWarm(w WarmedObject, now time.Time) {
	g.recentWarm = slices.DeleteFunc(g.recentWarm, func(n sentObject) bool { return now.Sub(n.at) > warmReportPeriod })
	g.recentWarm = append(g.recentWarm, sentObject{WarmedObject: w, at: now})
}

// WarmedObjects returns the objects that this instance has recently sent to
// endpoints, for a report to the other instances of the region.
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

// AddPeerWarmed records the objects that a peer has sent to endpoints.
func (p *Placer) AddPeerWarmed(now time.Time, all []WarmedObject) {
	p.eachGroup(func(_ string, g *group) {
		for _, w := range all {
			if e := g.endpoints[w.Endpoint]; e != nil {
				e.markWarm(w.Object, now, p.rules)
			}
		}
	})
}
