package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/retry"
)

// Retries is the stage that retries a failed request if its verdict and the
// service's retry budget allow it. The stages inside it run once for each
// attempt, those around it once for each request.
type Retries struct {
	policy   retry.Policy
	settings retry.BudgetSettings
	// budgets holds a *serviceBudget for each service name.
	budgets sync.Map
	retries metric.Int64Counter
	denials metric.Int64Counter
}

// serviceBudget is the retry budget of one service at this instance.
type serviceBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewRetries returns the stage. It returns an error if settings are out of
// range.
func NewRetries(policy retry.Policy, settings retry.BudgetSettings, t *telemetry.Metrics) (*Retries, error) {
	retries, err1 := t.Meter.Int64Counter("cardamomfront.caller.retries",
		metric.WithDescription("Requests sent again, by the reason for which they had failed."))
	denials, err2 := t.Meter.Int64Counter("cardamomfront.caller.retry.denials",
		metric.WithDescription("Failed requests not sent again, by the reason why not."))
	_, err3 := retry.NewBudget(settings)
	if err := errors.Join(err1, err2, err3); err != nil {
		return nil, err
	}
	return &Retries{policy: policy, settings: settings, retries: retries, denials: denials}, nil
}

// Wrap implements Stage.
func (s *Retries) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		budget, err := s.getOrCreateBudget(x.Route.Service)
		if err != nil {
			return err
		}
		budget.deposit()
		return s.serve(x, budget, next)
	})
}

// getOrCreateBudget returns the service's retry budget and creates it on first
// use.
func (s *Retries) getOrCreateBudget(service string) (*serviceBudget, error) {
	if found, ok := s.budgets.Load(service); ok {
		return found.(*serviceBudget), nil
	}
	created, err := retry.NewBudget(s.settings)
	if err != nil {
		return nil, err
	}
	found, _ := s.budgets.LoadOrStore(service, &serviceBudget{budget: created})
	return found.(*serviceBudget), nil
}

func (b *serviceBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit()
}

// serve sends a request until it succeeds or must not be retried. The verdict
// of the request is the worst verdict of all its attempts.
func (s *Retries) serve(x *Exchange, budget *serviceBudget, next Handler) error {
	worst := x.Verdict
	original := x.Request
	body := newReplayBody(original)
	for sent := 1; ; sent++ {
		if original.ContentLength != 0 {
			x.Request = original.WithContext(original.Context())
			x.Request.Body, _ = body.rewind()
		}
		err := next.ServeExchange(x)
		if err == nil {
			return nil
		}
		x.Verdict = x.Verdict.Combine(worst)
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			return err
		}
		refusal.Verdict = refusal.Verdict.Combine(worst)
		worst = refusal.Verdict
		x.Verdict = refusal.Verdict
		var endpointErr *endpoint.Error
		if !errors.As(err, &endpointErr) {
			return err // not an endpoint failure; a retry would not help
		}
		if denial := s.decideRetry(x, refusal, body, sent, budget); denial != retry.DenialNone {
			s.denials.Add(context.Background(), 1, reasonAttribute(string(denial)))
			return err
		}
		s.retries.Add(context.Background(), 1, reasonAttribute(string(refusal.Reason)))
	}
}

// decideRetry applies the retry policy. A permitted retry takes a token from
// the budget.
func (s *Retries) decideRetry(x *Exchange, refusal *Refusal, body *replayBody, sent int, budget *serviceBudget) retry.Denial {
	if x.Context().Err() != nil {
		return retry.DenialDeadline
	}
	_, replayable := body.rewind()
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return s.policy.Decide(retry.Failure{
		Verdict:        refusal.Verdict,
		Idempotent:     x.Idempotent(),
		BodyReplayable: replayable,
		AnswerStarted:  x.Writer.Written(),
		Attempts:       sent,
		Remaining:      time.Until(x.Deadline),
	}, budget.budget)
}

func reasonAttribute(reason string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("reason", reason))
}
