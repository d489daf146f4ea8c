package shares

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Meters holds the counters of an Agent.
type Meters struct {
	reads          metric.Int64Counter
	writes         metric.Int64Counter
	loansRequested metric.Int64Counter
	loansGranted   metric.Int64Counter
	waits          metric.Int64Counter
}

// NewMeters creates the counters with meter. It returns the errors of the
// meter.
func NewMeters(meter metric.Meter) (*Meters, error) {
	reads, err1 := meter.Int64Counter("cardamomfront.shares.reads", metric.WithDescription("Reads of the divisions, by outcome."))
	writes, err2 := meter.Int64Counter("cardamomfront.shares.writes", metric.WithDescription("Writes of divisions, by outcome."))
	loans, err3 := meter.Int64Counter("cardamomfront.shares.loans_asked", metric.WithDescription("Questions for a loan, by outcome."))
	lent, err4 := meter.Int64Counter("cardamomfront.shares.loans_given", metric.WithDescription("Loans given, by team."))
	waits, err5 := meter.Int64Counter("cardamomfront.shares.waits", metric.WithDescription("Requests that waited for a loan or a token, by team."))
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, err
	}
	return &Meters{reads: reads, writes: writes, loansRequested: loans, loansGranted: lent, waits: waits}, nil
}

// Outcome labels in addition to those of telemetry.
const (
	outcomeConflict = "conflict"
	outcomeEmpty    = "empty"
)

func countTeam(counter metric.Int64Counter, team string) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("team", team)))
}
