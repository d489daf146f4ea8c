package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/crashes"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// reportedLoad returns the load that an endpoint reported with its response.
func reportedLoad(response *bufferedResponse, err error) endpoint.Load {
	var e *endpoint.Error
	switch {
	case err == nil:
		return response.Load
	case errors.As(err, &e) && e.Reason == endpoint.ReasonShed:
		return e.Load
	}
	return endpoint.NoLoad
}

// minComparedTime keeps noise out of comparisons of very short times.
const minComparedTime = 50 * time.Millisecond

// recordResult records the result of an attempt with the crash watch and the
// service's rollout. A failure without a response counts once it is known that
// neither the request nor a cut of this instance is its cause: these say nothing
// about a version.
func (s *sender) recordResult(x *exchange, observed *rollouts.Attempt, c *placing.Choice, sentAt time.Time, o placing.Outcome, response *bufferedResponse, err error, elapsed time.Duration) {
	observed.End()
	record := func(counts bool) {
		if !counts {
			observed.Discard()
			return
		}
		observed.Settle(rolloutOutcome(o, response, err, elapsed, c), slowness(elapsed, c))
	}
	switch {
	case crashes.MayHaveCrashed(err):
		s.crashes.ConnectionBroke(c.Endpoint, crashes.Request{Run: crash.Run{Fingerprint: x.fingerprint, SentAt: sentAt}, Settle: record})
		return
	case !reachability.HasResponded(err):
		s.crashes.NoResponse(time.Now(), record)
		return
	}
	record(true)
	switch {
	case err == nil && !claimsNotRun(response.Status):
		s.crashes.Detector().ObserveAnswer(time.Now(), sentAt, c.Endpoint.Incarnation(), x.fingerprint)
	case err == nil || o == placing.OutcomeShed:
		s.crashes.Detector().ObserveReached(time.Now(), sentAt, c.Endpoint.Incarnation())
	}
}

// slowness returns the response time relative to the usual time for such a request
// at such an endpoint.
func slowness(elapsed time.Duration, c *placing.Choice) float64 {
	return max(elapsed, minComparedTime).Seconds() / max(c.Nominal, minComparedTime).Seconds()
}

// rolloutOutcome returns the outcome of an attempt with regard to its
// endpoint's version.
func rolloutOutcome(o placing.Outcome, response *bufferedResponse, err error, elapsed time.Duration, c *placing.Choice) rollout.Outcome {
	switch {
	case o == placing.OutcomeAnswered:
		return rollout.OutcomeGood
	case o == placing.OutcomeFailed && err == nil && response.Status == http.StatusGatewayTimeout && elapsed < 2*c.Expected:
		return rollout.OutcomeUnknown // the deadline left too little time
	case o == placing.OutcomeFailed && err == nil:
		return rollout.OutcomeError
	case o == placing.OutcomeFailed:
		return rollout.OutcomeBroken
	case o == placing.OutcomeTimedOut:
		return rollout.OutcomeTimedOut
	}
	return rollout.OutcomeUnknown
}

// updateVerdict updates, with the result of an attempt, whether the request may
// have run.
func (x *exchange) updateVerdict(err error) {
	switch {
	case err == nil:
		x.verdict = verdict.Ran
	case mayHaveRun(err):
		x.verdict = x.verdict.Combine(verdict.MayHaveRun)
	}
}

// mayHaveRun reports whether an attempt that ended with err has run its request, or
// may have.
func mayHaveRun(err error) bool {
	var e *endpoint.Error
	return !errors.As(err, &e) || e.Verdict != verdict.NotRun
}

// claimsNotRun reports whether a status claims that the request has not run.
// Such a response is not passed on unless the endpoint has proved the claim.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcomeOf returns the outcome of an attempt with regard to the endpoint.
func outcomeOf(ctx context.Context, response *bufferedResponse, err error, elapsed time.Duration, c *placing.Choice) placing.Outcome {
	if err == nil {
		if response.Status >= http.StatusInternalServerError {
			return placing.OutcomeFailed
		}
		return placing.OutcomeAnswered
	}
	var e *endpoint.Error
	if !errors.As(err, &e) {
		return placing.OutcomeFailed
	}
	switch e.Reason {
	case endpoint.ReasonShed:
		return placing.OutcomeShed
	case endpoint.ReasonMisdirected:
		return placing.OutcomeReplaced
	case endpoint.ReasonUnreachable:
		return placing.OutcomeUnreachable
	case endpoint.ReasonTimedOut, endpoint.ReasonDeadline, endpoint.ReasonCanceled:
		if ctx.Err() != nil && elapsed < 2*c.Expected {
			return placing.OutcomeUnknown // the deadline left too little time
		}
		return placing.OutcomeTimedOut
	case endpoint.ReasonCallerBody, endpoint.ReasonUnsendable, endpoint.ReasonWithdrawn:
		return placing.OutcomeUnknown
	case endpoint.ReasonBroken, endpoint.ReasonTruncated, endpoint.ReasonExchangeMismatch, endpoint.ReasonUnframed, endpoint.ReasonInvalidResponse:
	}
	return placing.OutcomeFailed
}
