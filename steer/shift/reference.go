package shift

const (
	// slowQuantile is the latency quantile of the old version up to which
	// responses count as not slow.
	slowQuantile = 0.9
	// minReferenceSamples is the minimum number of samples of a reference.
	minReferenceSamples = 50
	// maxReferenceSamples is the number of samples beyond which all counts are
	// halved.
	maxReferenceSamples = 4000
)

// reference is the old version's recent latency on one route in one failure
// domain.
type reference struct {
	latency histogram
	total   uint64
}

// learn adds latencies of the old version. Halving the counts gives older
// samples less weight.
func (r *reference) learn(h *histogram) {
	r.total += r.latency.add(h)
	if r.total <= maxReferenceSamples {
		return
	}
	r.total = 0
	for i := range r.latency {
		r.latency[i] /= 2
		r.total += uint64(r.latency[i])
	}
}

// limit returns the highest bucket that does not count as slow. It reports
// false if there are too few samples.
func (r *reference) limit() (bucket int, known bool) {
	if r == nil || r.total < minReferenceSamples {
		return 0, false
	}
	want := uint64(slowQuantile * float64(r.total))
	seen := uint64(0)
	for i, n := range r.latency {
		seen += uint64(n)
		if seen >= want {
			return i, true
		}
	}
	return latencyBuckets - 1, true
}

// baseline is the old version's recent rate of hits in one scope.
type baseline struct {
	counts Counts
}

// learn adds trials of the old version. Halving the counts gives older trials
// less weight.
func (b *baseline) learn(c Counts) {
	b.counts.add(c)
	if b.counts.N > maxReferenceSamples {
		b.counts.N /= 2
		b.counts.Hits /= 2
	}
}
