package shift

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// fullBatchSize is the number of outcomes at which a batch is compared.
	fullBatchSize = 100
	// maxBatchAge is the age at which a smaller batch is compared.
	maxBatchAge = 3 * time.Second
	// maxUnmatchedBatchAge is the age at which a batch without outcomes of the
	// new version is closed.
	maxUnmatchedBatchAge = 10 * time.Second
)

// versionCells holds the outcomes of both versions in one failure domain.
type versionCells struct {
	newVersion, oldVersion cell
}

// batchKey identifies a batch: requests on one route that were sent under one
// share. Outcomes from before and after a change of the share are never
// compared, because a short fault would count against the version that had more
// traffic at that time.
type batchKey struct {
	shareRevision uint64
	route         string
}

// batch holds outcomes that are not yet compared.
type batch struct {
	openedAt    time.Time
	total       uint64
	newRequests uint64
	domains     map[string]*versionCells
}

// due reports whether the batch should be compared. It depends on the number and
// age of the outcomes and never on their results, which would bias the test.
func (b *batch) due(now time.Time) bool {
	age := now.Sub(b.openedAt)
	if b.newRequests == 0 {
		return age >= maxUnmatchedBatchAge
	}
	return b.total >= fullBatchSize || age >= maxBatchAge
}

// referenceKey identifies a reference.
type referenceKey struct{ route, domain string }

// judge compares the outcomes of both versions on one instance.
type judge struct {
	tallies    map[Scope]*Tally
	detectors  map[Scope]*detector
	batches    map[batchKey]*batch
	references map[referenceKey]*reference
	baselines  map[Scope]*baseline
	// drifts holds the accumulated log likelihood ratio of a drift for each
	// scope.
	drifts    map[Scope]*float64
	suspicion suspicion
	// warmUpEnds is when slowness starts to count.
	warmUpEnds time.Time
	// driftEnabled is set while the new version's share is too high for a
	// comparison with the old version.
	driftEnabled bool
}

// newJudge returns a judge without evidence.
func newJudge() *judge {
	return &judge{
		tallies:    make(map[Scope]*Tally),
		detectors:  make(map[Scope]*detector),
		batches:    make(map[batchKey]*batch),
		references: make(map[referenceKey]*reference),
		baselines:  make(map[Scope]*baseline),
		drifts:     make(map[Scope]*float64),
	}
}

// getOrCreate returns the value for key and creates it if missing.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// add adds the outcomes of one version on one route in one failure domain.
func (j *judge) add(now time.Time, key cellKey, c *cell) {
	id := batchKey{shareRevision: key.shareRevision, route: key.route}
	b := j.batches[id]
	if b == nil {
		b = &batch{openedAt: now, domains: make(map[string]*versionCells)}
		j.batches[id] = b
	}
	b.total += c.requests.N
	target := &getOrCreate(b.domains, key.domain).oldVersion
	if key.newVersion {
		b.newRequests += c.requests.N
		target = &getOrCreate(b.domains, key.domain).newVersion
	}
	target.requests.add(c.requests)
	target.latency.add(&c.latency)
	if key.newVersion {
		j.measureDrift(now, key, c)
		return
	}
	j.learnBaselines(key, c)
}

// countSlow counts the responses that are slow by the reference of the route
// and domain. It reports false if the reference has too few samples.
func (j *judge) countSlow(route, domain string, h *histogram) (Counts, bool) {
	limit, known := j.references[referenceKey{route, domain}].limit()
	if !known {
		return Counts{}, false
	}
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	return Counts{N: total, Hits: h.countAbove(limit)}, true
}

// learnBaselines updates the old version's recent rates.
func (j *judge) learnBaselines(key cellKey, c *cell) {
	for _, scope := range scopesOf(Errors, key.route, key.domain) {
		getOrCreate(j.baselines, scope).learn(c.requests)
	}
	slow, known := j.countSlow(key.route, key.domain, &c.latency)
	if !known {
		return
	}
	for _, scope := range scopesOf(Latency, key.route, key.domain) {
		getOrCreate(j.baselines, scope).learn(slow)
	}
}

// scopeTally returns the local evidence in one scope, and whether there is any.
func (j *judge) scopeTally(scope Scope) (ScopeTally, bool) {
	st := ScopeTally{Scope: scope}
	tally, drifted := j.tallies[scope], j.drifts[scope]
	if tally != nil {
		st.Tally = *tally
	}
	if drifted != nil {
		st.Drift = *drifted
	}
	return st, tally != nil || drifted != nil
}

// measureDrift adds the new version's outcomes to the drifts.
func (j *judge) measureDrift(now time.Time, key cellKey, c *cell) {
	if !j.driftEnabled {
		return
	}
	for _, scope := range scopesOf(Errors, key.route, key.domain) {
		*getOrCreate(j.drifts, scope) += driftLogRatio(c.requests, getOrCreate(j.baselines, scope).counts)
	}
	slow, known := j.countSlow(key.route, key.domain, &c.latency)
	if !known || now.Before(j.warmUpEnds) {
		return
	}
	for _, scope := range scopesOf(Latency, key.route, key.domain) {
		*getOrCreate(j.drifts, scope) += driftLogRatio(slow, getOrCreate(j.baselines, scope).counts)
	}
}

// compareDueBatches compares and removes the batches that are due.
func (j *judge) compareDueBatches(now time.Time) {
	keys := slices.SortedFunc(maps.Keys(j.batches), func(a, b batchKey) int {
		return cmp.Or(cmp.Compare(a.shareRevision, b.shareRevision), cmp.Compare(a.route, b.route))
	})
	for _, key := range keys {
		b := j.batches[key]
		if !b.due(now) {
			continue
		}
		j.compareBatch(key.route, b)
		delete(j.batches, key)
	}
}

// compareBatch adds one batch to the tallies, within each failure domain in
// which both versions got requests. Failures in the other domains are compared
// across domains; latencies are not, since distances differ. Refused requests
// belong to no domain, so if there are any, the failures of the whole route are
// compared at once.
func (j *judge) compareBatch(route string, b *batch) {
	routeScope := Scope{Signal: Errors, Route: route}
	_, refused := b.domains[""]
	var newTotal, oldTotal, newUnmatched, oldUnmatched Counts
	for _, domain := range sortedKeys(b.domains) {
		a := b.domains[domain]
		newTotal.add(a.newVersion.requests)
		oldTotal.add(a.oldVersion.requests)
		switch {
		case a.oldVersion.requests.N == 0:
			newUnmatched.add(a.newVersion.requests)
		case a.newVersion.requests.N == 0:
			oldUnmatched.add(a.oldVersion.requests)
		case domain != "":
			if !refused {
				getOrCreate(j.tallies, routeScope).AddBatch(a.newVersion.requests, a.oldVersion.requests)
			}
			j.compareDomain(route, domain, a, b.openedAt)
		}
		getOrCreate(j.references, referenceKey{route, domain}).learn(&a.oldVersion.latency)
	}
	if refused {
		newUnmatched, oldUnmatched = newTotal, oldTotal
	}
	getOrCreate(j.tallies, routeScope).AddBatch(newUnmatched, oldUnmatched)
}

// compareDomain adds the outcomes of one failure domain to the tallies, except
// for the failures of the route.
func (j *judge) compareDomain(route, domain string, a *versionCells, opened time.Time) {
	getOrCreate(j.tallies, Scope{Signal: Errors, Domain: domain}).AddBatch(a.newVersion.requests, a.oldVersion.requests)
	newSlow, known := j.countSlow(route, domain, &a.newVersion.latency)
	if !known || opened.Before(j.warmUpEnds) {
		return
	}
	oldSlow, _ := j.countSlow(route, domain, &a.oldVersion.latency)
	for _, scope := range scopesOf(Latency, route, domain) {
		getOrCreate(j.tallies, scope).AddBatch(newSlow, oldSlow)
	}
}
