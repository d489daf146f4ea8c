package placing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/priority"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
	"github.com/cardamomfront/cardamomfront/steer/split"
)

// Locality describes where this instance runs.
type Locality struct {
	// Self names the instance.
	Self string
	// Region is the instance's region.
	Region string
	// FailureDomain is the instance's failure domain.
	FailureDomain string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Joins is set if other instances served requests before this one started.
	Joins bool
	// Random is the instance's own random source, which breaks near ties between
	// endpoints that report how long work takes there. Without it the ties stay.
	Random rand.Source
}

// Round trips assumed where none was measured. They are those of the users'
// networks, rounded up.
const (
	sameDomainRoundTrip    = time.Millisecond
	sameRegionRoundTrip    = 4 * time.Millisecond
	defaultRemoteRoundTrip = 80 * time.Millisecond
)

// Placer chooses endpoints for one instance.
type Placer struct {
	rules    Rules
	locality Locality

	mu             sync.RWMutex
	groups         map[string]*group
	services       map[string]catalog.Service
	ranks          map[string][]int         // of the services whose ranks differ
	roundTrips     map[string]time.Duration // by region
	drainedDomains map[string]bool          // failure domains to drain
	fleet          []Member
	topology       int // counts the changes of the fleet and of the regions of services
	slots          int // of all endpoints
	paceMembers    []pacedMember
	listedAt       time.Time // of the last list of endpoints
	firstListAt    time.Time

	restrictions restrictions
	balance      *split.Balance
	firstRequest sync.Once
	random       lockedSource
	settledAt    time.Time // until when a joining instance settles, set at its first request
}

// Member is one instance of the fleet.
type Member struct {
	// Name is unique in the fleet.
	Name string
	// Region is where the instance runs.
	Region string
}

// group is the shard of one service.
type group struct {
	mu         sync.Mutex
	endpoints  map[catalog.Incarnation]*endpoint
	ordered    []*endpoint
	regions    map[string]bool    // in which the service has endpoints
	work       map[string]*work   // by route
	meanWork   float64            // mean work time over all routes, in seconds
	recentWarm []sentObject       // objects recently sent to endpoints, to report to peers
	demands    map[string]*demand // by the regions that may serve the requests
	peerSums   peerSums
	ranks      *priority.Controller // nil if the service's requests do not differ in rank

	paceChanges []PaceChange // not read yet
}

// New returns a placer without endpoints.
func New(r Rules, locality Locality) *Placer {
	return &Placer{
		rules:          r,
		locality:       locality,
		groups:         make(map[string]*group),
		services:       make(map[string]catalog.Service),
		roundTrips:     make(map[string]time.Duration),
		drainedDomains: make(map[string]bool),
		balance:        split.NewBalance(),
		random:         lockedSource{source: locality.Random},
		restrictions:   restrictions{known: make(map[catalog.Incarnation]restriction)},
		fleet:          []Member{{Name: locality.Self, Region: locality.Region}},
	}
}

// SetServices replaces the services with those of a new catalog.
func (p *Placer) SetServices(services map[string]catalog.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
}

// SetRoundTrip stores a measured round-trip time to a region.
func (p *Placer) SetRoundTrip(region string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roundTrips[region] = d
}

// SetFleet sets the live instances, including this one, in a fixed order.
func (p *Placer) SetFleet(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.fleet, members) {
		p.fleet = members
		p.topology++
	}
	p.rememberMembers(p.listedAt)
}

// SetDrainedDomains sets the failure domains whose endpoints must get no
// requests. The endpoints of a domain that is no longer drained count as cold
// at first.
func (p *Placer) SetDrainedDomains(now time.Time, domains map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for domain := range p.drainedDomains {
		if !domains[domain] {
			p.markCold(now, domain)
		}
	}
	p.drainedDomains = domains
}

// markCold marks the endpoints of a failure domain as cold. The caller holds
// mu.
func (p *Placer) markCold(now time.Time, domain string) {
	for name, g := range p.groups {
		until := now.Add(p.services[name].ColdFor)
		g.mu.Lock()
		for _, e := range g.ordered {
			if e.FailureDomain == domain && e.coldUntil.Before(until) {
				e.coldUntil = until
				p.beginPace(g, e, now)
			}
		}
		g.mu.Unlock()
	}
}

// SetEndpoints sets all endpoints that may get requests. The state of endpoints
// that remain is kept.
func (p *Placer) SetEndpoints(now time.Time, all []catalog.Endpoint) {
	byService := make(map[string][]catalog.Endpoint)
	for i := range all {
		if !all[i].Draining {
			byService[all[i].Service] = append(byService[all[i].Service], all[i])
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rememberMembers(now)
	p.slots = 0
	for i := range all {
		p.slots += all[i].Slots
	}
	for name := range p.groups {
		if _, ok := byService[name]; !ok {
			p.groups[name].update(now, nil, p)
		}
	}
	for name, endpoints := range byService {
		g := p.groups[name]
		if g == nil {
			g = &group{endpoints: make(map[catalog.Incarnation]*endpoint), work: make(map[string]*work), demands: make(map[string]*demand), peerSums: make(peerSums)}
			p.groups[name] = g
		}
		g.update(now, endpoints, p)
	}
	if p.firstListAt.IsZero() && len(all) > 0 {
		p.firstListAt = now
	}
}

// update replaces the endpoints of a service.
func (g *group) update(now time.Time, endpoints []catalog.Endpoint, p *Placer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.endpoints
	g.endpoints = make(map[catalog.Incarnation]*endpoint, len(endpoints))
	g.ordered = g.ordered[:0]
	var joined []*endpoint
	regions := g.regions
	g.regions = make(map[string]bool)
	for i := range endpoints {
		in := endpoints[i].Incarnation()
		e := previous[in]
		if e == nil {
			e = &endpoint{
				region:       p.locality.Regions[endpoints[i].FailureDomain],
				hash:         xxhash.Sum64String(in.ID),
				peerRequests: make(map[string]int),
				peerSums:     g.peerSums,
				warm:         make(map[uint64]time.Time),
				slowdown:     1,
				meanWorkTime: 1,
				decayedAt:    now,
				coldTokens:   ratelimit.NewBucket(1),
				limitTokens:  ratelimit.NewBucket(limitBurst),
			}
			joined = append(joined, e)
		}
		e.setEntry(endpoints[i])
		e.restriction = p.restrictions.of(in)
		g.endpoints[in] = e
		g.ordered = append(g.ordered, e)
		g.regions[e.region] = true
	}
	for _, e := range joined {
		p.paceNew(g, e, now)
	}
	if !maps.Equal(regions, g.regions) {
		p.topology++
		for _, d := range g.demands {
			d.splitAt = time.Time{}
		}
	}
}

// setEntry stores the endpoint's latest entry. The later end of the cold period
// counts.
func (e *endpoint) setEntry(entry catalog.Endpoint) {
	if entry.ColdUntil.After(e.coldUntil) {
		e.coldUntil = entry.ColdUntil
	}
	e.Endpoint = entry
}

// SpreadEndpoints returns up to n endpoints, except one, taken from all failure
// domains in turn.
func (p *Placer) SpreadEndpoints(n int, except catalog.Incarnation) []catalog.Endpoint {
	byDomain := make(map[string][]catalog.Endpoint)
	p.eachGroup(func(_ string, g *group) {
		for in, e := range g.endpoints {
			if in != except {
				byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e.Endpoint)
			}
		}
	})
	var spread []catalog.Endpoint
	for i := 0; len(spread) < n && len(byDomain) > 0; i++ {
		for domain, endpoints := range byDomain {
			if i >= len(endpoints) {
				delete(byDomain, domain)
				continue
			}
			spread = append(spread, endpoints[i])
		}
	}
	return spread[:min(len(spread), n)]
}

// KnowsDomain reports whether a failure domain is one of this instance's settings.
func (p *Placer) KnowsDomain(domain string) bool {
	_, ok := p.locality.Regions[domain]
	return ok || len(p.locality.Regions) == 0
}

// eachGroup calls f with each shard, which is locked during the call.
func (p *Placer) eachGroup(f func(service string, g *group)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for service, g := range p.groups {
		g.mu.Lock()
		f(service, g)
		g.mu.Unlock()
	}
}

// group returns the shard of a service, or nil.
func (p *Placer) group(service string) *group { return p.groups[service] }

// roundTrip returns the round-trip time to an endpoint, in seconds. The caller
// holds mu.
func (p *Placer) roundTrip(e *endpoint) float64 {
	if e.FailureDomain == p.locality.FailureDomain {
		return sameDomainRoundTrip.Seconds()
	}
	return p.regionRoundTrip(e.region)
}

// regionRoundTrip returns the round-trip time to a region, in seconds. The caller holds
// mu.
func (p *Placer) regionRoundTrip(region string) float64 {
	if region == p.locality.Region {
		return sameRegionRoundTrip.Seconds()
	}
	if d, ok := p.roundTrips[region]; ok {
		return d.Seconds()
	}
	return defaultRemoteRoundTrip.Seconds()
}

// mixHashes combines two hashes.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
