package configuration

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Outcomes of a head row read, as values of the metric attribute "outcome".
const (
	readOutcomeAnswered = "answered"
	readOutcomeFailed   = "failed"
)

// Reasons for refusing a head, as values of the metric attribute "reason".
const (
	refusedForked   = "forked"
	refusedOlder    = "older"
	refusedUnloaded = "unloaded"
)

// Meters holds the instruments of this package.
type Meters struct {
	metrics *metrics
}

type metrics struct {
	reads      metric.Int64Counter
	fallbacks  metric.Int64Counter
	refusals   metric.Int64Counter
	adoptions  metric.Int64Counter
	generation metric.Int64Gauge
}

// NewMeters creates the instruments with meter and returns its errors.
func NewMeters(meter metric.Meter) (*Meters, error) {
	var m metrics
	var err error
	if m.reads, err = meter.Int64Counter("cardamomfront.configuration.reads", metric.WithDescription("Reads of the head row, by outcome.")); err != nil {
		return nil, err
	}
	if m.fallbacks, err = meter.Int64Counter("cardamomfront.configuration.fallbacks", metric.WithDescription("Reads of the head row because no parent had young knowledge.")); err != nil {
		return nil, err
	}
	if m.refusals, err = meter.Int64Counter("cardamomfront.configuration.refusals", metric.WithDescription("Heads that were not followed, by reason.")); err != nil {
		return nil, err
	}
	if m.adoptions, err = meter.Int64Counter("cardamomfront.configuration.adoptions", metric.WithDescription("Generations put in force.")); err != nil {
		return nil, err
	}
	if m.generation, err = meter.Int64Gauge("cardamomfront.configuration.generation", metric.WithDescription("Generation in force.")); err != nil {
		return nil, err
	}
	return &Meters{metrics: &m}, nil
}

func (m *metrics) headRead(ctx context.Context, outcome string) {
	m.reads.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) storeFallback(ctx context.Context) { m.fallbacks.Add(ctx, 1) }

func (m *metrics) headRefused(ctx context.Context, reason string) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (m *metrics) headAdopted(ctx context.Context, head generation.Head) {
	m.adoptions.Add(ctx, 1)
	m.generation.Record(ctx, int64(head.Generation))
}

// fields returns a head as log fields.
func fields(head generation.Head) logrus.Fields {
	return logrus.Fields{"generation": head.Generation, "digest": head.Digest}
}
