package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Outcomes of a call that are counted apart.
const (
	OutcomeOK     = "ok"
	OutcomeFailed = "failed"
)

// Outcome returns the outcome of a call that ended with err.
func Outcome(err error) string {
	if err != nil {
		return OutcomeFailed
	}
	return OutcomeOK
}

// Count adds one to counter under an outcome.
func Count(counter metric.Int64Counter, outcome string) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
