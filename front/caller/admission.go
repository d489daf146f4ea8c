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

// minRetryAfter is the minimum Retry-After sent to a caller whose request was
// not admitted.
const minRetryAfter = time.Second

// sendRefusal turns the error of a failed send into a refusal.
func sendRefusal(x *Exchange, err error) *Refusal {
	var endpointErr *endpoint.Error
	if errors.As(err, &endpointErr) {
		return endpointRefusal(x, endpointErr)
	}
	refusal := admissionRefusal(err)
	x.Verdict = refusal.Verdict
	return refusal
}

// admissionRefusal returns the refusal of a request that was not sent to any
// endpoint.
func admissionRefusal(err error) *Refusal {
	refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonNoEndpoint)
	refusal.Err = err
	refusal.RetryAfter = minRetryAfter
	var queueRefusal *admission.Refusal
	var unavailable *broker.UnavailableError
	switch {
	case errors.As(err, &queueRefusal):
		refusal.Reason = Reason(queueRefusal.Reason)
		refusal.RetryAfter = max(minRetryAfter, queueRefusal.Wait)
	case errors.As(err, &unavailable):
		refusal.Reason = Reason(unavailable.Reason)
		refusal.RetryAfter = max(minRetryAfter, unavailable.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		refusal.Reason = ReasonDeadline
		refusal.Status = http.StatusGatewayTimeout
	case errors.Is(err, context.Canceled):
		refusal.Reason = Reason(endpoint.ReasonCanceled)
	}
	return refusal
}

// endpointRefusal returns the refusal of a request that failed at an endpoint.
func endpointRefusal(x *Exchange, endpointErr *endpoint.Error) *Refusal {
	refusal := &Refusal{
		Verdict: endpointErr.Verdict, Reason: Reason(endpointErr.Reason), Status: http.StatusBadGateway,
		RetryAfter: endpointErr.RetryAfter, Err: endpointErr,
	}
	x.Verdict = endpointErr.Verdict
	x.FailedAddresses = append(x.FailedAddresses, endpointErr.Address)
	if endpointErr.Verdict == verdict.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = minRetryAfter
	}
	if endpointErr.Reason == endpoint.ReasonDeadline || errors.Is(endpointErr, context.DeadlineExceeded) {
		refusal.Reason = ReasonDeadline
		refusal.Status = http.StatusGatewayTimeout
	}
	var tooLarge *http.MaxBytesError
	if errors.As(endpointErr, &tooLarge) {
		refusal.Reason = ReasonBodyTooLarge
		refusal.Status = http.StatusRequestEntityTooLarge
	}
	return refusal
}
