package duties

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of this package.
type metrics struct {
	calls   metric.Int64Counter
	skipped metric.Int64Counter
	late    metric.Int64Counter
	meter   metric.Meter
}

func newMetrics(m metric.Meter) (*metrics, error) {
	calls, err1 := m.Int64Counter("cardamomfront.duty.calls",
		metric.WithDescription("Calls to the platform, by duty and result."))
	skipped, err2 := m.Int64Counter("cardamomfront.duty.skipped",
		metric.WithDescription("Actions that were given up, by duty: they were too old or may have been performed."))
	late, err3 := m.Int64Counter("cardamomfront.duty.late",
		metric.WithDescription("Calls that were delivered after they were due, by duty."))
	return &metrics{calls: calls, skipped: skipped, late: late, meter: m}, errors.Join(err1, err2, err3)
}

// start lets the counters of a duty begin at 0.
func (m *metrics) start(k Kind) {
	ctx, kind := context.Background(), dutyAttribute(k)
	m.calls.Add(ctx, 0, metric.WithAttributes(kind, attribute.String("result", resultOf(nil))))
	m.skipped.Add(ctx, 0, metric.WithAttributes(kind))
	m.late.Add(ctx, 0, metric.WithAttributes(kind))
}

func dutyAttribute(k Kind) attribute.KeyValue { return attribute.String("duty", string(k)) }

// call counts a call to the platform.
func (m *metrics) call(k Kind, err error) {
	m.calls.Add(context.Background(), 1, metric.WithAttributes(dutyAttribute(k), attribute.String("result", resultOf(err))))
}

// resultOf returns the result attribute of a call that returned err.
func resultOf(err error) string {
	var fenced *FencedError
	var status *StatusError
	switch {
	case err == nil:
		return "delivered"
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &status):
		return "rejected"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	return "failed"
}

// skip counts actions that were given up.
func (m *metrics) skip(k Kind, n int64) {
	m.skipped.Add(context.Background(), n, metric.WithAttributes(dutyAttribute(k)))
}

// lateReport counts a call that was delivered late.
func (m *metrics) lateReport(k Kind) {
	m.late.Add(context.Background(), 1, metric.WithAttributes(dutyAttribute(k)))
}

// observe registers the gauges of the duties.
func (m *metrics) observe(r *Runner) error {
	held, err1 := m.meter.Int64ObservableGauge("cardamomfront.duty.held",
		metric.WithDescription("1 while this instance holds the duty, else 0, by duty."))
	token, err2 := m.meter.Int64ObservableGauge("cardamomfront.duty.token",
		metric.WithDescription("Fencing token of the duty's row, as last read or written by this instance, by duty."))
	age, err3 := m.meter.Float64ObservableGauge("cardamomfront.duty.age",
		metric.WithUnit("s"), metric.WithDescription("Time since this instance last delivered a call, by duty; -1 if it delivered none."))
	lateCounts, err4 := m.meter.Int64ObservableCounter("cardamomfront.usage.late",
		metric.WithDescription("Requests that ended after their window was recorded, and are not reported."))
	ignored, err5 := m.meter.Int64ObservableCounter("cardamomfront.usage.ignored",
		metric.WithDescription("Counts that were out of bounds and are not reported."))
	notRun, err6 := m.meter.Int64ObservableCounter("cardamomfront.usage.notrun",
		metric.WithDescription("Requests that were counted before their end and turned out not to have run."))
	if err := errors.Join(err1, err2, err3, err4, err5, err6); err != nil {
		return err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, p := range r.performers {
			isHeld, current, lastAt := p.status()
			duty, holds, seconds := metric.WithAttributes(dutyAttribute(p.duty.Kind())), int64(0), -1.0
			if isHeld {
				holds = 1
			}
			if !lastAt.IsZero() {
				seconds = time.Since(lastAt).Seconds()
			}
			o.ObserveInt64(held, holds, duty)
			o.ObserveInt64(token, int64(current), duty)
			o.ObserveFloat64(age, seconds, duty)
		}
		if r.usage != nil {
			late, tooLarge := r.usage.counts()
			o.ObserveInt64(lateCounts, late)
			o.ObserveInt64(ignored, tooLarge)
			o.ObserveInt64(notRun, r.attempts.notRunCount())
		}
		return nil
	}, held, token, age, lateCounts, ignored, notRun)
	return err
}
