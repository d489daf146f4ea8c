package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

const (
	// maxAttempts bounds the endpoints of one request where its route allows
	// more: each further one finds less time left.
	maxAttempts = 4
	// hedgeFactor is by how many times an idempotent request's answer may be
	// later than expected before another endpoint is asked as well.
	hedgeFactor = 2.5
	// hedgeGoalFraction is the part of the goal before which that is not done: a later
	// answer earns a fifth, an earlier try costs the budget of those in need.
	hedgeGoalFraction = 0.8
	// minAttemptTime is the least time that another try must have.
	minAttemptTime = 100 * time.Millisecond
	// budgetFraction is the part of the allowed tries that the instances use
	// together, so that there is room for instances that disagree on the fleet.
	budgetFraction = 0.6
)

// sender brings requests to endpoints.
type sender struct {
	client     *endpoint.Client
	placer     *placing.Placer
	rollouts   *rollouts
	budgets    *retryBudgets
	metrics    *metrics
	logLimiter *logLimiter
}

// targetOf returns how the client names an endpoint.
func targetOf(e *catalog.Endpoint) endpoint.Target {
	return endpoint.Target{Address: e.Address, Incarnation: e.ID}
}

// chooseEndpoint reserves an endpoint, of the version that the service's move asks for.
func (s *sender) chooseEndpoint(x *exchange, tried []catalog.Incarnation) (*placing.Choice, error) {
	now := time.Now()
	homes, ok := catalog.HomeRegions(x.route, x.team)
	if !ok {
		return nil, &placing.Refusal{Reason: placing.ReasonNoEndpoint}
	}
	q := placing.Query{
		Service:      x.service,
		Route:        x.route.Name,
		HomeRegions:  homes,
		Tried:        tried,
		Goal:         x.route.Goal,
		GoalLeft:     x.goalTime().Sub(now),
		DeadlineLeft: x.deadline.Sub(now),
	}
	if x.route.Affinity {
		q.Object = x.caller.Object
	}
	var err error
	preferred := s.rollouts.preferredVersions(x.service, now, len(tried) == 0)
	for _, accepts := range preferred.filters {
		q.Versions = accepts
		var choice *placing.Choice
		if choice, err = s.placer.Choose(now, q); err == nil {
			return choice, nil
		}
		if preferred.noFallback && hasNoHeadroom(err) {
			break
		}
	}
	return nil, err
}

// hasNoHeadroom says whether there are endpoints and none has room.
func hasNoHeadroom(err error) bool {
	var r *placing.Refusal
	return errors.As(err, &r) && r.Reason != placing.ReasonNoEndpoint
}

// attempt sends the request to one endpoint. It is the number-th of the request.
func (s *sender) attempt(ctx context.Context, x *exchange, c *placing.Choice, attemptNumber int) result {
	ro := s.rollouts.get(x.service)
	if ro != nil {
		ro.AttemptStarted(c.Endpoint.Version)
	}
	start := time.Now()
	response, err := s.client.Send(ctx, targetOf(&c.Endpoint), &endpoint.Request{
		HTTP:       x.attemptRequest(),
		ID:         x.caller.ID,
		Team:       x.teamName(),
		Idempotent: x.route.Idempotent,
		Deadline:   x.deadline,
	})
	var buffered *bufferedResponse
	if err == nil {
		buffered, err = bufferResponse(response)
	}
	elapsed := time.Since(start)
	outcome := outcomeOf(ctx, buffered, err, elapsed, c)
	s.placer.Done(time.Now(), c, outcome, elapsed, reportedLoad(buffered, err))
	if ro != nil {
		s.recordRolloutAttempt(ro, c, outcome, elapsed)
	}
	s.logAttempt(x, c, outcome, buffered, err, elapsed, attemptNumber)
	if err == nil && buffered.Status < http.StatusInternalServerError && !claimsNotRun(buffered.Status) {
		return result{response: buffered}
	}
	return result{failure: &failure{response: buffered, err: err}, err: err}
}

// shouldLog says whether a try's line is written.
func (s *sender) shouldLog(x *exchange, o placing.Outcome) bool {
	switch {
	case x.logAll:
		return true
	case o != placing.OutcomeAnswered:
		return s.logLimiter.allowFailure(time.Now())
	}
	s.logLimiter.omit()
	return false
}

// logAttempt logs one try with what decided it.
func (s *sender) logAttempt(x *exchange, c *placing.Choice, o placing.Outcome, a *bufferedResponse, err error, elapsed time.Duration, attemptNumber int) {
	s.metrics.recordAttempt(x, o, c)
	if !s.shouldLog(x, o) {
		return
	}
	fields := logrus.Fields{
		"route": x.route.Name, "service": x.service, "team": x.teamName(), "try": attemptNumber,
		"endpoint": c.Endpoint.ID, "version": c.Endpoint.Version, "domain": c.Endpoint.FailureDomain,
		"object": x.caller.Object, "known": c.Warmth, "running": c.Running, "candidates": c.Candidates,
		"wait_ms": c.QueueWait.Milliseconds(), "expected_ms": c.Expected.Milliseconds(),
		"ms": elapsed.Milliseconds(), "since_ms": time.Since(x.arrived).Milliseconds(), "catalog": x.catalog.Version,
	}
	var failed *endpoint.Error
	switch {
	case a != nil:
		fields["status"], fields["fresh"] = a.Status, a.FirstUse
	case errors.As(err, &failed):
		fields["fresh"] = failed.FirstUse
	}
	entry := x.log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	if o == placing.OutcomeAnswered {
		entry.Info("Request answered.")
		return
	}
	entry.Info("Try failed.")
}
