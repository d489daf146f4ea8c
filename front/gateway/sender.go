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
	// maxTries bounds the endpoints of one request where its route allows
	// more: each further one finds less time left.
	maxTries = 4
	// silenceFactor is by how many times an idempotent request's answer may be
	// later than expected before another endpoint is asked as well.
	silenceFactor = 2.5
	// silencePart is the part of the goal before which that is not done: a later
	// answer earns a fifth, an earlier try costs the budget of those in need.
	silencePart = 0.8
	// leastLeft is the least time that another try must have.
	leastLeft = 100 * time.Millisecond
	// budgetShare is the part of the allowed tries that the instances use
	// together, so that there is room for instances that disagree on the fleet.
	budgetShare = 0.6
)

// sender brings requests to endpoints.
type sender struct {
	client  *endpoint.Client
	placer  *placing.Placer
	moves   *moves
	budgets *budgets
	metrics *metrics
	lines   *lineBudget
}

// targetOf returns how the client names an endpoint.
func targetOf(e *catalog.Endpoint) endpoint.Target {
	return endpoint.Target{Address: e.Address, Incarnation: e.ID}
}

// choose reserves an endpoint, of the version that the service's move asks for.
func (s *sender) choose(x *exchange, tried []catalog.Incarnation) (*placing.Choice, error) {
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
		GoalLeft:     x.goal().Sub(now),
		DeadlineLeft: x.deadline.Sub(now),
	}
	if x.route.Affinity {
		q.Object = x.caller.Object
	}
	var err error
	versions := s.moves.versions(x.service, now, len(tried) == 0)
	for _, accepts := range versions.order {
		q.Versions = accepts
		var choice *placing.Choice
		if choice, err = s.placer.Choose(now, q); err == nil {
			return choice, nil
		}
		if versions.stay && isFull(err) {
			break
		}
	}
	return nil, err
}

// isFull says whether there are endpoints and none has room.
func isFull(err error) bool {
	var r *placing.Refusal
	return errors.As(err, &r) && r.Reason != placing.ReasonNoEndpoint
}

// try sends the request to one endpoint. It is the number-th of the request.
func (s *sender) try(ctx context.Context, x *exchange, c *placing.Choice, number int) result {
	move := s.moves.move(x.service)
	if move != nil {
		move.AttemptStarted(c.Endpoint.Version)
	}
	begun := time.Now()
	answer, err := s.client.Send(ctx, targetOf(&c.Endpoint), &endpoint.Request{
		HTTP:       x.outgoing(),
		ID:         x.caller.ID,
		Team:       x.teamName(),
		Idempotent: x.route.Idempotent,
		Deadline:   x.deadline,
	})
	var held *heldAnswer
	if err == nil {
		held, err = hold(answer)
	}
	elapsed := time.Since(begun)
	outcome := outcomeOf(ctx, held, err, elapsed, c)
	s.placer.Done(time.Now(), c, outcome, elapsed, loadOf(held, err))
	if move != nil {
		s.note(move, c, outcome, elapsed)
	}
	s.logTry(x, c, outcome, held, err, elapsed, number)
	if err == nil && held.Status < http.StatusInternalServerError && !falsePromise(held.Status) {
		return result{answer: held}
	}
	return result{failure: &failure{answer: held, err: err}, err: err}
}

// logs says whether a try's line is written.
func (s *sender) logs(x *exchange, o placing.Outcome) bool {
	switch {
	case x.kept:
		return true
	case o != placing.OutcomeAnswered:
		return s.lines.failure(time.Now())
	}
	s.lines.leaveOut()
	return false
}

// logTry logs one try with what decided it.
func (s *sender) logTry(x *exchange, c *placing.Choice, o placing.Outcome, a *heldAnswer, err error, elapsed time.Duration, number int) {
	s.metrics.tried(x, o, c)
	if !s.logs(x, o) {
		return
	}
	fields := logrus.Fields{
		"route": x.route.Name, "service": x.service, "team": x.teamName(), "try": number,
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
