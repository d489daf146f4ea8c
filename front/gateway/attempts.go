package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// failure is an attempt without a response for the caller.
type failure struct {
	response *bufferedResponse // the endpoint's error response, which may be passed on
	refusal  *placing.Refusal  // of an instance through which the request was sent
	err      error
}

// result is the result of an attempt.
type result struct {
	response *bufferedResponse // for the caller
	failure  *failure
	err      error
	relayed  bool       // through another instance
	choice   *placement // nil if relayed
}

// attemptRun runs the attempts of one request. They run one after the other,
// except that an idempotent request is hedged when an endpoint is slow to
// respond.
type attemptRun struct {
	*exchange
	sender      *sender
	ctx         context.Context
	cancel      context.CancelFunc
	results     chan result
	inFlight    int
	delivered   int // attempts that may have reached an endpoint
	tried       []catalog.Incarnation
	helpers     map[string]bool // addresses of instances through which it was sent
	lastFailure failure
	hedgeTimer  *time.Timer
	unended     *result // with a response whose end is not known, while it is compared
}

// send makes attempts until one succeeds or no further one is allowed.
func (s *sender) send(x *exchange) (*bufferedResponse, *refusal) {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	s.budgets.deposit(x.service)
	r := &attemptRun{exchange: x, sender: s, ctx: ctx, cancel: cancel, results: make(chan result, maxAttempts), hedgeTimer: time.NewTimer(time.Hour)}
	defer r.hedgeTimer.Stop()
	response, refusal := r.run()
	if response == nil || response.complete {
		cancel()
		return response, refusal
	}
	response.cancel = cancel // the rest of the body is still to be read
	return response, refusal
}

// run starts attempts and handles their results.
func (r *attemptRun) run() (*bufferedResponse, *refusal) {
	if err := r.startAttempt(); err != nil {
		return r.sender.giveUp(r.ctx, r.exchange, r.lastFailure, err)
	}
	for {
		select {
		case <-r.hedgeTimer.C:
			if r.unended != nil {
				return r.unended.response, nil
			}
			r.hedge()
			continue
		case <-r.sender.ended:
			return r.endEarly()
		case res := <-r.results:
			r.inFlight--
			r.updateVerdict(res.err)
			if res.failure == nil {
				if response := r.settle(res); response != nil {
					return response, nil
				}
				continue
			}
			r.lastFailure = *res.failure
			r.delivered += r.deliveries(res)
		}
		if r.inFlight > 0 {
			continue
		}
		if r.unended != nil {
			return r.unended.response, nil
		}
		if refusal := r.lastFailure.refusal; refusal != nil {
			return r.sender.giveUp(r.ctx, r.exchange, r.lastFailure, refusal)
		}
		if !r.sender.allowRetry(r.ctx, r.exchange, r.delivered) {
			return r.sender.giveUp(r.ctx, r.exchange, r.lastFailure, nil)
		}
		if err := r.startAttempt(); err != nil {
			if r.delivered > 0 {
				r.sender.budgets.refund(r.service)
			}
			return r.sender.giveUp(r.ctx, r.exchange, r.lastFailure, err)
		}
	}
}

// endEarly gives up the request because this instance stops. Attempts that are in
// flight may have reached their endpoints.
func (r *attemptRun) endEarly() (*bufferedResponse, *refusal) {
	if r.inFlight > 0 {
		r.verdict = r.verdict.Combine(verdict.MayHaveRun)
	}
	r.cancel()
	return r.sender.giveUp(r.ctx, r.exchange, r.lastFailure, nil)
}

// startAttempt starts one more attempt. Errors: *placing.Refusal.
func (r *attemptRun) startAttempt() error {
	if helper, ok := r.sender.chooseHelper(r.exchange, r.helpers); ok {
		r.startRelayAttempt(helper)
		return nil
	}
	choice, err := r.chooseOrWait()
	if err != nil {
		return err
	}
	r.attempts++
	r.inFlight++
	r.tried = append(r.tried, choice.Endpoint.Incarnation())
	attemptNumber := r.attempts
	go func() { r.results <- r.sender.attempt(r.ctx, r.exchange, choice, attemptNumber) }()
	if r.route.Idempotent && !r.streamBody {
		r.hedgeTimer.Reset(hedgeDelay(choice.Expected, r.route.Goal))
	}
	return nil
}

// startRelayAttempt starts one more attempt, through another instance.
func (r *attemptRun) startRelayAttempt(h reach.Helper) {
	endpoints := r.endpointLimit() - r.delivered - r.inFlight
	r.attempts++
	r.inFlight++
	if r.helpers == nil {
		r.helpers = make(map[string]bool)
	}
	r.helpers[h.Address] = true
	attemptNumber := r.attempts
	go func() { r.results <- r.sender.relayAttempt(r.ctx, r.exchange, h, attemptNumber, endpoints) }()
}

// deliveries returns how many endpoints a failed attempt may have reached: all that
// are allowed if it went through another instance and may have run.
func (r *attemptRun) deliveries(res result) int {
	var e *endpoint.Error
	switch {
	case neverSent(res.err):
		return 0
	case !res.relayed:
		return 1
	case errors.As(res.err, &e) && e.Verdict == verdict.NotRun:
		return 0
	}
	return r.endpointLimit()
}

// hedgeDelay returns how long to wait for an endpoint's response before another
// attempt is started.
func hedgeDelay(expected, goal time.Duration) time.Duration {
	return time.Duration(max(hedgeFactor*float64(expected), hedgeGoalFraction*float64(goal)))
}

// hedge starts another attempt while the slow one goes on. The first response
// wins. It reports whether the attempt has been started.
func (r *attemptRun) hedge() bool {
	if r.delivered+r.inFlight >= r.endpointLimit() || r.attempts >= maxAttempts || !r.sender.mayRepeat(r.exchange) {
		return false
	}
	if time.Until(r.deadline) < minAttemptTime || !r.sender.budgets.tryWithdraw(r.service) {
		return false
	}
	if err := r.startAttempt(); err != nil {
		r.sender.budgets.refund(r.service)
		r.log.WithError(err).Debug("Request not hedged: no other endpoint.")
		return false
	}
	return true
}

// neverSent reports whether an attempt never reached its endpoint.
func neverSent(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && (e.Reason == endpoint.ReasonUnreachable || e.Reason == endpoint.ReasonWithdrawn)
}

// allowRetry reports whether another attempt is allowed. If an earlier attempt
// may have reached an endpoint, it withdraws from the retry budget.
func (s *sender) allowRetry(ctx context.Context, x *exchange, delivered int) bool {
	switch {
	case ctx.Err() != nil || time.Until(x.deadline) < minAttemptTime:
		return false
	case x.streamBody:
		return false // a part of the body may have been sent
	case x.verdict != verdict.NotRun && !x.route.Idempotent:
		return false
	case x.attempts >= maxAttempts || delivered >= x.endpointLimit():
		return false
	case delivered == 0:
		return true
	case !s.mayRepeat(x):
		return false
	}
	return s.budgets.tryWithdraw(x.service)
}

// mayRepeat reports whether a request that was sent to an endpoint may be sent to
// another one with regard to the crashes that it may cause.
func (s *sender) mayRepeat(x *exchange) bool {
	return !x.crash.Once && s.crashes.Detector().MayRepeat(time.Now(), x.fingerprint)
}
