package shifts

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// Meters holds the counters of shifts and drains.
type Meters struct {
	metrics *metrics
}

// metrics counts what a manager does.
type metrics struct {
	steps      metric.Int64Counter
	takeBacks  metric.Int64Counter
	conflicts  metric.Int64Counter
	failures   metric.Int64Counter
	undelivery metric.Int64Counter
}

// NewMeters creates the counters with meter. Errors: those of the meter.
func NewMeters(meter metric.Meter) (*Meters, error) {
	m := &metrics{}
	for _, counter := range []struct {
		into        *metric.Int64Counter
		name        string
		description string
	}{
		{&m.steps, "shifts.steps", "Steps recorded by this instance, by kind and phase."},
		{&m.takeBacks, "shifts.take_backs", "Movements that this instance recorded as taken back, by cause."},
		{&m.conflicts, "shifts.conflicts", "Writes refused because another instance was first, by kind."},
		{&m.failures, "shifts.unanswered", "Calls to the table that failed, by call."},
		{&m.undelivery, "shifts.reports_lost", "Reports that did not arrive at another instance."},
	} {
		made, err := meter.Int64Counter(counter.name, metric.WithDescription(counter.description))
		if err != nil {
			return nil, err
		}
		*counter.into = made
	}
	return &Meters{metrics: m}, nil
}

func (m *metrics) step(ctx context.Context, kind Kind, r shift.Record) {
	m.steps.Add(ctx, 1, metric.WithAttributes(
		attribute.String("kind", string(kind)),
		attribute.String("phase", r.Phase.String()),
	))
	if r.Phase == shift.RolledBack {
		m.takeBacks.Add(ctx, 1, metric.WithAttributes(attribute.String("cause", string(r.Reason.Cause))))
	}
}

func (m *metrics) conflict(ctx context.Context, kind Kind) {
	m.conflicts.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

func (m *metrics) unanswered(ctx context.Context, call string) {
	m.failures.Add(ctx, 1, metric.WithAttributes(attribute.String("call", call)))
}

func (m *metrics) unreported(ctx context.Context) { m.undelivery.Add(ctx, 1) }
