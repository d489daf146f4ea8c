package caller

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Headers of a response that the system generates itself.
const (
	// HeaderVerdict reports whether the request may have run.
	HeaderVerdict = endpoint.HeaderVerdict
	// HeaderReason is the machine-readable reason of a refusal.
	HeaderReason = "Cardamomfront-Reason"
	// HeaderRequestID identifies the request in the logs of instances and
	// endpoints.
	HeaderRequestID = endpoint.HeaderRequestID
)

// Reason is the machine-readable reason of a refusal. Refusals are counted by
// reason.
type Reason string

// Reasons of the stages in this package.
const (
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonStaleKeys       Reason = "stale-keys"
	ReasonNoRoute         Reason = "no-route"
	ReasonMethod          Reason = "method-not-allowed"
	ReasonNoKey           Reason = "no-key"
	ReasonUnknownKey      Reason = "unknown-key"
	ReasonKeyWithdrawn    Reason = "key-withdrawn"
	ReasonKeyInURL        Reason = "key-in-url"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonBadHeader       Reason = "bad-header"
	ReasonDeadline        Reason = "deadline"
	ReasonNoEndpoint      Reason = "no-endpoint"
	ReasonEndpointFailed  Reason = "endpoint-failed"
	ReasonResponseCut     Reason = "answer-cut"
	ReasonLeaving         Reason = "leaving"
	ReasonInternal        Reason = "internal"
)

// Refusal is a response that the system generates itself instead of an
// endpoint. A stage returns it as its error; the outermost handler writes it
// immediately.
type Refusal struct {
	// Verdict reports whether the request may have run.
	Verdict verdict.Verdict
	// Reason is the machine-readable reason.
	Reason Reason
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is the delay after which the caller may retry; 0 omits the
	// header.
	RetryAfter time.Duration
	// Err is the cause for the log. It may be nil and is never sent to the
	// caller.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("refused: %s (%s)", r.Reason, r.Verdict)
	}
	return fmt.Sprintf("refused: %s (%s): %v", r.Reason, r.Verdict, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// refuseNotRun returns a refusal of a request that has certainly not run.
func refuseNotRun(status int, reason Reason) *Refusal {
	return &Refusal{Verdict: verdict.NotRun, Reason: reason, Status: status}
}

// write sends the refusal as the response.
func (r *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderVerdict, r.Verdict.String())
	h.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.Status)
	_, _ = fmt.Fprintf(w, "%s (%s)\n", r.Reason, r.Verdict)
}

// retryAfterSeconds formats d as whole seconds, rounded up (RFC 9110, 10.2.3).
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
