// Package telemetry sets up the metrics and the log of a process. It exports
// OpenTelemetry metrics in the Prometheus format, counts the bytes of network
// connections, and provides a log writer that never blocks.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// MeterName is the instrumentation scope of all metrics of this project.
const MeterName = "cardamomfront"

// Metrics holds the meter of a process and the handler that exports its
// metrics.
type Metrics struct {
	// Meter creates instruments.
	Meter metric.Meter
	// Page serves scrapes in the Prometheus text format.
	Page http.Handler
}

// NewMetrics returns the metrics of this process. They include the standard
// metrics of the Go runtime and of the process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter: provider.Meter(MeterName),
		Page:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}
