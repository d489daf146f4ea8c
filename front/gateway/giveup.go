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

// giveUp returns the final answer to a request that no further endpoint is
// tried for. refused is why none was chosen, nil when none was asked for.
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

// jitter returns a time between three and five quarters of d, so that callers
// who were refused together don't come back together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// statusOf returns the status that says what is known of a request that was
// given up on.
func statusOf(ctx context.Context, x *exchange) int {
	switch {
	case x.verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case ctx.Err() != nil:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
