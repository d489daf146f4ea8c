package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/pace"
)

const (
	// startGrace is how long after the first list of endpoints new ones are not under
	// pace. In the start of a whole fleet, lists grow and all endpoints look new.
	startGrace = 10 * time.Second
	// memberMemory is how long an instance that has left the list of live ones still
	// counts in the order in which instances begin to send. An instance that hears
	// nobody must not take itself for the only one.
	memberMemory = time.Minute
	// maxPaceChanges bounds the changes that are kept until they are read.
	maxPaceChanges = 100
)

// pacing is the pace of one endpoint.
type pacing struct {
	limit pace.Limit
	// place is this instance's place and near the number of instances in the
	// endpoint's region, both computed from topology.
	place    pace.Place
	near     int
	topology int
	placed   bool
}

// PaceChange is a change of what this instance believes of an endpoint's pace.
type PaceChange struct {
	// Endpoint is the incarnation of the endpoint.
	Endpoint catalog.Incarnation
	// Service names its service.
	Service string
	// Reached is set if it has reached its full pace, otherwise it was set back.
	Reached bool
	// Allowed is the number of requests there that the limit allows now.
	Allowed int
}

// pacedMember is an instance that is live or was recently.
type pacedMember struct {
	Member
	lastListed time.Time
}

// rememberMembers adds the live instances to the order of senders and removes those
// that left it long ago. The caller holds mu.
func (p *Placer) rememberMembers(now time.Time) {
	if !p.rules.Pace {
		return
	}
	p.listedAt = later(now, p.listedAt)
	kept := p.paceMembers[:0]
	for _, m := range p.paceMembers {
		if p.listedAt.Sub(m.lastListed) <= memberMemory {
			kept = append(kept, m)
		}
	}
	if len(kept) < len(p.paceMembers) {
		p.topology++
	}
	p.paceMembers = kept
	for _, m := range p.fleet {
		p.rememberMember(m)
	}
}

// rememberMember adds or renews one instance. The caller holds mu.
func (p *Placer) rememberMember(m Member) {
	for i := range p.paceMembers {
		if p.paceMembers[i].Name == m.Name {
			p.paceMembers[i] = pacedMember{m, p.listedAt}
			return
		}
	}
	p.paceMembers = append(p.paceMembers, pacedMember{m, p.listedAt})
	p.topology++
}

// paceNew begins the pace of an endpoint that has joined during traffic.
func (p *Placer) paceNew(g *group, e *endpoint, now time.Time) {
	if p.rules.Pace && !p.firstListAt.IsZero() && now.Sub(p.firstListAt) >= startGrace {
		p.beginPace(g, e, now)
	}
}

// beginPace begins the pace of an endpoint, unless half of its service's slots are
// under pace already: then the capacity counts more than an even start.
func (p *Placer) beginPace(g *group, e *endpoint, now time.Time) {
	if !p.rules.Pace || e.pacing.limit.Active(now) {
		return
	}
	paced, all := e.Slots, 0
	for _, other := range g.ordered {
		all += other.Slots
		if other != e && other.pacing.limit.Active(now) {
			paced += other.Slots
		}
	}
	if 2*paced <= all {
		e.pacing.limit.Begin(later(now, e.coldUntil), e.Slots)
	}
}

// paceAllows reports whether the endpoint's pace allows this instance one more
// request. The number of requests that a cold endpoint gets is limited by coldRate in
// addition, whatever its pace is. The caller holds mu and the group's mu.
func (p *Placer) paceAllows(e *endpoint, now time.Time) bool {
	if !p.rules.Pace || !e.pacing.limit.Active(now) {
		return true
	}
	place := p.paceKnown(e).place
	if e.cold(now) {
		place.Rank = 0 // coldSenders chooses among the instances
	}
	return e.pacing.limit.Admits(now, place, len(e.starts), e.running(now, p.rules))
}

// coldSenders returns how many instances send to a cold endpoint, and whether this one
// does. Instances that were live a short time ago count, and one that has heard of no
// other instance does not send, since many may be in that state at once.
func (p *Placer) coldSenders(e *endpoint) (senders int, chosen bool) {
	known := p.paceKnown(e)
	if known.near == 0 {
		senders = min(known.place.Fleet, p.rules.MaxColdSenders)
		return senders, known.place.Rank < senders && !p.hearsNobody()
	}
	senders = min(known.near, p.rules.MaxColdSenders)
	return senders, known.place.Rank < senders && !p.hearsNobody()
}

// paceKnown returns the pacing of an endpoint with this instance's place. It is
// computed once for each change of the fleet, not for each request.
func (p *Placer) paceKnown(e *endpoint) *pacing {
	if k := &e.pacing; !k.placed || k.topology != p.topology {
		k.place, k.near = p.pacePlace(e)
		k.topology, k.placed = p.topology, true
	}
	return &e.pacing
}

// pacePlace returns this instance's place among the senders to an endpoint, which
// rendezvous hashing orders, and the number of those of the endpoint's region, which
// come first.
func (p *Placer) pacePlace(e *endpoint) (place pace.Place, nearby int) {
	place.Fleet = max(1, len(p.paceMembers))
	near := p.locality.Region == e.region
	own := mixHashes(e.hash, xxhash.Sum64String(p.locality.Self))
	for _, m := range p.paceMembers {
		otherNear := m.Region == e.region
		if otherNear {
			nearby++
		}
		if m.Name != p.locality.Self && (otherNear && !near || otherNear == near && mixHashes(e.hash, xxhash.Sum64String(m.Name)) > own) {
			place.Rank++
		}
	}
	return place, nearby
}

// observePace records how an attempt ended for the endpoint's pace. The caller holds
// the group's mu.
func (p *Placer) observePace(now time.Time, c *Choice, o Outcome, elapsed time.Duration, r Report) {
	if !p.rules.Pace {
		return
	}
	e, outcome := c.state, pace.Answered
	switch o {
	case OutcomeAnswered:
	case OutcomeFailed:
		outcome = pace.Failed
	case OutcomeShed:
		outcome = pace.Shed
	case OutcomeTimedOut:
		outcome = pace.Unreachable
	case OutcomeUnreachable, OutcomeReplaced:
		p.beginPace(c.group, e, now)
		outcome = pace.Unreachable
	default:
		return
	}
	if !e.pacing.limit.Active(now) {
		return
	}
	if outcome == pace.Answered {
		load := r.Requests
		if load < 0 {
			load = e.running(now, p.rules) + 1
		}
		e.pacing.limit.SetLoad(now, load)
	}
	change := e.pacing.limit.Observe(now, c.paceRatio(elapsed, now, p.rules), outcome)
	if change != pace.Unchanged {
		p.recordPaceChange(now, c.group, e, change)
	}
}

// paceRatio returns the time in work compared with the usual at an endpoint that is
// not slower than others. One that has just started has no object in memory, also not
// those whose home it is.
func (c *Choice) paceRatio(elapsed time.Duration, now time.Time, r Rules) float64 {
	usual := c.Nominal.Seconds() - c.roundTrip
	if c.warmth != warmthWarm {
		unknown := c.group.work[c.route].mean[warmthCold]
		if c.state.cold(now) {
			unknown *= r.ColdSlowdown
		}
		usual = max(usual, unknown)
	}
	return max(0, elapsed.Seconds()-c.roundTrip) / max(usual, 1e-3)
}

// recordPaceChange keeps a change until it is read, up to maxPaceChanges.
func (p *Placer) recordPaceChange(now time.Time, g *group, e *endpoint, c pace.Change) {
	if len(g.paceChanges) >= maxPaceChanges {
		return
	}
	allowed, limited := e.pacing.limit.Allowed(now)
	if !limited {
		allowed = e.Slots
	}
	g.paceChanges = append(g.paceChanges, PaceChange{Endpoint: e.Incarnation(), Service: e.Service, Reached: c == pace.Reached, Allowed: allowed})
}

// PaceChanges returns the changes since the last call.
func (p *Placer) PaceChanges() []PaceChange {
	var changes []PaceChange
	p.eachGroup(func(_ string, g *group) {
		changes = append(changes, g.paceChanges...)
		g.paceChanges = nil
	})
	return changes
}

// Paced returns the number of endpoints under pace, by service.
func (p *Placer) Paced(now time.Time) map[string]int {
	paced := make(map[string]int)
	p.eachGroup(func(service string, g *group) {
		paced[service] = 0
		for _, e := range g.ordered {
			if e.pacing.limit.Active(now) {
				paced[service]++
			}
		}
	})
	return paced
}

// hearsNobody reports whether this instance joined a fleet of which it has not heard.
// How many others send to a cold endpoint is not known to it. The caller holds mu.
func (p *Placer) hearsNobody() bool {
	return p.rules.Pace && p.locality.Joins && len(p.paceMembers) <= 1
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
