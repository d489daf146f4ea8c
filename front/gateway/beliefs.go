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

// beliefs keeps what this instance holds true of catalog and endpoints.
type beliefs struct {
	codec   Codec
	placer  *placing.Placer
	limiter *quota.Limiter
	client  *endpoint.Client
	moves   *moves
	log     logrus.FieldLogger

	catalog   atomic.Pointer[catalog.Catalog]
	endpoints atomic.Bool // the endpoints were read once
	begun     time.Time
	announce  sync.Once // logs that this instance is ready
	// The fields below belong to the watcher of one table each.
	known    map[catalog.Incarnation]catalog.Endpoint
	revision map[string]uint64 // by key, of rows that were found faulty
	closed   map[string]bool
}

func newBeliefs(parts Parts, p *placing.Placer, l *quota.Limiter, c *endpoint.Client, m *moves, log *logrus.Logger) *beliefs {
	return &beliefs{
		codec:    parts.Codec,
		placer:   p,
		limiter:  l,
		client:   c,
		moves:    m,
		log:      log.WithField("prefix", "beliefs"),
		begun:    time.Now(),
		known:    make(map[catalog.Incarnation]catalog.Endpoint),
		revision: make(map[string]uint64),
	}
}

// seeOperator takes in the operator's table.
func (b *beliefs) seeOperator(now time.Time, rows map[string]registry.Row) {
	b.takeCatalog(now, rows)
	closed := b.codec.Closed(rows)
	b.placer.SetDrainedDomains(now, closed)
	b.logClosed(closed)
	orders, faults := b.codec.Orders(rows)
	b.logFaults(faults)
	b.moves.setOrders(now, orders)
}

// takeCatalog takes in a catalog that is newer than the one in force.
func (b *beliefs) takeCatalog(now time.Time, rows map[string]registry.Row) {
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
func (b *beliefs) logReady(now time.Time) {
	if !b.ready() {
		return
	}
	b.announce.Do(func() {
		b.log.WithField("since_start_ms", now.Sub(b.begun).Milliseconds()).Info("Ready.")
	})
}

// logClosed logs failure domains that were closed or opened.
func (b *beliefs) logClosed(closed map[string]bool) {
	for domain := range closed {
		if !b.closed[domain] {
			b.log.WithField("domain", domain).Info("Failure domain closed.")
		}
	}
	for domain := range b.closed {
		if !closed[domain] {
			b.log.WithField("domain", domain).Info("Failure domain opened.")
		}
	}
	b.closed = closed
}

// logFaults logs rows that can't be read.
func (b *beliefs) logFaults(faults []error) {
	for _, err := range faults {
		b.log.WithError(err).Warn("Row passed over.")
	}
}

// seeEndpoints takes in the endpoints' table.
func (b *beliefs) seeEndpoints(now time.Time, rows map[string]registry.Row) {
	all := make([]catalog.Endpoint, 0, len(rows))
	current := make(map[catalog.Incarnation]catalog.Endpoint, len(rows))
	faulty := make(map[string]uint64)
	for key, row := range rows {
		e, err := b.codec.Endpoint(row, now)
		if err != nil {
			if b.revision[key] != row.Revision {
				b.log.WithError(err).Warn("Entry passed over.")
			}
			faulty[key] = row.Revision
			continue
		}
		if former, ok := b.known[e.Incarnation()]; ok && former.Revision == e.Revision {
			e = former // read before: its times count from then
		}
		b.logEndpoint(e)
		current[e.Incarnation()] = e
		all = append(all, e)
	}
	b.revision = faulty
	b.logGone(current)
	b.known = current
	b.placer.SetEndpoints(now, all)
	b.endpoints.Store(true)
	b.logReady(now)
}

// logEndpoint logs a new endpoint and one that begins to leave.
func (b *beliefs) logEndpoint(e catalog.Endpoint) {
	former, ok := b.known[e.Incarnation()]
	if ok && former.Draining == e.Draining {
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

// logGone logs endpoints whose entries are gone and closes idle connections.
func (b *beliefs) logGone(current map[catalog.Incarnation]catalog.Endpoint) {
	for in, e := range b.known {
		if _, ok := current[in]; ok {
			continue
		}
		b.client.RemoveTarget(targetOf(&e))
		b.log.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service}).Info("Endpoint gone.")
	}
}

// ready says whether this instance knows enough to serve.
func (b *beliefs) ready() bool { return b.catalog.Load() != nil && b.endpoints.Load() }
