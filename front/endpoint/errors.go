package endpoint

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Reason says in one word why an exchange failed. It is the value of the
// counters' reason attribute.
type Reason string

const (
	// ReasonUnreachable means that no connection could be made.
	ReasonUnreachable Reason = "endpoint-unreachable"
	// ReasonTimedOut means that the connection made no progress for too long.
	ReasonTimedOut Reason = "endpoint-silent"
	// ReasonShed means that the endpoint said that it did not run the request.
	ReasonShed Reason = "endpoint-shed"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled means that the caller gave up.
	ReasonCanceled Reason = "canceled"
	// ReasonBroken means that the connection broke before an answer began.
	ReasonBroken Reason = "connection-broken"
	// ReasonTruncated means that the answer ended before it was whole.
	ReasonTruncated Reason = "answer-cut"
	// ReasonExchangeMismatch means that the answer named another request.
	ReasonExchangeMismatch Reason = "answer-crossed"
	// ReasonUnframed means that the answer's end could not be told from a cut.
	ReasonUnframed Reason = "answer-unframed"
	// ReasonInvalidResponse means that the answer can't be the endpoint's.
	ReasonInvalidResponse Reason = "answer-flawed"
	// ReasonMisdirected means that another process has the address.
	ReasonMisdirected Reason = "endpoint-replaced"
	// ReasonCallerBody means that the caller's body could not be read.
	ReasonCallerBody Reason = "caller-body"
	// ReasonUnsendable means that the request cannot be sent to an endpoint.
	ReasonUnsendable Reason = "request-unsendable"
)

// Error is a failed exchange with an endpoint.
type Error struct {
	// Reason says why the exchange failed.
	Reason Reason
	// Verdict says whether the request may have run. NotRun is proved.
	Verdict verdict.Verdict
	// Address is the endpoint's.
	Address string
	// Load is the endpoint's own word on how many requests it has, where Reason
	// is ReasonShed; -1 when it gave none.
	Load int
	// FirstUse says that the connection carried no request before.
	FirstUse bool
	// Header holds the headers of another instance that failed to relay the
	// request; it is nil otherwise.
	Header http.Header
	// RetryAfter is the endpoint's own word on when to come back, or 0.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
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
