package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/retry"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// maxTries bounds the endpoints of one request where its route allows
	// more: each further one finds less time left.
	maxTries = 4
	// silenceFactor is by how many times an idempotent request's answer may be
	// later than expected before another endpoint is asked as well.
	silenceFactor = 3
	// leastSilence is the least time after which that is done.
	leastSilence = 800 * time.Millisecond
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
}

// targetOf returns how the client names an endpoint.
func targetOf(e *catalog.Endpoint) endpoint.Target {
	return endpoint.Target{Address: e.Address, Incarnation: e.ID}
}

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
		r.silence.Reset(max(silenceFactor*choice.Expected, leastSilence))
	}
	return nil
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
		r.log.WithError(err).Debug("No other endpoint for a silent one.")
	}
}

// neverConnected says whether a try never reached its endpoint.
func neverConnected(err error) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Reason == endpoint.ReasonUnreachable
}

// again says whether another endpoint may be tried.
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

// choose reserves an endpoint, of the version that the service's move asks for.
func (s *sender) choose(x *exchange, tried []catalog.Incarnation) (*placing.Choice, error) {
	now := time.Now()
	homes, ok := catalog.Homes(x.route, x.team)
	if !ok {
		return nil, &placing.Refusal{Reason: placing.ReasonNoEndpoint}
	}
	q := placing.Query{
		Service:  x.service,
		Route:    x.route.Name,
		Homes:    homes,
		Tried:    tried,
		Goal:     x.route.Goal,
		GoalLeft: x.goal().Sub(now),
		Limit:    x.deadline.Sub(now),
	}
	if x.route.Affinity {
		q.Object = x.caller.Object
	}
	var err error
	for _, versions := range s.moves.versions(x.service, now, len(tried) == 0) {
		q.Versions = versions
		var choice *placing.Choice
		if choice, err = s.placer.Choose(now, q); err == nil {
			return choice, nil
		}
	}
	return nil, err
}

// try sends the request to one endpoint. It is the number-th of the request.
func (s *sender) try(ctx context.Context, x *exchange, c *placing.Choice, number int) result {
	move := s.moves.move(x.service)
	if move != nil {
		move.Started(c.Endpoint.Version)
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
		note(move, c, outcome, elapsed)
	}
	s.logTry(x, c, outcome, held, err, elapsed, number)
	if err == nil && held.Status < http.StatusInternalServerError && !falsePromise(held.Status) {
		return result{answer: held}
	}
	return result{failure: &failure{answer: held, err: err}, err: err}
}

// loadOf returns the endpoint's own word on how many requests it has, or -1.
func loadOf(a *heldAnswer, err error) int {
	var e *endpoint.Error
	switch {
	case err == nil:
		return a.Load
	case errors.As(err, &e) && e.Reason == endpoint.ReasonShed:
		return e.Load
	}
	return -1
}

// leastTime keeps noise out of comparisons of very short times.
const leastTime = 50 * time.Millisecond

// note tells a move how a try ended.
func note(move *rollout.Move, c *placing.Choice, o placing.Outcome, elapsed time.Duration) {
	failed := o == placing.OutcomeFailed || o == placing.OutcomeSilent
	move.Ended(c.Endpoint.Version, o == placing.OutcomeAnswered, failed, max(elapsed, leastTime).Seconds()/max(c.Usual, leastTime).Seconds())
}

// noteVerdict takes in what a try says about whether the request has run.
func (x *exchange) noteVerdict(err error) {
	var e *endpoint.Error
	switch {
	case err == nil:
		x.verdict = verdict.Ran
	case errors.As(err, &e) && e.Verdict == verdict.NotRun:
	default:
		x.verdict = x.verdict.Worse(verdict.MayHaveRun)
	}
}

// falsePromise says whether a status promises that the request has not run.
// An endpoint that has not proved it can't have it passed on.
func falsePromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcomeOf returns what a try says about the endpoint.
func outcomeOf(ctx context.Context, a *heldAnswer, err error, elapsed time.Duration, c *placing.Choice) placing.Outcome {
	if err == nil {
		if a.Status >= http.StatusInternalServerError {
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
		return placing.OutcomeGone
	case endpoint.ReasonUnreachable:
		return placing.OutcomeUnreachable
	case endpoint.ReasonSilent, endpoint.ReasonDeadline, endpoint.ReasonCanceled:
		if ctx.Err() != nil && elapsed < 2*c.Expected {
			return placing.OutcomeUnknown // there was too little time
		}
		return placing.OutcomeSilent
	case endpoint.ReasonCallerBody, endpoint.ReasonUnsendable:
		return placing.OutcomeUnknown
	case endpoint.ReasonBroken, endpoint.ReasonCut, endpoint.ReasonCrossed, endpoint.ReasonUnframed, endpoint.ReasonFlawed:
	}
	return placing.OutcomeFailed
}

// logTry logs one try with what decided it.
func (s *sender) logTry(x *exchange, c *placing.Choice, o placing.Outcome, a *heldAnswer, err error, elapsed time.Duration, number int) {
	s.metrics.tried(x, o, c, elapsed)
	fields := logrus.Fields{
		"route": x.route.Name, "service": x.service, "team": x.teamName(), "try": number,
		"endpoint": c.Endpoint.ID, "version": c.Endpoint.Version, "domain": c.Endpoint.FailureDomain,
		"object": x.caller.Object, "known": c.Known, "running": c.Running, "candidates": c.Candidates,
		"wait_ms": c.Wait.Milliseconds(), "expected_ms": c.Expected.Milliseconds(),
		"ms": elapsed.Milliseconds(), "since_ms": time.Since(x.arrived).Milliseconds(), "catalog": x.catalog.Version,
	}
	var failed *endpoint.Error
	switch {
	case a != nil:
		fields["status"], fields["fresh"] = a.Status, a.Fresh
	case errors.As(err, &failed):
		fields["fresh"] = failed.Fresh
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

// giveUp returns the final answer to a request that no further endpoint is
// tried for. refused is why none was chosen, nil when none was asked for.
func (s *sender) giveUp(ctx context.Context, x *exchange, last failure, refused error) (*heldAnswer, *refusal) {
	if last.answer != nil && !falsePromise(last.answer.Status) {
		return last.answer, nil
	}
	r := &refusal{reason: reasonFailed, err: errors.Join(last.err, refused)}
	var p *placing.Refusal
	if errors.As(refused, &p) {
		r.reason, r.expected, r.retry = reason(p.Reason), p.Expected, p.Retry
	}
	if last.answer != nil {
		r.reason = reasonFalsePromise
	}
	switch {
	case ctx.Err() != nil && errors.Is(x.request.Context().Err(), context.Canceled):
		r.reason = reasonCallerLeft
	case ctx.Err() != nil:
		r.reason = reasonDeadline
	}
	r.status = statusOf(ctx, x)
	if r.status != http.StatusServiceUnavailable {
		r.retry = 0
		return nil, r
	}
	if refused == nil {
		r.reason = reasonNotRun
	}
	r.retry = spread(max(r.retry, leastRetry))
	return nil, r
}

// spread returns a time between three and five quarters of d, so that callers
// who were refused together don't come back together.
func spread(d time.Duration) time.Duration {
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

// budgets bounds the tries beyond the first, by service.
type budgets struct {
	settings *liveSettings
	size     func() int // instances that share the slack

	mu       sync.Mutex
	made     *Settings // the settings that the budgets were made from
	services map[string]*retry.Budget
}

// newBudgets returns budgets that size instances share.
func newBudgets(s *liveSettings, m *mesh) *budgets {
	return &budgets{settings: s, size: m.size, services: make(map[string]*retry.Budget)}
}

// deposit notes a request to a service.
func (b *budgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.of(service); budget != nil {
		budget.Deposit()
	}
}

// take takes the right to a further try.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	return budget != nil && budget.Take()
}

// of returns a service's budget. The caller holds mu.
func (b *budgets) of(service string) *retry.Budget {
	now := b.settings.Load()
	if b.made != now {
		b.made = now
		clear(b.services)
	}
	budget := b.services[service]
	if budget != nil {
		return budget
	}
	burst := max(1, int(now.RetrySlack*budgetShare/float64(max(1, b.size()))))
	budget, err := retry.NewBudget(retry.BudgetSettings{Ratio: now.RetryRatio * budgetShare, Burst: burst})
	if err != nil {
		return nil
	}
	b.services[service] = budget
	return budget
}
