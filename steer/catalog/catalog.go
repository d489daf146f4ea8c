// Package catalog models what operators configure for an environment whose
// endpoints register themselves: routes, services, teams, rollouts of new
// service versions, and failure domains that are to be drained.
//
// It holds immutable values and lookups and does no I/O.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the operators' configuration. It must not be
// changed after New.
type Catalog struct {
	// Version identifies the catalog in logs.
	Version string
	// Generation orders versions by the operators' own number; a higher one is
	// newer. It is 0 if the operators' version is not a number.
	Generation uint64
	// Era and Revision are the version of the store's row.
	Era, Revision uint64
	// Routes map requests to services.
	Routes []Route
	// Services are the services by name.
	Services map[string]Service
	// Teams are the tenants. Without teams, no request needs a key.
	Teams []Team
	// MaxBody is the maximum size of a request's body in bytes; 0 means no
	// limit.
	MaxBody int64

	byHost    map[string][]*Route
	keys      map[string]*Team
	teamRanks bool // the teams differ in priority
}

// Route maps the requests of one host below a path prefix to services.
type Route struct {
	// Name is unique in the catalog.
	Name string
	// Host is the authority without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind is the operators' name for the kind of its requests.
	Kind string
	// KnownKind is set if the meaning of Kind is known. The requests of other
	// kinds are not idempotent.
	KnownKind bool
	// Idempotent is set if a request may be executed more than once.
	Idempotent bool
	// Timeout is how long a request may be kept waiting; 0 means no limit.
	Timeout time.Duration
	// Goal is the response-time goal; a response within it is worth most.
	Goal time.Duration
	// Priority is the priority of its requests; 0 is the highest.
	Priority int
	// MaxEndpoints is the maximum number of endpoints to which one request is
	// sent.
	MaxEndpoints int
	// Open is set if no key is needed.
	Open bool
	// Affinity is set if endpoints work faster on objects that they have
	// handled recently.
	Affinity bool
	// HomeRegions are the only regions that may serve it; empty means all.
	HomeRegions []string
	// Backends are the weighted services. There is at least one.
	Backends []Backend
}

// Backend is one of the services of a route.
type Backend struct {
	// Service names the service.
	Service string
	// Weight is its share of the requests, relative to the other backends'
	// weights.
	Weight float64
}

// Service holds the settings of one service.
type Service struct {
	// Name is unique in the catalog.
	Name string
	// ColdFor is how long an endpoint is cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests per second a cold endpoint can take from
	// all instances together.
	ColdRate float64
}

// Team is one tenant.
type Team struct {
	// Name is unique in the catalog.
	Name string
	// Keys are the valid keys.
	Keys []string
	// Priority overrides that of the route; 0 is the highest.
	Priority int
	// Rate is in requests per second over all instances; 0 means no limit.
	Rate float64
	// Burst is how many requests may arrive at once.
	Burst float64
	// HomeRegions are the only regions that may serve it; empty means all.
	HomeRegions []string
}

// New returns a copy of c with its lookup tables.
func New(c Catalog) *Catalog {
	c.teamRanks = c.teamsDiffer()
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.keys = make(map[string]*Team)
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			if key != "" { // a request without a key belongs to no team
				c.keys[key] = &c.Teams[i]
			}
		}
	}
	return &c
}

// Route returns the route of a host with the longest prefix that matches path,
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

// NeedsKeys reports whether the catalog has any teams.
func (c *Catalog) NeedsKeys() bool { return len(c.Teams) > 0 }

// TeamByKey returns the team that holds a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.keys[key] }

// TeamByName returns the team with a name, or nil.
func (c *Catalog) TeamByName(name string) *Team {
	i := slices.IndexFunc(c.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Teams[i]
}

// HomeRegions returns the regions that may serve a request; an empty result
// means all. If both the route and the team have home regions, a region must be
// among both. ok is false if no region is.
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

// PickService returns the service for a request by the backends' weights. point
// is in [0, 1) and must be spread evenly over requests.
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
