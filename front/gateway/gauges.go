package gateway

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/registry"
)

// gauges expose the instance's view of the fleet. They are computed when the
// metrics are read.
type gauges struct {
	age       metric.Float64ObservableGauge
	revision  metric.Int64ObservableGauge
	instances metric.Int64ObservableGauge
	endpoints metric.Int64ObservableGauge
	slots     metric.Int64ObservableGauge
	running   metric.Int64ObservableGauge
	cutOff    metric.Int64ObservableGauge
	fraction  metric.Float64ObservableGauge
	load      metric.Float64ObservableGauge
}

// newGauges creates the gauges of a meter.
func newGauges(m metric.Meter) (gauges, error) {
	age, err1 := m.Float64ObservableGauge("cardamomfront.store.age",
		metric.WithUnit("s"), metric.WithDescription("Time since the store last answered on a table, by table; -1 before."))
	revision, err2 := m.Int64ObservableGauge("cardamomfront.catalog.revision",
		metric.WithDescription("Revision of the catalog in force; 0 without one."))
	instances, err3 := m.Int64ObservableGauge("cardamomfront.instances",
		metric.WithDescription("Instances of the fleet that are taken to live, this one included."))
	endpoints, err4 := m.Int64ObservableGauge("cardamomfront.endpoints",
		metric.WithDescription("Endpoints that may get requests, by service and state."))
	slots, err5 := m.Int64ObservableGauge("cardamomfront.slots",
		metric.WithDescription("Requests that the endpoints can run at the same time, by service."))
	running, err6 := m.Int64ObservableGauge("cardamomfront.running",
		metric.WithDescription("Requests at the endpoints, queued ones included, by service, as far as known."))
	cutOff, err7 := m.Int64ObservableGauge("cardamomfront.cut.off",
		metric.WithDescription("1 while this instance reaches no endpoint, else 0."))
	fraction, err8 := m.Float64ObservableGauge("cardamomfront.region.fraction",
		metric.WithDescription("Part of this instance's requests that runs in a region, by service and region; those with homes apart."))
	load, err9 := m.Float64ObservableGauge("cardamomfront.region.load",
		metric.WithDescription("Requests per slot that this instance's requests met in a region, by service and region."))
	return gauges{age, revision, instances, endpoints, slots, running, cutOff, fraction, load}, errors.Join(err1, err2, err3, err4, err5, err6, err7, err8, err9)
}

// registerGauges registers the callback that computes the gauges.
func (m *metrics) registerGauges(g *Gateway, watchers []*registry.Watcher) error {
	all, err := newGauges(m.meter)
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		now := time.Now()
		for _, w := range watchers {
			o.ObserveFloat64(all.age, secondsSinceResponse(w, now), metric.WithAttributes(attribute.String("table", w.Table())))
		}
		if c := g.view.catalog.Load(); c != nil {
			o.ObserveInt64(all.revision, int64(c.Revision))
		}
		o.ObserveInt64(all.instances, int64(g.mesh.size()))
		all.observeUsage(o, g, now)
		cutOff := int64(0)
		if cut, _ := g.reach.Monitor().IsCutOff(); cut {
			cutOff = 1
		}
		o.ObserveInt64(all.cutOff, cutOff)
		return nil
	}, all.age, all.revision, all.instances, all.endpoints, all.slots, all.running, all.cutOff, all.fraction, all.load)
	return err
}

// secondsSinceResponse returns how long ago the store last responded to a
// watcher, -1 if it never did.
func secondsSinceResponse(w *registry.Watcher, now time.Time) float64 {
	at := w.LastResponse()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Seconds()
}

// observeUsage reports the slots and requests of the endpoints, and the use of the
// regions.
func (all gauges) observeUsage(o metric.Observer, g *Gateway, now time.Time) {
	for _, u := range g.view.placer.RegionUses() {
		attributes := metric.WithAttributes(attribute.String("service", u.Service), attribute.String("region", u.Region))
		o.ObserveFloat64(all.fraction, u.Fraction, attributes)
		o.ObserveFloat64(all.load, u.Load, attributes)
	}
	for _, u := range g.view.placer.Usages(now) {
		service := attribute.String("service", u.Service)
		o.ObserveInt64(all.slots, int64(u.Slots), metric.WithAttributes(service))
		o.ObserveInt64(all.running, int64(u.Running), metric.WithAttributes(service))
		for state, n := range map[string]int{"usable": u.Endpoints - u.BackingOff, "resting": u.BackingOff, "limited": u.Limited, "cold": u.Cold} {
			o.ObserveInt64(all.endpoints, int64(n), metric.WithAttributes(service, attribute.String("state", state)))
		}
	}
}
