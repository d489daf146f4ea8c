package placing

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/priority"
)

// Query describes one attempt of a request that needs an endpoint.
type Query struct {
	// Service is the service that the request goes to.
	Service string
	// Route names the route; work times are learned by route.
	Route string
	// Object names the object that the request is about, "" if unknown.
	Object string
	// Versions reports whether a version may be chosen; nil allows all.
	Versions func(version string) bool
	// HomeRegions are the regions that may serve the request; empty means all.
	HomeRegions []string
	// Tried are the endpoints at which earlier attempts failed.
	Tried []catalog.Incarnation
	// Goal is the route's response-time goal; initial work times are estimated
	// from it.
	Goal time.Duration
	// GoalLeft is the time left until the goal; it may be negative.
	GoalLeft time.Duration
	// DeadlineLeft is the time left until the request's deadline.
	DeadlineLeft time.Duration
	// Rank is the request's rank, 0 the highest. It counts at services whose ranks
	// differ, see SetRanks.
	Rank int
	// Team names the request's team, "" for none.
	Team string
	// Waiting is set if the request was refused with MayWait before and has waited.
	Waiting bool
	// Repeated is set if the same attempt was refused for other versions.
	Repeated bool

	ranks      *priority.Controller // nil if ranks do not count
	admittedAs int                  // the rank by which it is admitted
}

// Choice is an endpoint with the right to send one request to it. Done must be
// called once for each Choice.
type Choice struct {
	// Endpoint is where the request goes.
	Endpoint catalog.Endpoint
	// Region is the endpoint's region.
	Region string
	// Expected is the time until the response is expected.
	Expected time.Duration
	// Nominal is Expected for an endpoint that is not slower than others.
	Nominal time.Duration
	// QueueWait is the part of Expected that is spent in the endpoint's queue.
	QueueWait time.Duration
	// Warmth is the warmth of the object at the endpoint: "warm", "home" or
	// "cold".
	Warmth string
	// Running is the known number of requests at the endpoint.
	Running int
	// Candidates is the number of endpoints that could have been chosen.
	Candidates int
	// LocalExpected is the time until the response would be expected from the best
	// endpoint in this instance's region, 0 if none could take the request.
	LocalExpected time.Duration
	// LocalQueueWait is the part of LocalExpected that would be spent in its queue.
	LocalQueueWait time.Duration
	// LocalUtilization is the known fraction in use of the slots in this instance's
	// region.
	LocalUtilization float64

	// Fraction is the fraction of this instance's requests that runs in Region.
	Fraction float64

	group     *group
	demand    *demand
	state     *endpoint
	route     string
	warmth    warmth
	start     time.Time
	unloaded  bool // no queue and not cold, so the elapsed time shows the work time
	roundTrip float64
	workTime  float64 // part of Expected, as the endpoint reported it
}

// Refusal is the error for a request for which no endpoint was chosen.
type Refusal struct {
	// Reason is the reason.
	Reason Reason
	// Expected is the time until the earliest expected response, 0 without an
	// endpoint.
	Expected time.Duration
	// RetryAfter is the time after which there may be capacity.
	RetryAfter time.Duration
	// MayWait is set if the request may wait: the endpoint that suits it best has no
	// room for its rank.
	MayWait bool
	// Work is the time from the start to the response that is expected of the request
	// if MayWait is set.
	Work time.Duration
	// BestEndpoint names the endpoint with the earliest expected response, "" if
	// none could take the request.
	BestEndpoint string
	// QueueWait is the part of Expected that would be spent in its queue.
	QueueWait time.Duration
	// Warmth is the warmth of the object at that endpoint.
	Warmth string
	// Candidates is the number of endpoints that could take the request.
	Candidates int
	// Limited is the number of endpoints whose own limit allowed no request of this
	// instance.
	Limited int
	// Utilization is the fraction in use of all slots that may serve the
	// request; it exceeds 1 if requests are queued.
	Utilization float64
}

// Reason is why no endpoint was chosen.
type Reason string

const (
	// ReasonNoEndpoint means that no endpoint may serve the request.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonAtCapacity means that each endpoint is at capacity.
	ReasonAtCapacity Reason = "no-room"
	// ReasonTooLate means that no response is expected in time.
	ReasonTooLate Reason = "too-late"
)

// Error implements error.
func (r *Refusal) Error() string { return "placing: " + string(r.Reason) }
