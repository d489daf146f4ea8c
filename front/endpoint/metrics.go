package endpoint

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// countingObserver counts outcomes and passes them on.
type countingObserver struct {
	next     Observer
	outcomes metric.Int64Counter
}

// CountOutcomes returns an observer that counts outcomes and passes them on to
// next. Errors: those of the meter.
func CountOutcomes(next Observer, m metric.Meter) (Observer, error) {
	outcomes, err := m.Int64Counter("cardamomfront.endpoint.outcomes",
		metric.WithDescription("How exchanges with endpoints and probes of them ended, by outcome."))
	if err != nil {
		return nil, err
	}
	return &countingObserver{next: next, outcomes: outcomes}, nil
}

// NewInvalidLoads returns the counter for Settings.InvalidLoads. Errors: those of
// the meter.
func NewInvalidLoads(m metric.Meter) (metric.Int64Counter, error) {
	invalid, err := m.Int64Counter("cardamomfront.endpoint.invalid_loads",
		metric.WithDescription("Load reports of endpoints that were ignored because they could not be read."))
	if err != nil {
		return nil, err
	}
	invalid.Add(context.Background(), 0) // exports the counter before the first one
	return invalid, nil
}

// Observe implements Observer.
func (o *countingObserver) Observe(address string, outcome health.Outcome, elapsed time.Duration) {
	o.outcomes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome.String())))
	o.next.Observe(address, outcome, elapsed)
}
