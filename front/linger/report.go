package linger

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// end is how a connection ended after Close.
type end int

const (
	// endByCaller means that the caller ended its side or reset the connection.
	endByCaller end = iota + 1
	// endSilence means Limits.Silence or Limits.Delivered.
	endSilence
	// endTotal means Limits.Total.
	endTotal
	// endBytes means Limits.MaxBytes.
	endBytes
	// endReplaced means Limits.MaxConns.
	endReplaced
	// endStopped means that the process ended.
	endStopped
	endCount
)

// String returns the value of the counter's attribute.
func (e end) String() string {
	return [endCount]string{"", "caller", "silence", "total", "bytes", "replaced", "stopped"}[e]
}

// counters count since the start.
type counters struct {
	ended       [endCount]atomic.Int64
	undelivered atomic.Int64
}

// Stats are counts since the start.
type Stats struct {
	// Ended counts the connections that were closed in stages, by how they ended:
	// caller, silence, total, bytes, replaced or stopped.
	Ended map[string]int64
	// Undelivered counts those whose caller had not acknowledged everything.
	Undelivered int64
	// Open is the number of connections that wait for their caller now.
	Open int64
}

// Stats returns the counts.
func (c *Closer) Stats() Stats {
	s := Stats{Ended: make(map[string]int64), Undelivered: c.counters.undelivered.Load()}
	for e := endByCaller; e < endCount; e++ {
		s.Ended[e.String()] = c.counters.ended[e].Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Open = int64(c.open)
	return s
}

// fields returns the counts for a log line.
func (s Stats) fields() logrus.Fields {
	fields := logrus.Fields{"undelivered": s.Undelivered}
	for name, n := range s.Ended {
		fields[name] = n
	}
	return fields
}

// register adds the counts to a meter.
func (c *Closer) register(m metric.Meter) error {
	ended, err1 := m.Int64ObservableCounter("cardamomfront.linger.closed",
		metric.WithDescription("Connections closed in stages, by how they ended: caller, silence, total, bytes, replaced or stopped."))
	undelivered, err2 := m.Int64ObservableCounter("cardamomfront.linger.undelivered",
		metric.WithDescription("Connections closed in stages whose caller had not acknowledged everything."))
	open, err3 := m.Int64ObservableGauge("cardamomfront.linger.open",
		metric.WithDescription("Connections whose writing side has ended and whose caller is waited for."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		stats := c.Stats()
		for name, n := range stats.Ended {
			o.ObserveInt64(ended, n, metric.WithAttributes(attribute.String("end", name)))
		}
		o.ObserveInt64(undelivered, stats.Undelivered)
		o.ObserveInt64(open, stats.Open)
		return nil
	}, ended, undelivered, open)
	return err
}
