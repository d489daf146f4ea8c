package shift

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// fullBatch is the number of outcomes at which a batch is compared.
	fullBatch = 100
	// patience is the age at which a smaller batch is compared.
	patience = 3 * time.Second
	// lapse is the age at which a batch without the new version is dropped.
	lapse = 10 * time.Second
)

// arms are the outcomes of both versions in one failure domain.
type arms struct {
	fresh, old cell
}

// batchKey names a batch: requests on one route that were sent under one share.
// Outcomes from before and after a change of the share are never compared: a
// short fault would weigh on the version that had more traffic at that time.
type batchKey struct {
	span  uint64
	route string
}

// batch holds outcomes that are not yet compared.
type batch struct {
	opened  time.Time
	total   uint64
	fresh   uint64
	domains map[string]*arms
}

// ripe reports whether the batch should be compared. It depends on the numbers
// of outcomes and not on how they turned out.
func (b *batch) ripe(now time.Time) bool {
	age := now.Sub(b.opened)
	if b.fresh == 0 {
		return age >= lapse
	}
	return b.total >= fullBatch || age >= patience
}

// place names a reference.
type place struct{ route, domain string }

// judge compares the versions' outcomes at one instance.
type judge struct {
	tallies    map[Scope]*Tally
	detectors  map[Scope]*detector
	batches    map[batchKey]*batch
	references map[place]*reference
	baselines  map[Scope]*baseline
	// drifts are the logarithms of the likelihood ratios of drifts so far.
	drifts    map[Scope]*float64
	suspicion suspicion
	// warmUntil is when slowness starts to count.
	warmUntil time.Time
	// drifting says that the share is too high for comparison.
	drifting bool
}

// newJudge returns a judge without evidence.
func newJudge() *judge {
	return &judge{
		tallies:    make(map[Scope]*Tally),
		detectors:  make(map[Scope]*detector),
		batches:    make(map[batchKey]*batch),
		references: make(map[place]*reference),
		baselines:  make(map[Scope]*baseline),
		drifts:     make(map[Scope]*float64),
	}
}

// entry returns the value of key, made when it is missing.
func entry[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// add takes outcomes of one version on one route in one failure domain.
func (j *judge) add(now time.Time, key cellKey, c *cell) {
	at := batchKey{span: key.span, route: key.route}
	b := j.batches[at]
	if b == nil {
		b = &batch{opened: now, domains: make(map[string]*arms)}
		j.batches[at] = b
	}
	b.total += c.requests.N
	arm := &entry(b.domains, key.domain).old
	if key.fresh {
		b.fresh += c.requests.N
		arm = &entry(b.domains, key.domain).fresh
	}
	arm.requests.add(c.requests)
	arm.latency.add(&c.latency)
	if key.fresh {
		j.measureDrift(now, key, c)
		return
	}
	j.learnBaselines(key, c)
}

// slow counts the answers slower than most of the old version's at that place.
func (j *judge) slow(route, domain string, h *histogram) (Counts, bool) {
	limit, known := j.references[place{route, domain}].limit()
	if !known {
		return Counts{}, false
	}
	total := uint64(0)
	for _, n := range h {
		total += uint64(n)
	}
	return Counts{N: total, Hits: h.above(limit)}, true
}

// learnBaselines keeps the old version's recent rates.
func (j *judge) learnBaselines(key cellKey, c *cell) {
	for _, scope := range scopesOf(Errors, key.route, key.domain) {
		entry(j.baselines, scope).learn(c.requests)
	}
	slow, known := j.slow(key.route, key.domain, &c.latency)
	if !known {
		return
	}
	for _, scope := range scopesOf(Latency, key.route, key.domain) {
		entry(j.baselines, scope).learn(slow)
	}
}

// evidence returns what the instance found in one scope.
func (j *judge) evidence(scope Scope) (ScopeTally, bool) {
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
	if !j.drifting {
		return
	}
	for _, scope := range scopesOf(Errors, key.route, key.domain) {
		*entry(j.drifts, scope) += driftOf(c.requests, entry(j.baselines, scope).counts)
	}
	slow, known := j.slow(key.route, key.domain, &c.latency)
	if !known || now.Before(j.warmUntil) {
		return
	}
	for _, scope := range scopesOf(Latency, key.route, key.domain) {
		*entry(j.drifts, scope) += driftOf(slow, entry(j.baselines, scope).counts)
	}
}

// compareRipe compares the batches that are ripe.
func (j *judge) compareRipe(now time.Time) {
	keys := slices.SortedFunc(maps.Keys(j.batches), func(a, b batchKey) int {
		return cmp.Or(cmp.Compare(a.span, b.span), cmp.Compare(a.route, b.route))
	})
	for _, key := range keys {
		b := j.batches[key]
		if !b.ripe(now) {
			continue
		}
		j.compare(key.route, b)
		delete(j.batches, key)
	}
}

// compare adds one batch to the tallies, within each failure domain where both
// versions answered. Failures in the other domains are compared across them;
// latencies are not, since distances differ. If requests were refused, which
// belongs to no domain, the failures of the whole route are compared at once.
func (j *judge) compare(route string, b *batch) {
	whole := Scope{Signal: Errors, Route: route}
	_, refused := b.domains[""]
	var fresh, old, freshAlone, oldAlone Counts
	for _, domain := range sortedKeys(b.domains) {
		a := b.domains[domain]
		fresh.add(a.fresh.requests)
		old.add(a.old.requests)
		switch {
		case a.old.requests.N == 0:
			freshAlone.add(a.fresh.requests)
		case a.fresh.requests.N == 0:
			oldAlone.add(a.old.requests)
		case domain != "":
			if !refused {
				entry(j.tallies, whole).AddBatch(a.fresh.requests, a.old.requests)
			}
			j.compareDomain(route, domain, a, b.opened)
		}
		entry(j.references, place{route, domain}).learn(&a.old.latency)
	}
	if refused {
		freshAlone, oldAlone = fresh, old
	}
	entry(j.tallies, whole).AddBatch(freshAlone, oldAlone)
}

// compareDomain adds the outcomes of one failure domain to the tallies, but for
// the route's failures.
func (j *judge) compareDomain(route, domain string, a *arms, opened time.Time) {
	entry(j.tallies, Scope{Signal: Errors, Domain: domain}).AddBatch(a.fresh.requests, a.old.requests)
	fresh, known := j.slow(route, domain, &a.fresh.latency)
	if !known || opened.Before(j.warmUntil) {
		return
	}
	old, _ := j.slow(route, domain, &a.old.latency)
	for _, scope := range scopesOf(Latency, route, domain) {
		entry(j.tallies, scope).AddBatch(fresh, old)
	}
}
