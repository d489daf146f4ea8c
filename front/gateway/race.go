package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// failure is a try that brought no answer for the caller.
type failure struct {
	answer *heldAnswer // the endpoint's own failure, which may be passed on
	err    error
}

// result is how a try ended.
type result struct {
	answer  *heldAnswer // for the caller
	failure *failure
	err     error
}

// race is the tries of one request. More than one runs at a time only when an
// idempotent request finds its endpoint silent.
type race struct {
	*exchange
	sender   *sender
	ctx      context.Context
	results  chan result
	running  int
	arrivals int // tries that may have reached an endpoint
	tried    []catalog.Incarnation
	last     failure
	silence  *time.Timer
}

// send tries endpoints until one has answered, or no further try is allowed.
func (s *sender) send(x *exchange) (*heldAnswer, *refusal) {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	s.budgets.deposit(x.service)
	r := &race{exchange: x, sender: s, ctx: ctx, results: make(chan result, maxTries), silence: time.NewTimer(time.Hour)}
	defer r.silence.Stop()
	answer, refused := r.run()
	if answer == nil || answer.whole {
		cancel()
		return answer, refused
	}
	answer.release = cancel // the rest of its body is still to come
	return answer, refused
}

// run starts tries and takes in their results.
func (r *race) run() (*heldAnswer, *refusal) {
	if err := r.start(); err != nil {
		return r.sender.giveUp(r.ctx, r.exchange, r.last, err)
	}
	for {
		select {
		case <-r.silence.C:
			r.hedge()
			continue
		case res := <-r.results:
			r.running--
			r.noteVerdict(res.err)
			if res.failure == nil {
				return res.answer, nil
			}
			r.last = *res.failure
			if !neverConnected(res.err) {
				r.arrivals++
			}
		}
		if r.running > 0 {
			continue
		}
		if !r.sender.again(r.ctx, r.exchange, r.arrivals) {
			return r.sender.giveUp(r.ctx, r.exchange, r.last, nil)
		}
		if err := r.start(); err != nil {
			if r.arrivals > 0 {
				r.sender.budgets.giveBack(r.service)
			}
			return r.sender.giveUp(r.ctx, r.exchange, r.last, err)
		}
	}
}

// start begins one more try. Errors: *placing.Refusal.
func (r *race) start() error {
	choice, err := r.sender.choose(r.exchange, r.tried)
	if err != nil {
		return err
	}
	r.tries++
	r.running++
	r.tried = append(r.tried, choice.Endpoint.Incarnation())
	number := r.tries
	go func() { r.results <- r.sender.try(r.ctx, r.exchange, choice, number) }()
	if r.route.Idempotent && !r.streamed {
		r.silence.Reset(silenceAfter(choice.Expected, r.route.Goal))
	}
	return nil
}

// silenceAfter returns how long an endpoint may be silent before another one is
// asked as well.
func silenceAfter(expected, goal time.Duration) time.Duration {
	return time.Duration(max(silenceFactor*float64(expected), silencePart*float64(goal)))
}

// hedge asks another endpoint while the silent one goes on: its answer counts
// if it comes first.
func (r *race) hedge() {
	if r.arrivals+r.running >= max(1, r.route.MaxEndpoints) || r.tries >= maxTries {
		return
	}
	if time.Until(r.deadline) < leastLeft || !r.sender.budgets.take(r.service) {
		return
	}
	if err := r.start(); err != nil {
		r.sender.budgets.giveBack(r.service)
		r.log.WithError(err).Debug("No other endpoint for a silent one.")
	}
}

// neverConnected says whether a try never reached its endpoint.
func neverConnected(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Reason == endpoint.ReasonUnreachable
}

// again says whether another endpoint may be tried. Where a try may have arrived
// it takes a token of the budget for the next one.
func (s *sender) again(ctx context.Context, x *exchange, arrivals int) bool {
	switch {
	case ctx.Err() != nil || time.Until(x.deadline) < leastLeft:
		return false
	case x.streamed:
		return false // a part of the body may be gone
	case x.verdict != verdict.NotRun && !x.route.Idempotent:
		return false
	case x.tries >= maxTries || arrivals >= max(1, x.route.MaxEndpoints):
		return false
	case arrivals == 0:
		return true
	}
	return s.budgets.take(x.service)
}
