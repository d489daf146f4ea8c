package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// metrics counts the results of requests and attempts.
type metrics struct {
	responses metric.Int64Counter
	refusals  metric.Int64Counter
	attempts  metric.Int64Counter
	relays    metric.Int64Counter
	latency   metric.Float64Histogram

	meter metric.Meter
}

// newMetrics creates the instruments of this package.
func newMetrics(t *telemetry.Metrics) (*metrics, error) {
	responses, err1 := t.Meter.Int64Counter("cardamomfront.gateway.answers",
		metric.WithDescription("Answers of endpoints that were passed on, by route and status."))
	refusals, err2 := t.Meter.Int64Counter("cardamomfront.gateway.refusals",
		metric.WithDescription("Requests that were not served, by reason and status."))
	attempts, err3 := t.Meter.Int64Counter("cardamomfront.gateway.tries",
		metric.WithDescription("Tries at endpoints, by service, outcome, region, what was known of the object there and why the version was chosen."))
	latency, err4 := t.Meter.Float64Histogram("cardamomfront.gateway.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from a request's header to its final answer, by route and outcome."))
	relays, err5 := t.Meter.Int64Counter("cardamomfront.gateway.relays",
		metric.WithDescription("Requests sent through another instance, by outcome."))
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, err
	}
	return &metrics{responses: responses, refusals: refusals, attempts: attempts, relays: relays, latency: latency, meter: t.Meter}, nil
}

// recordResponse counts an endpoint's response that is passed on.
func (m *metrics) recordResponse(x *exchange, status int) {
	ctx, route := context.Background(), attribute.String("route", x.route.Name)
	m.responses.Add(ctx, 1, metric.WithAttributes(route, attribute.String("status", strconv.Itoa(status))))
	m.latency.Record(ctx, time.Since(x.arrived).Seconds(), metric.WithAttributes(route, attribute.String("outcome", "answered")))
}

// recordRefusal counts a request that was not served.
func (m *metrics) recordRefusal(x *exchange, r *refusal) {
	ctx, name := context.Background(), ""
	if x.route != nil {
		name = x.route.Name
	}
	reasonAttribute := attribute.String("reason", string(r.reason))
	m.refusals.Add(ctx, 1, metric.WithAttributes(reasonAttribute, attribute.String("status", strconv.Itoa(r.status))))
	m.latency.Record(ctx, time.Since(x.arrived).Seconds(),
		metric.WithAttributes(attribute.String("route", name), attribute.String("outcome", string(r.reason))))
}

// recordRelay counts a request that was sent through another instance.
func (m *metrics) recordRelay(err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.relays.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// recordAttempt counts one attempt.
func (m *metrics) recordAttempt(x *exchange, o placing.Outcome, c *placement) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", x.service), attribute.String("outcome", o.String()), attribute.String("known", c.Warmth), attribute.String("region", c.Region), attribute.String("version_by", string(c.reason))))
}
