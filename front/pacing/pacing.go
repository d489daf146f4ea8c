// Package pacing reports the pace of endpoints that start or recover: a gauge and
// log lines.
package pacing

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

const (
	// interval is the time between two looks at the changes.
	interval = 2 * time.Second
	// maxLines bounds the lines of one interval. All endpoints may recover at once.
	maxLines = 20
)

// Source has the pace of the endpoints.
type Source interface {
	// PaceChanges returns the changes since the last call.
	PaceChanges() []placing.PaceChange
	// Paced returns the number of endpoints under pace, by service.
	Paced(now time.Time) map[string]int
}

// Log logs the changes of pace.
type Log struct {
	source Source
	log    logrus.FieldLogger
}

// NewLog returns a log of the changes of a source.
func NewLog(s Source, log *logrus.Logger) *Log {
	return &Log{source: s, log: log.WithField("prefix", "pace")}
}

// Run logs changes until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.logChanges()
		}
	}
}

// logChanges writes one line for each change, up to maxLines.
func (l *Log) logChanges() {
	changes := l.source.PaceChanges()
	for _, c := range changes[:min(len(changes), maxLines)] {
		line := l.log.WithFields(logrus.Fields{"endpoint": c.Endpoint.ID, "service": c.Service, "allowed": c.Allowed})
		if c.Reached {
			line.Info("Endpoint has reached its full pace.")
		} else {
			line.Info("Endpoint was set back to a lower pace.")
		}
	}
	if omitted := len(changes) - maxLines; omitted > 0 {
		l.log.WithField("lines", omitted).Info("Log lines on the pace of endpoints omitted.")
	}
}

// RegisterGauge registers the gauge of the endpoints under pace.
func RegisterGauge(m metric.Meter, s Source) error {
	_, err := m.Int64ObservableGauge("cardamomfront.endpoints.paced",
		metric.WithDescription("Endpoints whose requests are limited because they start or recover, by service."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for service, n := range s.Paced(time.Now()) {
				o.Observe(int64(n), metric.WithAttributes(attribute.String("service", service)))
			}
			return nil
		}))
	return err
}
