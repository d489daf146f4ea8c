package gateway

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// reason says in one word why a request was not served. It is the value of the
// counters' reason attribute.
type reason string

// Reasons of refusals.
const (
	reasonStopping     reason = "stopping"
	reasonUnready      reason = "not-ready"
	reasonNoRoute      reason = "no-route"
	reasonUnknownKey   reason = "unknown-key"
	reasonQuota        reason = "quota"
	reasonTooLarge     reason = "body-too-large"
	reasonBody         reason = "body-unreadable"
	reasonDeadline     reason = "deadline"
	reasonCallerLeft   reason = "caller-left"
	reasonFailed       reason = "endpoint-failed"
	reasonNotRun       reason = "endpoint-refused"
	reasonFalsePromise reason = "endpoint-promise-unproved"
)

// Times to come back where nothing better is known.
const (
	// stoppingRetry is short: another instance can serve at once.
	stoppingRetry = 50 * time.Millisecond
	// unreadyRetry is about the time in which an instance learns the catalog.
	unreadyRetry = 500 * time.Millisecond
	// leastRetry keeps callers from coming back within the same wave.
	leastRetry = 100 * time.Millisecond
)

// refusal is the final answer to a request that was not served.
type refusal struct {
	status int
	reason reason
	// retry is when the caller should come back, 0 to say nothing.
	retry time.Duration
	// placing is why no endpoint was chosen, nil where that is not the cause.
	placing *placing.Refusal
	err     error
}
