package shift

import (
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

// batch holds outcomes on one route that are not yet compared.
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
	batches    map[string]*batch
	references map[place]*reference
	baselines  map[Scope]*baseline
	drifts     map[Scope]*drift
	suspicion  suspicion
	// warmUntil is when slowness starts to count.
	warmUntil time.Time
	// drifting says that drifts are looked for.
	drifting bool
}

// newJudge returns a judge without evidence.
func newJudge() *judge {
	return &judge{
		tallies:    make(map[Scope]*Tally),
		detectors:  make(map[Scope]*detector),
		batches:    make(map[string]*batch),
		references: make(map[place]*reference),
		baselines:  make(map[Scope]*baseline),
		drifts:     make(map[Scope]*drift),
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
	b := j.batches[key.route]
	if b == nil {
		b = &batch{opened: now, domains: make(map[string]*arms)}
		j.batches[key.route] = b
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
		j.lookForDrift(now, key, c)
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

// lookForDrift tests the new version's outcomes against the baselines.
func (j *judge) lookForDrift(now time.Time, key cellKey, c *cell) {
	if !j.drifting || j.suspicion.on {
		return
	}
	j.testDrift(now, scopesOf(Errors, key.route, key.domain), c.requests)
	slow, known := j.slow(key.route, key.domain, &c.latency)
	if known && !now.Before(j.warmUntil) {
		j.testDrift(now, scopesOf(Latency, key.route, key.domain), slow)
	}
}

// testDrift begins a suspicion when outcomes drifted in one of the scopes.
func (j *judge) testDrift(now time.Time, scopes [2]Scope, c Counts) {
	for _, scope := range scopes {
		base := entry(j.baselines, scope).counts
		if entry(j.drifts, scope).add(c, base) {
			j.suspicion.begin(now, scope, entry(j.tallies, scope), base)
		}
	}
}

// watchDrifts turns the search for drifts on or off; it starts anew each time.
func (j *judge) watchDrifts(on bool) {
	if j.drifting != on {
		clear(j.drifts)
	}
	j.drifting = on
}

// compareRipe compares the batches that are ripe.
func (j *judge) compareRipe(now time.Time) {
	for _, route := range slices.Sorted(maps.Keys(j.batches)) {
		b := j.batches[route]
		if !b.ripe(now) {
			continue
		}
		j.compare(route, b)
		delete(j.batches, route)
	}
	if j.suspicion.on {
		j.suspicion.review(now, entry(j.tallies, j.suspicion.scope))
		if !j.suspicion.on {
			clear(j.drifts)
		}
	}
}

// compare adds one batch to the tallies, within each failure domain where both
// versions answered. Failures in the other domains are compared across them;
// latencies are not, since distances differ.
func (j *judge) compare(route string, b *batch) {
	var freshAlone, oldAlone Counts
	for _, domain := range slices.Sorted(maps.Keys(b.domains)) {
		a := b.domains[domain]
		switch {
		case a.old.requests.N == 0:
			freshAlone.add(a.fresh.requests)
		case a.fresh.requests.N == 0:
			oldAlone.add(a.old.requests)
		default:
			j.compareDomain(route, domain, a, b.opened)
		}
		entry(j.references, place{route, domain}).learn(&a.old.latency)
	}
	entry(j.tallies, Scope{Signal: Errors, Route: route}).Compare(freshAlone, oldAlone)
}

// compareDomain adds the outcomes of one failure domain to the tallies.
func (j *judge) compareDomain(route, domain string, a *arms, opened time.Time) {
	for _, scope := range scopesOf(Errors, route, domain) {
		entry(j.tallies, scope).Compare(a.fresh.requests, a.old.requests)
	}
	fresh, known := j.slow(route, domain, &a.fresh.latency)
	if !known || opened.Before(j.warmUntil) {
		return
	}
	old, _ := j.slow(route, domain, &a.old.latency)
	for _, scope := range scopesOf(Latency, route, domain) {
		entry(j.tallies, scope).Compare(fresh, old)
	}
}
