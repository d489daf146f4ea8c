package placing

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Query asks for an endpoint for one try of a request.
type Query struct {
	// Service is where the request goes.
	Service string
	// Route names the route; times of work are learned by it.
	Route string
	// Object names what the request is about, "" when nothing is known.
	Object string
	// Versions says which versions may be chosen; nil means all.
	Versions func(version string) bool
	// HomeRegions are the regions that may serve the request; empty means all.
	HomeRegions []string
	// Tried are the endpoints that earlier tries failed at.
	Tried []catalog.Incarnation
	// Goal is the route's response-time goal; times of work that are not
	// known yet are guessed from it.
	Goal time.Duration
	// GoalLeft is the time left until the goal; it may be negative.
	GoalLeft time.Duration
	// DeadlineLeft is the time left until the request's deadline.
	DeadlineLeft time.Duration
}

// Choice is an endpoint with the right to send one request to it. Done must be
// called once for each.
type Choice struct {
	// Endpoint is where the request goes.
	Endpoint catalog.Endpoint
	// Region is the endpoint's region.
	Region string
	// Expected is the time in which an answer is expected.
	Expected time.Duration
	// Nominal is Expected for an endpoint that is not slower than others.
	Nominal time.Duration
	// QueueWait is the part of it that is spent in the endpoint's queue.
	QueueWait time.Duration
	// Warmth is what is known of the object there: "warm", "home" or "cold".
	Warmth string
	// Running is how many requests were known to be there.
	Running int
	// Candidates is how many endpoints could have been chosen.
	Candidates int

	group     *group
	state     *endpoint
	route     string
	warmth    warmth
	start     time.Time
	unloaded  bool // no queue, no slowness: its time tells how long work takes
	roundTrip float64
}

// Refusal says that no endpoint was chosen.
type Refusal struct {
	// Reason says why.
	Reason Reason
	// Expected is the earliest expected answer, 0 when there is no endpoint.
	Expected time.Duration
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
	// BestEndpoint names the endpoint of the earliest answer, "" when none could take
	// the request.
	BestEndpoint string
	// QueueWait is the part of Expected that would be spent in its queue.
	QueueWait time.Duration
	// Warmth is what is known of the object there.
	Warmth string
	// Candidates is how many endpoints could take the request.
	Candidates int
	// Utilization is the part in use of all slots that may serve it, more than 1 where
	// requests wait.
	Utilization float64
}

// Reason is why no endpoint was chosen.
type Reason string

const (
	// ReasonNoEndpoint means that no endpoint may serve the request.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoRoom means that each endpoint has all the requests it may have.
	ReasonNoRoom Reason = "no-room"
	// ReasonTooLate means that no answer is expected in time.
	ReasonTooLate Reason = "too-late"
)

// Error implements error.
func (r *Refusal) Error() string { return "placing: " + string(r.Reason) }
