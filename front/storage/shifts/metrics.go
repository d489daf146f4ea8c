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

// metrics holds the counters of a Manager.
type metrics struct {
	steps         metric.Int64Counter
	rollbacks     metric.Int64Counter
	conflicts     metric.Int64Counter
	tableFailures metric.Int64Counter
	lostReports   metric.Int64Counter
}

// NewMeters creates the counters with meter. It returns the errors of the
// meter.
func NewMeters(meter metric.Meter) (*Meters, error) {
	m := &metrics{}
	for _, counter := range []struct {
		target      *metric.Int64Counter
		name        string
		description string
	}{
		{&m.steps, "shifts.steps", "Steps recorded by this instance, by kind and phase."},
		{&m.rollbacks, "shifts.take_backs", "Movements that this instance recorded as taken back, by cause."},
		{&m.conflicts, "shifts.conflicts", "Writes refused because another instance was first, by kind."},
		{&m.tableFailures, "shifts.unanswered", "Calls to the table that failed, by call."},
		{&m.lostReports, "shifts.reports_lost", "Reports that did not arrive at another instance."},
	} {
		created, err := meter.Int64Counter(counter.name, metric.WithDescription(counter.description))
		if err != nil {
			return nil, err
		}
		*counter.target = created
	}
	return &Meters{metrics: m}, nil
}

func (m *metrics) countStep(ctx context.Context, kind Kind, r shift.Record) {
	m.steps.Add(ctx, 1, metric.WithAttributes(
		attribute.String("kind", string(kind)),
		attribute.String("phase", r.Phase.String()),
	))
	if r.Phase == shift.RolledBack {
		m.rollbacks.Add(ctx, 1, metric.WithAttributes(attribute.String("cause", string(r.Reason.Cause))))
	}
}

func (m *metrics) countConflict(ctx context.Context, kind Kind) {
	m.conflicts.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", string(kind))))
}

func (m *metrics) countTableFailure(ctx context.Context, call string) {
	m.tableFailures.Add(ctx, 1, metric.WithAttributes(attribute.String("call", call)))
}

func (m *metrics) countLostReport(ctx context.Context) { m.lostReports.Add(ctx, 1) }
