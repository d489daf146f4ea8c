package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
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
	rollouts *rollouts.Rollouts
	log      logrus.FieldLogger

	catalogMu     sync.Mutex // guards changes of the catalog
	catalog       atomic.Pointer[catalog.Catalog]
	catalogRow    atomic.Pointer[registry.Row] // the row of the catalog in force
	endpointsRead atomic.Bool                  // the endpoints table has been read
	started       time.Time
	readyOnce     sync.Once // guards the log message that this instance is ready
	// Each of the fields below is used by the watcher of one table only.
	endpoints map[catalog.Incarnation]catalog.Endpoint
	decoded   map[string]decodedEntry // by key
	history   *catalog.EntryHistory
	drained   map[string]bool
	faults    lineLimiter // lines on rows that can't be decoded
}

func newStoreView(adapters Adapters, p *placing.Placer, l *quota.Limiter, c *endpoint.Client, r *rollouts.Rollouts, log *logrus.Logger) *storeView {
	return &storeView{
		codec:     adapters.Codec,
		placer:    p,
		limiter:   l,
		client:    c,
		rollouts:  r,
		log:       log.WithField("prefix", "beliefs"),
		faults:    lineLimiter{perSecond: faultLinesPerSecond},
		started:   time.Now(),
		endpoints: make(map[catalog.Incarnation]catalog.Endpoint),
		decoded:   make(map[string]decodedEntry),
		history:   catalog.NewEntryHistory(),
	}
}

// operatorOptions returns how the operators' table is followed.
func (v *storeView) operatorOptions(table string, pace func() registry.Pace) registry.WatchOptions {
	return registry.WatchOptions{Table: table, CurrentPace: pace, RestoreDelay: operatorRestoreDelay, IsNewer: v.isNewerCatalogRow}
}

// endpointsOptions returns how the endpoints table is followed.
func (v *storeView) endpointsOptions(table string, pace func() registry.Pace) registry.WatchOptions {
	return registry.WatchOptions{
		Table: table, CurrentPace: pace, RefreshInterval: endpointsRefreshInterval, RemovalDelay: endpointRemovalDelay,
		IsNewer: v.isNewerEntry,
	}
}

// isNewerCatalogRow reports whether both rows hold a catalog and that of the one
// that was read is of a later generation. It reports false for orders, which don't
// tell when they were written.
func (v *storeView) isNewerCatalogRow(known, read registry.Row) bool {
	generations := [2]uint64{}
	for i, row := range []registry.Row{known, read} {
		c, err := v.codec.Catalog(map[string]registry.Row{row.Key: row})
		if err != nil || c == nil {
			return false // an unreadable catalog is logged when it is applied
		}
		generations[i] = c.Generation
	}
	return generations[0] > 0 && generations[1] > generations[0]
}

// isNewerEntry reports whether the entry that was read is a later one of an
// endpoint, or of one that has started later under the same ID.
func (v *storeView) isNewerEntry(known, read registry.Row) bool {
	before, errBefore := v.codec.Endpoint(known, time.Time{})
	e, err := v.codec.Endpoint(read, time.Time{})
	return err == nil && errBefore == nil && e.IsLaterThan(&before)
}

// applyOperatorTable applies the operators' table.
func (v *storeView) applyOperatorTable(now time.Time, rows map[string]registry.Row) {
	v.applyCatalog(now, rows)
	drained := v.codec.DrainedDomains(rows)
	v.placer.SetDrainedDomains(now, drained)
	v.logDrained(drained)
	orders, faults := v.codec.RolloutOrders(rows)
	v.logFaults(faults)
	v.rollouts.SetOrders(now, orders, latestEra(rows))
}

// latestEra returns the latest era in which one of the rows was read.
func latestEra(rows map[string]registry.Row) uint64 {
	era := uint64(0)
	for _, row := range rows {
		era = max(era, row.Era)
	}
	return era
}

// isNewer reports whether a catalog replaces the one in force. The operators'
// generations count first, since a store that was restored from an older copy
// returns older catalogs.
func isNewer(c, inForce *catalog.Catalog) bool {
	switch {
	case inForce == nil:
		return true
	case c.Generation > 0 && inForce.Generation > 0:
		return c.Generation > inForce.Generation
	}
	return registry.Version{Era: c.Era, Revision: c.Revision}.After(registry.Version{Era: inForce.Era, Revision: inForce.Revision})
}

// applyCatalog puts the catalog in force if it is newer than the current one.
func (v *storeView) applyCatalog(now time.Time, rows map[string]registry.Row) {
	c, err := v.codec.Catalog(rows)
	if err != nil {
		v.log.WithError(err).Error("Failed to decode the catalog, the previous one stays in force.")
		return
	}
	v.catalogMu.Lock()
	defer v.catalogMu.Unlock()
	old := v.catalog.Load()
	if c == nil || !isNewer(c, old) {
		v.logOlder(c, old)
		return
	}
	quotas := make(map[string]quota.Quota, len(c.Teams))
	for _, t := range c.Teams {
		quotas[t.Name] = quota.Quota{Rate: t.Rate, Burst: t.Burst}
	}
	v.limiter.SetQuotas(now, quotas)
	v.placer.SetServices(c.Services)
	v.placer.SetRanks(c.Ranks())
	v.catalog.Store(c)
	row := rows[v.codec.CatalogKey()]
	v.catalogRow.Store(&row)
	v.log.WithFields(logrus.Fields{
		"version": c.Version, "era": c.Era, "revision": c.Revision, "routes": len(c.Routes), "teams": len(c.Teams),
	}).Info("Catalog in force.")
	v.logUnknownKinds(c)
	v.logReady(now)
}

// logOlder logs that the store has a catalog from before the one in force.
func (v *storeView) logOlder(c, inForce *catalog.Catalog) {
	if c == nil || !isNewer(inForce, c) {
		return
	}
	v.log.WithFields(logrus.Fields{
		"version": c.Version, "in_force": inForce.Version, "era": c.Era,
	}).Warn("The store has an older catalog than the one in force, it is ignored.")
}

// logUnknownKinds logs the routes whose kind is not known.
func (v *storeView) logUnknownKinds(c *catalog.Catalog) {
	for i := range c.Routes {
		if r := &c.Routes[i]; !r.KnownKind {
			v.log.WithFields(logrus.Fields{"route": r.Name, "kind": r.Kind, "version": c.Version}).
				Warn("Route of an unknown kind, its requests are not repeated.")
		}
	}
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
		v.logFault(time.Now(), err, "Failed to decode a row, it is ignored.")
	}
}

// logFault logs a row that can't be decoded, unless there were many in this second.
func (v *storeView) logFault(now time.Time, err error, message string) {
	ok, omitted := v.faults.allow(now)
	if omitted > 0 {
		v.log.WithField("lines", omitted).Warn("Log lines on rows that can't be decoded omitted.")
	}
	if ok {
		v.log.WithError(err).Warn(message)
	}
}

// decodedEntry is the result of decoding one version of an endpoint's row.
type decodedEntry struct {
	version  registry.Version
	endpoint catalog.Endpoint
	err      error
}

// applyEndpointsTable applies the endpoints table.
func (v *storeView) applyEndpointsTable(now time.Time, rows map[string]registry.Row) {
	all := v.history.Filter(now, v.decodeEntries(now, rows))
	current := make(map[catalog.Incarnation]catalog.Endpoint, len(all))
	for _, e := range all {
		v.logEndpoint(e)
		current[e.Incarnation()] = e
	}
	v.removeEndpoints(current)
	v.endpoints = current
	v.placer.SetEndpoints(now, all)
	v.endpointsRead.Store(true)
	v.logReady(now)
}

// decodeEntries decodes the rows that have changed since the last call and
// returns the entries of all valid rows. The times of an entry are those of its
// first read.
func (v *storeView) decodeEntries(now time.Time, rows map[string]registry.Row) []catalog.Endpoint {
	decoded := make(map[string]decodedEntry, len(rows))
	all := make([]catalog.Endpoint, 0, len(rows))
	for key, row := range rows {
		d, ok := v.decoded[key]
		if !ok || d.version != row.Version() {
			d.version = row.Version()
			d.endpoint, d.err = v.codec.Endpoint(row, now)
			if domain := d.endpoint.FailureDomain; d.err == nil && !v.placer.KnowsDomain(domain) {
				d.err = fmt.Errorf("entry %s: unknown failure domain %q", key, domain)
			}
			if d.err != nil {
				v.logFault(now, d.err, "Failed to decode an endpoint's row, it is ignored.")
			}
		}
		decoded[key] = d
		if d.err == nil {
			all = append(all, d.endpoint)
		}
	}
	v.decoded = decoded
	return all
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
