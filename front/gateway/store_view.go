package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
)

// storeView holds the catalog and the endpoints as last read from the store,
// and passes them to the placer, the limiter and the rollouts.
type storeView struct {
	codec    Codec
	placer   *placing.Placer
	limiter  *quota.Limiter
	client   *endpoint.Client
	rollouts *rollouts
	log      logrus.FieldLogger

	catalog       atomic.Pointer[catalog.Catalog]
	endpointsRead atomic.Bool // the endpoints table has been read
	started       time.Time
	readyOnce     sync.Once // guards the log message that this instance is ready
	// Each of the fields below is used by the watcher of one table only.
	endpoints  map[catalog.Incarnation]catalog.Endpoint
	faultyRows map[string]uint64 // revisions of the rows that could not be read, by key
	drained    map[string]bool
}

func newStoreView(adapters Adapters, p *placing.Placer, l *quota.Limiter, c *endpoint.Client, r *rollouts, log *logrus.Logger) *storeView {
	return &storeView{
		codec:      adapters.Codec,
		placer:     p,
		limiter:    l,
		client:     c,
		rollouts:   r,
		log:        log.WithField("prefix", "beliefs"),
		started:    time.Now(),
		endpoints:  make(map[catalog.Incarnation]catalog.Endpoint),
		faultyRows: make(map[string]uint64),
	}
}

// applyOperatorTable applies the operators' table.
func (v *storeView) applyOperatorTable(now time.Time, rows map[string]registry.Row) {
	v.applyCatalog(now, rows)
	drained := v.codec.DrainedDomains(rows)
	v.placer.SetDrainedDomains(now, drained)
	v.logDrained(drained)
	orders, faults := v.codec.RolloutOrders(rows)
	v.logFaults(faults)
	v.rollouts.setOrders(now, orders)
}

// applyCatalog puts the catalog in force if it is newer than the current one.
func (v *storeView) applyCatalog(now time.Time, rows map[string]registry.Row) {
	c, err := v.codec.Catalog(rows)
	if err != nil {
		v.log.WithError(err).Error("Failed to decode the catalog, the previous one stays in force.")
		return
	}
	old := v.catalog.Load()
	if c == nil || old != nil && c.Revision <= old.Revision {
		return
	}
	quotas := make(map[string]quota.Quota, len(c.Teams))
	for _, t := range c.Teams {
		quotas[t.Name] = quota.Quota{Rate: t.Rate, Burst: t.Burst}
	}
	v.limiter.SetQuotas(now, quotas)
	v.placer.SetServices(c.Services)
	v.catalog.Store(c)
	v.log.WithFields(logrus.Fields{
		"version": c.Version, "revision": c.Revision, "routes": len(c.Routes), "teams": len(c.Teams),
	}).Info("Catalog in force.")
	v.logReady(now)
}

// logReady logs, once, that this instance has what it needs to serve.
func (v *storeView) logReady(now time.Time) {
	if !v.ready() {
		return
	}
	v.readyOnce.Do(func() {
		v.log.WithField("since_start_ms", now.Sub(v.started).Milliseconds()).Info("Ready.")
	})
}

// logDrained logs changes of the drained failure domains.
func (v *storeView) logDrained(drained map[string]bool) {
	for domain := range drained {
		if !v.drained[domain] {
			v.log.WithField("domain", domain).Info("Failure domain drained.")
		}
	}
	for domain := range v.drained {
		if !drained[domain] {
			v.log.WithField("domain", domain).Info("Failure domain no longer drained.")
		}
	}
	v.drained = drained
}

// logFaults logs rows that can't be decoded.
func (v *storeView) logFaults(faults []error) {
	for _, err := range faults {
		v.log.WithError(err).Warn("Failed to decode a row, it is ignored.")
	}
}

// applyEndpointsTable applies the endpoints table.
func (v *storeView) applyEndpointsTable(now time.Time, rows map[string]registry.Row) {
	all := make([]catalog.Endpoint, 0, len(rows))
	current := make(map[catalog.Incarnation]catalog.Endpoint, len(rows))
	faulty := make(map[string]uint64)
	for key, row := range rows {
		e, err := v.codec.Endpoint(row, now)
		if err != nil {
			if v.faultyRows[key] != row.Revision {
				v.log.WithError(err).Warn("Failed to decode an endpoint's row, it is ignored.")
			}
			faulty[key] = row.Revision
			continue
		}
		if previous, ok := v.endpoints[e.Incarnation()]; ok && previous.Revision == e.Revision {
			e = previous // already decoded: its times stay those of the first read
		}
		v.logEndpoint(e)
		current[e.Incarnation()] = e
		all = append(all, e)
	}
	v.faultyRows = faulty
	v.removeEndpoints(current)
	v.endpoints = current
	v.placer.SetEndpoints(now, all)
	v.endpointsRead.Store(true)
	v.logReady(now)
}

// logEndpoint logs a new endpoint and one that starts draining.
func (v *storeView) logEndpoint(e catalog.Endpoint) {
	previous, ok := v.endpoints[e.Incarnation()]
	if ok && previous.Draining == e.Draining {
		return
	}
	message := "Endpoint added."
	if e.Draining {
		message = "Endpoint draining."
	}
	v.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "address": e.Address, "service": e.Service, "version": e.Version,
		"domain": e.FailureDomain, "revision": e.Revision,
	}).Info(message)
}

// removeEndpoints logs endpoints whose rows have been removed and closes their
// idle connections.
func (v *storeView) removeEndpoints(current map[catalog.Incarnation]catalog.Endpoint) {
	for incarnation, e := range v.endpoints {
		if _, ok := current[incarnation]; ok {
			continue
		}
		v.client.RemoveTarget(targetOf(&e))
		v.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service}).Info("Endpoint removed.")
	}
}

// ready reports whether the catalog and the endpoints have been read.
func (v *storeView) ready() bool { return v.catalog.Load() != nil && v.endpointsRead.Load() }
