package pipeline

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
)

// logInterval is the shortest time between two log lines on requests read ahead.
const logInterval = 10 * time.Second

// counters count since the start.
type counters struct {
	readAhead, dropped, cancelled, bounded atomic.Int64
}

// Stats are counts since the start of a server.
type Stats struct {
	// ReadAhead is the number of requests that ran before their turn.
	ReadAhead int64
	// Dropped is the number of those behind an answer that closed the connection.
	Dropped int64
	// Cancelled is the number of those whose caller left or whose connection broke.
	Cancelled int64
	// Bounded is how often a bound on requests or bytes was reached.
	Bounded int64
}

// Stats returns the counts of the server.
func (s *Server) Stats() Stats {
	c := &s.counters
	return Stats{ReadAhead: c.readAhead.Load(), Dropped: c.dropped.Load(), Cancelled: c.cancelled.Load(), Bounded: c.bounded.Load()}
}

// Register adds the counts to a meter.
func (s *Server) Register(m metric.Meter) error {
	readAhead, err1 := m.Int64ObservableCounter("cardamomfront.pipeline.ahead",
		metric.WithDescription("Pipelined requests that ran before their turn."))
	dropped, err2 := m.Int64ObservableCounter("cardamomfront.pipeline.dropped",
		metric.WithDescription("Requests read ahead behind an answer that closed the connection."))
	cancelled, err3 := m.Int64ObservableCounter("cardamomfront.pipeline.cancelled",
		metric.WithDescription("Requests read ahead whose caller left."))
	bounded, err4 := m.Int64ObservableCounter("cardamomfront.pipeline.bounded",
		metric.WithDescription("How often a bound on requests read ahead or on their bytes was reached."))
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		stats := s.Stats()
		o.ObserveInt64(readAhead, stats.ReadAhead)
		o.ObserveInt64(dropped, stats.Dropped)
		o.ObserveInt64(cancelled, stats.Cancelled)
		o.ObserveInt64(bounded, stats.Bounded)
		return nil
	}, readAhead, dropped, cancelled, bounded)
	return err
}

// RunLog logs the counts every logInterval in which they have changed, until ctx
// ends.
func (s *Server) RunLog(ctx context.Context, log logrus.FieldLogger) error {
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	var last Stats
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := s.Stats()
		if now == last {
			continue
		}
		log.WithFields(logrus.Fields{
			"ahead": now.ReadAhead - last.ReadAhead, "dropped": now.Dropped - last.Dropped,
			"cancelled": now.Cancelled - last.Cancelled, "bounded": now.Bounded - last.Bounded,
		}).Info("Pipelined requests ran before their turn.")
		last = now
	}
}
