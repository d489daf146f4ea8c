package membership

import (
	"errors"

	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

// Meters holds the counters of a Keeper.
type Meters struct {
	reads      metric.Int64Counter
	writes     metric.Int64Counter
	probes     metric.Int64Counter
	evictions  metric.Int64Counter
	leasesLost metric.Int64Counter
}

// NewMeters creates the counters. It returns the errors of the meter.
func NewMeters(meter metric.Meter) (*Meters, error) {
	reads, err1 := meter.Int64Counter("cardamomfront.membership.reads", metric.WithDescription("Reads of the instances' rows and of the list, by outcome."))
	writes, err2 := meter.Int64Counter("cardamomfront.membership.writes", metric.WithDescription("Writes of this instance's row, by outcome."))
	probes, err3 := meter.Int64Counter("cardamomfront.membership.probes", metric.WithDescription("Questions to witnesses, by outcome."))
	evictions, err4 := meter.Int64Counter("cardamomfront.membership.evictions", metric.WithDescription("Rows of silent instances taken away, by outcome."))
	lost, err5 := meter.Int64Counter("cardamomfront.membership.leases_lost", metric.WithDescription("Leases of this instance that others ended."))
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, err
	}
	return &Meters{reads: reads, writes: writes, probes: probes, evictions: evictions, leasesLost: lost}, nil
}

// count adds one to the counter, labeled with the outcome that err stands for.
func count(counter metric.Int64Counter, err error) {
	telemetry.Count(counter, telemetry.Outcome(err))
}
