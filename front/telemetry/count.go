package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Values of the outcome attribute of call counters.
const (
	OutcomeOK     = "ok"
	OutcomeFailed = "failed"
)

// Outcome returns the outcome of a call that returned err.
func Outcome(err error) string {
	if err != nil {
		return OutcomeFailed
	}
	return OutcomeOK
}

// Count adds one to counter with the outcome as attribute.
func Count(counter metric.Int64Counter, outcome string) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
