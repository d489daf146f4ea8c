// Package gateway serves callers where endpoints, operators and instances meet
// in a shared store: it follows the store's tables, keeps what this instance
// believes, and brings each request to an endpoint.
//
// What is spoken with callers, endpoints and the store comes in through narrow
// interfaces; the decisions are those of the packages catalog, placing, quota,
// retry and rollout.
package gateway

import (
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// CallerRequest is what a caller says of a request beside plain HTTP.
type CallerRequest struct {
	// ID names the attempt, in logs and towards endpoints.
	ID string
	// Key is the caller's key, "" when it sent none.
	Key string
	// Object names what the request is about, or is "".
	Object string
	// DeadlineLeft is how long the caller waits, 0 when it did not say.
	DeadlineLeft time.Duration
}

// CallerProtocol is what is spoken with callers. It is safe for concurrent use.
type CallerProtocol interface {
	// Parse reads what a request says.
	Parse(r *http.Request) CallerRequest
	// Identify sets the headers by which a caller knows an answer.
	Identify(h http.Header, id string)
}

// CallerLocation is where a caller is.
type CallerLocation struct {
	// Region is the caller's region.
	Region string
	// FailureDomain is the caller's failure domain.
	FailureDomain string
}

// Ingress answers questions about instances.
type Ingress interface {
	// Ready answers whether this instance takes requests.
	Ready(ready func() bool) http.Handler
	// Directory answers which instances a caller should use. find returns their
	// addresses; an answer may be used for lifetime.
	Directory(find func(CallerLocation) []string, lifetime func() time.Duration) http.Handler
}

// Codec turns rows of the store's tables into this project's terms and back. Faults
// concern single rows and leave the others as they are.
type Codec interface {
	// Tables names the tables of operators, endpoints and outcomes of moves.
	Tables() (operator, endpoints, outcomes string)
	// Catalog returns the newest catalog, nil when there is none.
	Catalog(rows map[string]registry.Row) (*catalog.Catalog, error)
	// RolloutOrders returns the orders to move services, by service.
	RolloutOrders(rows map[string]registry.Row) (map[string]catalog.RolloutOrder, []error)
	// DrainedDomains returns the failure domains that are to be left empty.
	DrainedDomains(rows map[string]registry.Row) map[string]bool
	// Endpoint returns the endpoint that a row names.
	Endpoint(row registry.Row, now time.Time) (catalog.Endpoint, error)
	// RolloutRecords returns the recorded outcomes of moves, by service.
	RolloutRecords(rows map[string]registry.Row) (map[string]catalog.RolloutRecord, []error)
	// EncodeRolloutRecord returns the row that records an outcome.
	EncodeRolloutRecord(service string, o catalog.RolloutRecord) (key string, value []byte, err error)
}
