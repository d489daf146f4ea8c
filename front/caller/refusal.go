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

// Headers of an answer that the system gave itself.
const (
	// HeaderVerdict says whether the request may have run.
	HeaderVerdict = endpoint.HeaderVerdict
	// HeaderReason is the machine-readable reason of a refusal.
	HeaderReason = "Cardamomfront-Reason"
	// HeaderRequestID names the request in logs of instances and endpoints.
	HeaderRequestID = endpoint.HeaderRequestID
)

// Reason is the machine-readable reason of a refusal. Each has its own counter.
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

// Refusal is an answer that the system gives itself, in place of an
// endpoint's. A stage returns it as its error; the outermost handler writes it
// at once.
type Refusal struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Reason is the machine-readable reason.
	Reason Reason
	// Status is the HTTP status of the answer.
	Status int
	// RetryAfter is when coming back helps; 0 leaves the header out.
	RetryAfter time.Duration
	// Err is the cause for the log; it may be nil and is never shown to the
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

// write sends the refusal as the answer.
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

// retryAfterSeconds gives d as whole seconds, rounded up (RFC 9110, 10.2.3).
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
