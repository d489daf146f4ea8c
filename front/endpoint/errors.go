package endpoint

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Reason is the machine-readable reason of a failed exchange. It is the value
// of the counters' reason attribute.
type Reason string

const (
	// ReasonUnreachable means that no connection could be made.
	ReasonUnreachable Reason = "endpoint-unreachable"
	// ReasonTimedOut means that the connection made no progress for
	// Request.ProgressTimeout.
	ReasonTimedOut Reason = "endpoint-silent"
	// ReasonShed means that the endpoint stated that it did not run the
	// request.
	ReasonShed Reason = "endpoint-shed"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled means that the caller canceled the request.
	ReasonCanceled Reason = "canceled"
	// ReasonBroken means that the connection broke before the response headers
	// arrived.
	ReasonBroken Reason = "connection-broken"
	// ReasonTruncated means that the response body ended early.
	ReasonTruncated Reason = "answer-cut"
	// ReasonExchangeMismatch means that the response belongs to another
	// request.
	ReasonExchangeMismatch Reason = "answer-crossed"
	// ReasonUnframed means that the response has no framing, so that its end
	// cannot be distinguished from a truncation.
	ReasonUnframed Reason = "answer-unframed"
	// ReasonInvalidResponse means that the status code is invalid or that
	// Protocol.Validate rejected the response.
	ReasonInvalidResponse Reason = "answer-flawed"
	// ReasonMisdirected means that another process now uses the address.
	ReasonMisdirected Reason = "endpoint-replaced"
	// ReasonCallerBody means that the caller's body could not be read.
	ReasonCallerBody Reason = "caller-body"
	// ReasonWithdrawn means that Request.Permit denied the request.
	ReasonWithdrawn Reason = "endpoint-closed"
	// ReasonUnsendable means that the request cannot be sent to an endpoint.
	ReasonUnsendable Reason = "request-unsendable"
)

// Error is a failed exchange with an endpoint.
type Error struct {
	// Reason is the reason of the failure.
	Reason Reason
	// Verdict states whether the request may have run. NotRun is proven.
	Verdict verdict.Verdict
	// Address is the endpoint's network address.
	Address string
	// Load is the load that the endpoint reported when Reason is ReasonShed.
	Load Load
	// FirstUse reports whether this was the first request on its connection.
	FirstUse bool
	// Header holds the response headers of an instance that failed to relay the
	// request; otherwise it is nil.
	Header http.Header
	// RetryAfter is the retry delay that the endpoint requested, or 0.
	RetryAfter time.Duration
	// Leaving reports whether the endpoint stated that it is about to stop.
	Leaving bool
	// RateLimit is what the endpoint stated about its limit when Reason is
	// ReasonShed, or nil. RateLimitErr tells why it could not be read.
	RateLimit    *ratelimit.Limit
	RateLimitErr error
	// Err is the cause; it may be nil.
	Err error
}

// InvalidRateLimitError is a limit on requests per second that cannot be read.
type InvalidRateLimitError struct {
	// Value is the limit as the endpoint stated it.
	Value string
}

// Error implements error.
func (e *InvalidRateLimitError) Error() string {
	return fmt.Sprintf("limit %q is not a decimal number of 0 or more", e.Value)
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("endpoint %s: %s, %s", e.Address, e.Reason, e.Verdict)
	}
	return fmt.Sprintf("endpoint %s: %s, %s: %v", e.Address, e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
