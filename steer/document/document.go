package document

import "time"

// Document is the configuration of one environment. A decoded document is
// complete (defaults are filled in) and consistent (every referenced name
// exists). It is not changed after decoding.
type Document struct {
	// Environment is the name of the environment, such as "kano-trial".
	// Required.
	Environment string `yaml:"environment"`
	// Teams are the tenants. At least one.
	Teams []Team `yaml:"teams"`
	// Regions are the regions and their failure domains. At least one.
	Regions []Region `yaml:"regions"`
	// Services are the services and the endpoints of their versions.
	Services []Service `yaml:"services"`
	// Routes map requests to services. The longest matching path wins.
	Routes []Route `yaml:"routes"`
	// Shifts move services to new versions. At most one per service.
	Shifts []Shift `yaml:"shifts,omitempty"`
	// Drains take regions out of service. At most one per region.
	Drains []Drain `yaml:"drains,omitempty"`
	// Entries configures which instances callers are directed to.
	Entries Entries `yaml:"entries"`
}

// Team is a tenant and its rate limit.
type Team struct {
	// Name is unique among teams. Required.
	Name string `yaml:"name"`
	// Rate is the sustained request rate across all instances. Required.
	Rate Rate `yaml:"rate"`
	// Burst is the number of requests that may arrive at once, across all
	// instances. Required, at least 1.
	Burst int `yaml:"burst"`
	// Keys are the valid keys. A key that is not listed is refused.
	Keys []Key `yaml:"keys,omitempty"`
}

// Key is the key of one caller. Only its digest is stored.
type Key struct {
	// ID identifies the key to operators. Unique in the document. Required.
	ID string `yaml:"id"`
	// Digest is the KeyDigest of the key: "sha256:" and 64 hexadecimal digits.
	// Unique in the document. Required.
	Digest string `yaml:"digest"`
}

// Region is a region with its failure domains.
type Region struct {
	// Name is unique among regions. Required.
	Name string `yaml:"name"`
	// FailureDomains are unique in the document. At least one.
	FailureDomains []string `yaml:"failureDomains"`
}

// Service is one service with its versions.
type Service struct {
	// Name is unique among services. Required.
	Name string `yaml:"name"`
	// Versions are the versions that have endpoints. At least one.
	Versions []Version `yaml:"versions"`
	// Serving names the version that serves while no shift is active.
	// Required.
	Serving string `yaml:"serving"`
}

// Version is one version of a service.
type Version struct {
	// Name is unique in the service. Required.
	Name string `yaml:"name"`
	// Endpoints run this version. At least one.
	Endpoints []Endpoint `yaml:"endpoints"`
}

// Endpoint is one process that serves requests.
type Endpoint struct {
	// Address is an IP address and a port, such as "127.0.0.1:9001". Unique
	// in the document. Required.
	Address string `yaml:"address"`
	// FailureDomain is one of the regions' failure domains. Required.
	FailureDomain string `yaml:"failureDomain"`
	// Slots is the number of requests that the endpoint runs concurrently.
	// Required, at least 1.
	Slots int `yaml:"slots"`
}

// Route maps requests to a service.
type Route struct {
	// Name is unique among routes. Required.
	Name string `yaml:"name"`
	// Path is a prefix of whole path segments: "/a" and "/a/" both match
	// "/a/b", neither matches "/ab", and only "/a" matches "/a". Required.
	Path string `yaml:"path"`
	// Methods are the HTTP methods, in upper case. At least one.
	Methods []string `yaml:"methods"`
	// Service names the service that handles the requests. Required.
	Service string `yaml:"service"`
	// Open allows requests without a key. Default false.
	Open bool `yaml:"open,omitempty"`
	// Idempotent allows a request to be sent again. GET and HEAD requests
	// always may be (RFC 9110, section 9.2.1). Default false.
	Idempotent bool `yaml:"idempotent,omitempty"`
	// Timeout is the deadline of a request that does not set one. Default 5s.
	Timeout Duration `yaml:"timeout"`
	// MaxBody is the largest request body. Default 16MiB.
	MaxBody Size `yaml:"maxBody"`
}

// Shift moves a service from the serving version to another one.
type Shift struct {
	// Name is unique among shifts. Required.
	Name string `yaml:"name"`
	// Service names the service. Required.
	Service string `yaml:"service"`
	// To names the new version, which must not be the serving one. Required.
	To string `yaml:"to"`
	// Start is when the first stage begins. Required.
	Start time.Time `yaml:"start"`
	// Deadline is when the shift must be complete; otherwise it is rolled
	// back. Required. It must be later than Start by the sum of all stages,
	// each at least 10s, plus 15s to record completion.
	Deadline time.Time `yaml:"deadline"`
	// Stages have increasing caps, the last one 100%. At least one.
	Stages []Stage `yaml:"stages"`
	// Watch is how long the new version is still judged after the shift is
	// complete. Default 10m.
	Watch Duration `yaml:"watch"`
}

// Stage is one step of a shift.
type Stage struct {
	// Cap is the largest share of the service's requests that the new version
	// receives. Required, over 0% and at most 100%.
	Cap Percent `yaml:"cap"`
	// Hold is the shortest time in this stage. Default 0s.
	Hold Duration `yaml:"hold"`
}

// Drain takes a region out of service.
type Drain struct {
	// Region names the region. Required.
	Region string `yaml:"region"`
	// From is when the drain begins. Required.
	From time.Time `yaml:"from"`
	// Deadline is when the region must be empty. Required, later than From.
	// The region stays out of service until the drain is removed from the
	// document.
	Deadline time.Time `yaml:"deadline"`
}

// Entries configures which instances callers are directed to.
type Entries struct {
	// Homes is the number of instances that each team's callers are given.
	// Default 2.
	Homes int `yaml:"homes"`
	// Lifetime is how long a caller may use an entry response. Default 30s.
	Lifetime Duration `yaml:"lifetime"`
}
