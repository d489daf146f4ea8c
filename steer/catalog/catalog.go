// Package catalog models what operators say about an environment whose
// endpoints register themselves: routes, services, teams, moves of services to
// new versions, and failure domains that are to be left empty.
//
// It holds immutable values and look-ups, no I/O.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one version of what operators say. It is not changed after New.
type Catalog struct {
	// Version names it in logs.
	Version string
	// Revision orders versions; a higher one is newer.
	Revision uint64
	// Routes map requests to services.
	Routes []Route
	// Services are known by their name.
	Services map[string]Service
	// Teams are the tenants. Without any, no request needs a key.
	Teams []Team
	// MaxBody bounds a request's body, in bytes; 0 is no bound.
	MaxBody int64

	byHost map[string][]*Route
	keys   map[string]*Team
}

// Route maps the requests of one host below a path to services.
type Route struct {
	// Name is unique in the catalog.
	Name string
	// Host is the authority without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is how long a request may be kept waiting; 0 is no bound.
	Timeout time.Duration
	// Goal is the response time within which an answer is worth most.
	Goal time.Duration
	// Priority is the rank of its requests; 0 is the highest.
	Priority int
	// MaxEndpoints bounds the endpoints that one request is sent to.
	MaxEndpoints int
	// Open says that no key is needed.
	Open bool
	// Affinity says that endpoints work faster on objects that they know.
	Affinity bool
	// HomeRegions are the only regions that may serve it; empty means all.
	HomeRegions []string
	// Backends are the services by weight. At least one.
	Backends []Backend
}

// Backend is one of the services of a route.
type Backend struct {
	// Service names the service.
	Service string
	// Weight is its part of the requests, relative to the others'.
	Weight float64
}

// Service is one service.
type Service struct {
	// Name is unique in the catalog.
	Name string
	// ColdFor is how long an endpoint is cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold endpoint bears, over all
	// instances together.
	ColdRate float64
}

// Team is one tenant.
type Team struct {
	// Name is unique in the catalog.
	Name string
	// Keys are the keys in force.
	Keys []string
	// Priority goes before that of the route; 0 is the highest.
	Priority int
	// Rate is in requests per second over all instances; 0 is no limit.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
	// HomeRegions are the only regions that may serve it; empty means all.
	HomeRegions []string
}

// New completes a catalog with its look-ups.
func New(c Catalog) *Catalog {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.keys = make(map[string]*Team)
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			if key != "" { // a request without a key has none
				c.keys[key] = &c.Teams[i]
			}
		}
	}
	return &c
}

// Route returns the route of a host with the longest prefix that begins path,
// or nil.
func (c *Catalog) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// NeedsKeys says whether the catalog has teams at all.
func (c *Catalog) NeedsKeys() bool { return len(c.Teams) > 0 }

// TeamByKey returns the team that holds a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.keys[key] }

// HomeRegions returns the regions that may serve a request; none means all. A region
// must be a home of both, where both have homes. ok is false when no region is.
func HomeRegions(r *Route, t *Team) (homes []string, ok bool) {
	if t == nil || len(t.HomeRegions) == 0 {
		return r.HomeRegions, true
	}
	if len(r.HomeRegions) == 0 {
		return t.HomeRegions, true
	}
	for _, region := range r.HomeRegions {
		if slices.Contains(t.HomeRegions, region) {
			homes = append(homes, region)
		}
	}
	return homes, len(homes) > 0
}

// PickService returns the service for a request by the weights. point is in [0, 1)
// and spreads requests evenly.
func (r *Route) PickService(point float64) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := point * total
	for _, b := range r.Backends {
		if left < b.Weight {
			return b.Service
		}
		left -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
