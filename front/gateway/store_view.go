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

// storeView keeps what this instance holds true of catalog and endpoints.
type storeView struct {
	codec    Codec
	placer   *placing.Placer
	limiter  *quota.Limiter
	client   *endpoint.Client
	rollouts *rollouts
	log      logrus.FieldLogger

	catalog       atomic.Pointer[catalog.Catalog]
	endpointsRead atomic.Bool // the endpoints were read once
	started       time.Time
	readyOnce     sync.Once // logs that this instance is ready
	// The fields below belong to the watcher of one table each.
	endpoints  map[catalog.Incarnation]catalog.Endpoint
	faultyRows map[string]uint64 // by key, of rows that were found faulty
	drained    map[string]bool
}

func newStoreView(parts Parts, p *placing.Placer, l *quota.Limiter, c *endpoint.Client, m *rollouts, log *logrus.Logger) *storeView {
	return &storeView{
		codec:      parts.Codec,
		placer:     p,
		limiter:    l,
		client:     c,
		rollouts:   m,
		log:        log.WithField("prefix", "beliefs"),
		started:    time.Now(),
		endpoints:  make(map[catalog.Incarnation]catalog.Endpoint),
		faultyRows: make(map[string]uint64),
	}
}

// applyOperatorTable takes in the operator's table.
func (b *storeView) applyOperatorTable(now time.Time, rows map[string]registry.Row) {
	b.applyCatalog(now, rows)
	drained := b.codec.DrainedDomains(rows)
	b.placer.SetDrainedDomains(now, drained)
	b.logDrained(drained)
	orders, faults := b.codec.RolloutOrders(rows)
	b.logFaults(faults)
	b.rollouts.setOrders(now, orders)
}

// applyCatalog takes in a catalog that is newer than the one in force.
func (b *storeView) applyCatalog(now time.Time, rows map[string]registry.Row) {
	c, err := b.codec.Catalog(rows)
	if err != nil {
		b.log.WithError(err).Error("Catalog can't be read, the last one stays in force.")
		return
	}
	old := b.catalog.Load()
	if c == nil || old != nil && c.Revision <= old.Revision {
		return
	}
	quotas := make(map[string]quota.Quota, len(c.Teams))
	for _, t := range c.Teams {
		quotas[t.Name] = quota.Quota{Rate: t.Rate, Burst: t.Burst}
	}
	b.limiter.SetQuotas(now, quotas)
	b.placer.SetServices(c.Services)
	b.catalog.Store(c)
	b.log.WithFields(logrus.Fields{
		"version": c.Version, "revision": c.Revision, "routes": len(c.Routes), "teams": len(c.Teams),
	}).Info("Catalog in force.")
	b.logReady(now)
}

// logReady logs once that this instance knows enough to serve.
func (b *storeView) logReady(now time.Time) {
	if !b.ready() {
		return
	}
	b.readyOnce.Do(func() {
		b.log.WithField("since_start_ms", now.Sub(b.started).Milliseconds()).Info("Ready.")
	})
}

// logDrained logs failure domains that were closed or opened.
func (b *storeView) logDrained(drained map[string]bool) {
	for domain := range drained {
		if !b.drained[domain] {
			b.log.WithField("domain", domain).Info("Failure domain closed.")
		}
	}
	for domain := range b.drained {
		if !drained[domain] {
			b.log.WithField("domain", domain).Info("Failure domain opened.")
		}
	}
	b.drained = drained
}

// logFaults logs rows that can't be read.
func (b *storeView) logFaults(faults []error) {
	for _, err := range faults {
		b.log.WithError(err).Warn("Row passed over.")
	}
}

// applyEndpointsTable takes in the endpoints' table.
func (b *storeView) applyEndpointsTable(now time.Time, rows map[string]registry.Row) {
	all := make([]catalog.Endpoint, 0, len(rows))
	current := make(map[catalog.Incarnation]catalog.Endpoint, len(rows))
	faulty := make(map[string]uint64)
	for key, row := range rows {
		e, err := b.codec.Endpoint(row, now)
		if err != nil {
			if b.faultyRows[key] != row.Revision {
				b.log.WithError(err).Warn("Entry passed over.")
			}
			faulty[key] = row.Revision
			continue
		}
		if previous, ok := b.endpoints[e.Incarnation()]; ok && previous.Revision == e.Revision {
			e = previous // read before: its times count from then
		}
		b.logEndpoint(e)
		current[e.Incarnation()] = e
		all = append(all, e)
	}
	b.faultyRows = faulty
	b.removeEndpoints(current)
	b.endpoints = current
	b.placer.SetEndpoints(now, all)
	b.endpointsRead.Store(true)
	b.logReady(now)
}

// logEndpoint logs a new endpoint and one that begins to leave.
func (b *storeView) logEndpoint(e catalog.Endpoint) {
	previous, ok := b.endpoints[e.Incarnation()]
	if ok && previous.Draining == e.Draining {
		return
	}
	message := "Endpoint found."
	if e.Draining {
		message = "Endpoint leaving."
	}
	b.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "address": e.Address, "service": e.Service, "version": e.Version,
		"domain": e.FailureDomain, "revision": e.Revision,
	}).Info(message)
}

// removeEndpoints logs endpoints whose entries are gone and closes idle connections.
func (b *storeView) removeEndpoints(current map[catalog.Incarnation]catalog.Endpoint) {
	for in, e := range b.endpoints {
		if _, ok := current[in]; ok {
			continue
		}
		b.client.RemoveTarget(targetOf(&e))
		b.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service}).Info("Endpoint gone.")
	}
}

// ready says whether this instance knows enough to serve.
func (b *storeView) ready() bool { return b.catalog.Load() != nil && b.endpointsRead.Load() }
