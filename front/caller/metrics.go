package caller

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

// Metrics counts and times the requests of callers.
type Metrics struct {
	responses metric.Int64Counter
	refusals  metric.Int64Counter
	truncated metric.Int64Counter
	duration  metric.Float64Histogram

	// Recent counts the outcomes of the last minute, for explanations.
	Recent *Recent
}

// NewMetrics creates the instruments of this package.
func NewMetrics(t *telemetry.Metrics) (*Metrics, error) {
	responses, err1 := t.Meter.Int64Counter("cardamomfront.caller.answers",
		metric.WithDescription("Whole answers of endpoints, by route and team."))
	refusals, err2 := t.Meter.Int64Counter("cardamomfront.caller.refusals",
		metric.WithDescription("Refused requests, by reason, verdict and team."))
	truncated, err3 := t.Meter.Int64Counter("cardamomfront.caller.cuts",
		metric.WithDescription("Answers cut short after they had begun, by reason."))
	duration, err4 := t.Meter.Float64Histogram("cardamomfront.caller.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from a request's header to the end of its answer."))
	err := errors.Join(err1, err2, err3, err4)
	if err != nil {
		return nil, err
	}
	return &Metrics{responses: responses, refusals: refusals, truncated: truncated, duration: duration, Recent: NewRecent()}, nil
}

// record records a finished exchange.
func (m *Metrics) record(x *Exchange, err error) {
	ctx := context.Background()
	team := attribute.String("team", x.Team)
	m.duration.Record(ctx, time.Since(x.Arrived).Seconds(), metric.WithAttributes(team))
	key := recentKey{team: x.Team}
	if x.Route != nil {
		key.route = x.Route.Name
	}
	if err == nil {
		m.Recent.add(time.Now(), key)
		m.responses.Add(ctx, 1, metric.WithAttributes(team, attribute.String("route", key.route)))
		return
	}
	key.reason = ReasonInternal
	outcome := x.Verdict
	var refusal *Refusal
	if errors.As(err, &refusal) {
		key.reason = refusal.Reason
		outcome = refusal.Verdict
	}
	m.Recent.add(time.Now(), key)
	attrs := metric.WithAttributes(team, attribute.String("reason", string(key.reason)), attribute.String("verdict", outcome.String()))
	if x.Writer.Written() && x.Writer.Header().Get(HeaderReason) == "" {
		m.truncated.Add(ctx, 1, attrs)
		return
	}
	m.refusals.Add(ctx, 1, attrs)
}
