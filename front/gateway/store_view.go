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

// applyOperatorTable applies the operators' table.
func (b *storeView) applyOperatorTable(now time.Time, rows map[string]registry.Row) {
	b.applyCatalog(now, rows)
	drained := b.codec.DrainedDomains(rows)
	b.placer.SetDrainedDomains(now, drained)
	b.logDrained(drained)
	orders, faults := b.codec.RolloutOrders(rows)
	b.logFaults(faults)
	b.rollouts.setOrders(now, orders)
}

// applyCatalog puts the catalog in force if it is newer than the current one.
func (b *storeView) applyCatalog(now time.Time, rows map[string]registry.Row) {
	c, err := b.codec.Catalog(rows)
	if err != nil {
		b.log.WithError(err).Error("Catalog can't be decoded, the previous one stays in force.")
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

// logReady logs, once, that this instance has what it needs to serve.
func (b *storeView) logReady(now time.Time) {
	if !b.ready() {
		return
	}
	b.readyOnce.Do(func() {
		b.log.WithField("since_start_ms", now.Sub(b.started).Milliseconds()).Info("Ready.")
	})
}

// logDrained logs changes of the drained failure domains.
func (b *storeView) logDrained(drained map[string]bool) {
	for domain := range drained {
		if !b.drained[domain] {
			b.log.WithField("domain", domain).Info("Failure domain drained.")
		}
	}
	for domain := range b.drained {
		if !drained[domain] {
			b.log.WithField("domain", domain).Info("Failure domain no longer drained.")
		}
	}
	b.drained = drained
}

// logFaults logs rows that can't be decoded.
func (b *storeView) logFaults(faults []error) {
	for _, err := range faults {
		b.log.WithError(err).Warn("Row ignored: it can't be decoded.")
	}
}

// applyEndpointsTable applies the endpoints table.
func (b *storeView) applyEndpointsTable(now time.Time, rows map[string]registry.Row) {
	all := make([]catalog.Endpoint, 0, len(rows))
	current := make(map[catalog.Incarnation]catalog.Endpoint, len(rows))
	faulty := make(map[string]uint64)
	for key, row := range rows {
		e, err := b.codec.Endpoint(row, now)
		if err != nil {
			if b.faultyRows[key] != row.Revision {
				b.log.WithError(err).Warn("Endpoint row ignored: it can't be decoded.")
			}
			faulty[key] = row.Revision
			continue
		}
		if previous, ok := b.endpoints[e.Incarnation()]; ok && previous.Revision == e.Revision {
			e = previous // already decoded: its times stay those of the first read
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

// logEndpoint logs a new endpoint and one that starts draining.
func (b *storeView) logEndpoint(e catalog.Endpoint) {
	previous, ok := b.endpoints[e.Incarnation()]
	if ok && previous.Draining == e.Draining {
		return
	}
	message := "Endpoint added."
	if e.Draining {
		message = "Endpoint draining."
	}
	b.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "address": e.Address, "service": e.Service, "version": e.Version,
		"domain": e.FailureDomain, "revision": e.Revision,
	}).Info(message)
}

// removeEndpoints logs endpoints whose rows have been removed and closes their
// idle connections.
func (b *storeView) removeEndpoints(current map[catalog.Incarnation]catalog.Endpoint) {
	for in, e := range b.endpoints {
		if _, ok := current[in]; ok {
			continue
		}
		b.client.Forget(targetOf(&e))
		b.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service}).Info("Endpoint removed.")
	}
}

// ready reports whether the catalog and the endpoints have been read.
func (b *storeView) ready() bool { return b.catalog.Load() != nil && b.endpointsRead.Load() }
