package dispatch

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/steer/admission"
)

// Meters holds the instruments for slot requests and relays.
type Meters struct {
	waits    metric.Float64Histogram
	refusals metric.Int64Counter
	relays   metric.Int64Counter
}

// NewMeters creates the instruments of this package. It returns the errors of
// the meter.
func NewMeters(m metric.Meter) (*Meters, error) {
	waits, err1 := m.Float64Histogram("cardamomfront.slots.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from asking for a slot until it was granted, by service and region."))
	refusals, err2 := m.Int64Counter("cardamomfront.slots.refusals",
		metric.WithDescription("Requests for a slot that a region refused, by service, region and reason."))
	relays, err3 := m.Int64Counter("cardamomfront.dispatch.relays",
		metric.WithDescription("Requests relayed by an instance in another region, by service and region."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return nil, err
	}
	return &Meters{waits: waits, refusals: refusals, relays: relays}, nil
}

// recordAcquire records one request for a slot that ended with err after the
// elapsed time.
func (m *Meters) recordAcquire(req broker.Request, elapsed time.Duration, err error) {
	if m == nil {
		return
	}
	service := attribute.String("service", req.Group.Service)
	region := attribute.String("region", req.Group.Region)
	if err == nil {
		m.waits.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(service, region))
		return
	}
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(service, region, attribute.String("reason", reasonOf(err))))
}

// recordRelay counts one relayed request.
func (m *Meters) recordRelay(service, region string) {
	if m == nil {
		return
	}
	m.relays.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("region", region)))
}

// reasonOf returns the reason why no slot was granted.
func reasonOf(err error) string {
	var refusal *admission.Refusal
	var unavailable *broker.UnavailableError
	switch {
	case errors.As(err, &refusal):
		return string(refusal.Reason)
	case errors.As(err, &unavailable):
		return unavailable.Reason
	default:
		return "canceled"
	}
}
