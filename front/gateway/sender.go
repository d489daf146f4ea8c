package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/crashes"
	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/relayclient"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/front/waiting"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

const (
	// maxAttempts limits the attempts of one request if its route allows more.
	// Each further attempt has less time left.
	maxAttempts = 4
	// hedgeFactor is how many times the expected response time an idempotent
	// request must have waited before it is hedged.
	hedgeFactor = 2.5
	// hedgeGoalFraction is the fraction of the latency goal before which a
	// request is not hedged. A response after the goal is worth a fifth of one
	// in time, and an earlier hedge takes retry budget from requests that need
	// it.
	hedgeGoalFraction = 0.8
	// minAttemptTime is the shortest remaining time for which another attempt
	// is made.
	minAttemptTime = 100 * time.Millisecond
	// budgetFraction is the fraction of the allowed retries that the instances
	// use together. The rest is headroom for instances that disagree on the
	// size of the fleet.
	budgetFraction = 0.6
)

// sender sends requests to endpoints.
type sender struct {
	client     *endpoint.Client
	placer     *placing.Placer
	rollouts   *rollouts.Rollouts
	budgets    *retryBudgets
	crashes    *crashes.Watch
	reach      *reach.Monitor
	relay      *relayclient.Client
	room       *waiting.Room
	metrics    *metrics
	logLimiter *logLimiter
	duties     *duties.Runner
	longRoutes longRoutes
	// endBy is when requests have to end because this instance stops, nil while
	// it runs. ended is closed then.
	endBy atomic.Pointer[time.Time]
	ended chan struct{}
}

// endAt gives up the requests that still run at a time, so that their callers get
// an answer before the connections end.
func (s *sender) endAt(t time.Time) {
	s.endBy.Store(&t)
	time.AfterFunc(time.Until(t), func() { close(s.ended) })
}

// hasEnded reports whether requests were given up because this instance stops.
func (s *sender) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// targetOf returns the client's target for an endpoint.
func targetOf(e *catalog.Endpoint) endpoint.Target {
	return endpoint.Target{Address: e.Address, Incarnation: e.ID}
}

// placement is an endpoint chosen for one attempt.
type placement struct {
	*placing.Choice
	reason rollouts.Reason
}

// chooseEndpoint reserves an endpoint of a version that the service's rollout
// prefers.
func (s *sender) chooseEndpoint(x *exchange, tried []catalog.Incarnation) (*placement, error) {
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
		Rank:         x.catalog.RankOf(x.route, x.team),
		Team:         x.teamName(),
		Waiting:      x.waiting,
	}
	if x.route.Affinity {
		q.Object = x.caller.Object
	}
	var err error
	preferred := s.rollouts.PreferredVersions(x.service, now, len(tried) == 0)
	for _, filter := range preferred.Filters {
		if filter.ShareOf != nil && hasNoHeadroom(err) && !filter.ShareOf.MayFallBackToNew(now) {
			break
		}
		q.Versions = filter.Accepts
		var choice *placing.Choice
		if choice, err = s.placer.Choose(now, q); err == nil {
			return &placement{Choice: choice, reason: filter.Reason}, nil
		}
		q.Repeated = true
		if preferred.NoFallback && hasNoHeadroom(err) {
			break
		}
	}
	return nil, err
}

// hasNoHeadroom reports whether there are endpoints and none has headroom.
func hasNoHeadroom(err error) bool {
	var r *placing.Refusal
	return errors.As(err, &r) && r.Reason != placing.ReasonNoEndpoint
}

// attempt sends the request to one endpoint. attemptNumber counts from 1.
func (s *sender) attempt(ctx context.Context, x *exchange, c *placement, attemptNumber int) result {
	start := time.Now()
	observed := s.rollouts.StartAttempt(x.service, start, c.Choice)
	s.reach.RequestStarted(start)
	counted := s.duties.StartAttempt(start.Add(c.QueueWait), x.teamName())
	response, err := s.client.Send(ctx, targetOf(&c.Endpoint), &endpoint.Request{
		HTTP:       x.attemptRequest(),
		ID:         x.caller.ID,
		Team:       x.teamName(),
		Idempotent: x.route.Idempotent,
		Deadline:   x.deadline,
		Permit:     func() bool { return s.placer.MaySend(time.Now(), c.Endpoint.Incarnation()) },
		Sent:       counted.Sent,
	})
	s.reach.RequestEnded(time.Now(), reachability.HasResponded(err))
	s.applyRestrictions(x, c.Choice, start, response, err)
	var buffered *bufferedResponse
	if err == nil {
		buffered, err = bufferResponse(response)
	}
	elapsed := time.Since(start)
	outcome := outcomeOf(ctx, buffered, err, elapsed, c.Choice)
	s.placer.DoneWith(time.Now(), c.Choice, outcome, elapsed, placing.Report(reportedLoad(buffered, err)))
	counted.End(mayHaveRun(err))
	s.room.Wake(x.service)
	s.recordResult(x, observed, c.Choice, start, outcome, buffered, err, elapsed)
	s.logAttempt(x, c, outcome, buffered, err, elapsed, attemptNumber)
	if err == nil && buffered.Status < http.StatusInternalServerError && !claimsNotRun(buffered.Status) {
		return result{response: buffered, choice: c}
	}
	return result{failure: &failure{response: buffered, err: err}, err: err, choice: c}
}

// applyRestrictions applies what an endpoint's response asks of this instance: no
// requests for some time, none at all since the endpoint is about to stop, or a
// limit on the requests of all instances. sentAt is when the request was sent.
func (s *sender) applyRestrictions(x *exchange, c *placing.Choice, sentAt time.Time, response *endpoint.Response, err error) {
	var asked restrictions
	var e *endpoint.Error
	switch {
	case err == nil:
		asked = restrictions{response.Leaving, response.RetryAfter, response.RateLimit, response.RateLimitErr}
	case errors.As(err, &e):
		asked = restrictions{e.Leaving, e.RetryAfter, e.RateLimit, e.RateLimitErr}
	}
	now, in := time.Now(), c.Endpoint.Incarnation()
	log := x.log.WithFields(logrus.Fields{"endpoint": in.ID, "service": x.service})
	if asked.leaving && s.placer.MarkLeaving(now, in) {
		log.Info("Endpoint announced its shutdown, it gets no new requests.")
	}
	if asked.retryAfter > 0 {
		s.placer.CloseFor(now, in, asked.retryAfter)
		if s.logLimiter.allowFailure(now) {
			log.WithField("closed_ms", asked.retryAfter.Milliseconds()).Info("Endpoint wants no requests for some time.")
		}
	}
	if asked.rateLimit != nil && s.placer.ObserveRateLimit(sentAt, now, in, *asked.rateLimit) && s.logLimiter.allowFailure(now) {
		logRateLimit(log, *asked.rateLimit)
	}
	if asked.rateLimitErr != nil && s.logLimiter.allowFailure(now) {
		log.WithError(asked.rateLimitErr).Warn("Failed to read an endpoint's limit, it is ignored.")
	}
}

// restrictions are what a response asks of the instances.
type restrictions struct {
	leaving      bool
	retryAfter   time.Duration
	rateLimit    *ratelimit.Limit
	rateLimitErr error
}

// logRateLimit logs that an endpoint's limit has changed.
func logRateLimit(log logrus.FieldLogger, l ratelimit.Limit) {
	if !l.Named {
		log.Info("Endpoint no longer limits its requests.")
		return
	}
	log.WithField("per_second", l.PerSecond).Info("Endpoint limits its requests.")
}

// shouldLog reports whether an attempt's line is written.
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

// logAttempt counts one attempt and logs it with the data behind the choice.
func (s *sender) logAttempt(x *exchange, c *placement, o placing.Outcome, response *bufferedResponse, err error, elapsed time.Duration, attemptNumber int) {
	s.metrics.recordAttempt(x, o, c)
	if !s.shouldLog(x, o) {
		return
	}
	fields := logrus.Fields{
		"route": x.route.Name, "service": x.service, "team": x.teamName(), "try": attemptNumber,
		"endpoint": c.Endpoint.ID, "version": c.Endpoint.Version, "version_by": c.reason, "domain": c.Endpoint.FailureDomain,
		"object": x.caller.Object, "fingerprint": x.fingerprint.String(), "known": c.Warmth, "running": c.Running, "candidates": c.Candidates,
		"wait_ms": c.QueueWait.Milliseconds(), "expected_ms": c.Expected.Milliseconds(),
		"region": c.Region, "local_ms": c.LocalExpected.Milliseconds(), "local_wait_ms": c.LocalQueueWait.Milliseconds(), "local_utilization": hundredths(c.LocalUtilization), "fraction": hundredths(c.Fraction),
		"ms": elapsed.Milliseconds(), "since_ms": time.Since(x.arrived).Milliseconds(), "catalog": x.catalog.Version,
	}
	if load := reportedLoad(response, err).Requests; load >= 0 {
		fields["reported"] = load
	}
	var failed *endpoint.Error
	switch {
	case response != nil:
		fields["status"], fields["fresh"] = response.Status, response.FirstUse
	case errors.As(err, &failed):
		fields["fresh"] = failed.FirstUse
	}
	if cutOff, _ := s.reach.IsCutOff(); cutOff {
		fields["cut_off"] = true
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
