package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// leastRetryAfter is the shortest time after which a caller that was not
// admitted is asked to come back.
const leastRetryAfter = time.Second

// sendRefusal turns a request that got no answer into a refusal.
func sendRefusal(x *Exchange, err error) *Refusal {
	var failed *endpoint.Error
	if errors.As(err, &failed) {
		return failedRefusal(x, failed)
	}
	refusal := notAdmitted(err)
	x.Verdict = refusal.Verdict
	return refusal
}

// notAdmitted returns the refusal of a request that was sent to no endpoint.
func notAdmitted(err error) *Refusal {
	refusal := refuse(http.StatusServiceUnavailable, ReasonNoEndpoint)
	refusal.Err = err
	refusal.RetryAfter = leastRetryAfter
	var full *admission.Refusal
	var unavailable *broker.UnavailableError
	switch {
	case errors.As(err, &full):
		refusal.Reason = Reason(full.Reason)
		refusal.RetryAfter = max(leastRetryAfter, full.Wait)
	case errors.As(err, &unavailable):
		refusal.Reason = Reason(unavailable.Reason)
		refusal.RetryAfter = max(leastRetryAfter, unavailable.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		refusal.Reason = ReasonDeadline
		refusal.Status = http.StatusGatewayTimeout
	case errors.Is(err, context.Canceled):
		refusal.Reason = Reason(endpoint.ReasonCanceled)
	}
	return refusal
}

// failedRefusal returns the refusal of a request that failed at an endpoint.
func failedRefusal(x *Exchange, failed *endpoint.Error) *Refusal {
	refusal := &Refusal{
		Verdict: failed.Verdict, Reason: Reason(failed.Reason), Status: http.StatusBadGateway,
		RetryAfter: failed.RetryAfter, Err: failed,
	}
	x.Verdict = failed.Verdict
	x.Tried = append(x.Tried, failed.Address)
	if failed.Verdict == verdict.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = leastRetryAfter
	}
	if failed.Reason == endpoint.ReasonDeadline || errors.Is(failed, context.DeadlineExceeded) {
		refusal.Reason = ReasonDeadline
		refusal.Status = http.StatusGatewayTimeout
	}
	var tooLarge *http.MaxBytesError
	if errors.As(failed, &tooLarge) {
		refusal.Reason = ReasonBodyTooLarge
		refusal.Status = http.StatusRequestEntityTooLarge
	}
	return refusal
}
