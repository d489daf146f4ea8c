package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// giveUp returns the final response to a request that gets no further attempt.
// refused is the error of the last choice of an endpoint, nil if no further
// attempt was allowed.
func (s *sender) giveUp(ctx context.Context, x *exchange, lastFailure failure, refused error) (*bufferedResponse, *refusal) {
	if lastFailure.response != nil && !claimsNotRun(lastFailure.response.Status) {
		return lastFailure.response, nil
	}
	r := &refusal{reason: reasonFailed, err: errors.Join(lastFailure.err, refused)}
	var p *placing.Refusal
	if errors.As(refused, &p) {
		r.reason, r.placing, r.retryAfter = reason(p.Reason), p, p.RetryAfter
	}
	if lastFailure.response != nil {
		r.reason = reasonUnprovenNotRun
	}
	switch {
	case ctx.Err() != nil && errors.Is(x.request.Context().Err(), context.Canceled):
		r.reason = reasonCallerLeft
	case s.hasEnded():
		r.reason = reasonStopping
	case ctx.Err() != nil:
		r.reason = reasonDeadline
	}
	r.status = statusOf(ctx, x)
	if r.status != http.StatusServiceUnavailable {
		r.retryAfter = 0
		return nil, r
	}
	if refused == nil {
		r.reason = reasonNotRun
	}
	r.retryAfter = jitter(max(r.retryAfter, minRetryAfter))
	return nil, r
}

// jitter returns a random time between 3/4 and 5/4 of d, so that callers
// refused at the same time do not retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// statusOf returns the status for a request that was given up. It reflects
// whether the request may have run.
func statusOf(ctx context.Context, x *exchange) int {
	switch {
	case x.verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case ctx.Err() != nil:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
