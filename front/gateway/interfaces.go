// Package gateway is an instance that serves callers on a platform where
// endpoints, operators and instances meet in a shared store. It watches the
// store's tables, exchanges reports with its peers, and sends each caller's
// request to an endpoint.
//
// The protocols with callers, endpoints and the store are behind narrow
// interfaces. Rollouts are carried out by front/rollouts; front/reachability and
// front/crashes find out why requests got no response; front/relayclient sends
// requests through other instances. The decisions are made in the packages catalog,
// placing, quota, retry and rollout.
package gateway

import (
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// CallerRequest is what a caller's request says beyond plain HTTP.
type CallerRequest struct {
	// ID identifies the request in logs and at endpoints.
	ID string
	// Key is the caller's API key, "" if it sent none.
	Key string
	// Object identifies the object that the request is about, or is "".
	Object string
	// DeadlineLeft is how long the caller waits, 0 if unknown.
	DeadlineLeft time.Duration
}

// CallerProtocol is the protocol with callers. It is safe for concurrent use.
type CallerProtocol interface {
	// Parse reads the protocol's headers of a request.
	Parse(r *http.Request) CallerRequest
	// Identify sets the response headers that identify the request.
	Identify(h http.Header, id string)
}

// CallerLocation is where a caller is.
type CallerLocation struct {
	// Region is the caller's region.
	Region string
	// FailureDomain is the caller's failure domain.
	FailureDomain string
}

// Ingress provides the handlers through which callers find instances.
type Ingress interface {
	// Ready returns a handler that reports whether this instance takes
	// requests.
	Ready(ready func() bool) http.Handler
	// Directory returns a handler that lists the instances for a caller. find
	// returns their addresses; a response may be used for lifetime.
	Directory(find func(CallerLocation) []string, lifetime func() time.Duration) http.Handler
}

// Codec decodes and encodes the rows of the store's tables. Errors in a list
// concern single rows; the other rows are decoded all the same.
type Codec interface {
	rollouts.Codec
	// Catalog returns the newest catalog, nil if there is none.
	Catalog(rows map[string]registry.Row) (*catalog.Catalog, error)
	// CatalogKey is the key of the operators' row that holds the catalog.
	CatalogKey() string
	// RolloutOrders returns the orders to roll services out, by service.
	RolloutOrders(rows map[string]registry.Row) (map[string]catalog.RolloutOrder, []error)
	// DrainedDomains returns the failure domains that are to be drained.
	DrainedDomains(rows map[string]registry.Row) map[string]bool
	// Endpoint returns the endpoint that a row describes.
	Endpoint(row registry.Row, now time.Time) (catalog.Endpoint, error)
}
