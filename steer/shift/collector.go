package shift

import (
	"cmp"
	"hash/maphash"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	collectorShards = 16
	// Latencies are counted in logarithmic buckets, four to each doubling,
	// starting at about 64 us (2^16 ns).
	bucketShift        = 16
	bucketsPerDoubling = 4
	latencyBuckets     = 24 * bucketsPerDoubling
)

// Outcome is the result of one request to an endpoint of the service.
type Outcome struct {
	// Route is the name of the request's route.
	Route string
	// Domain is the failure domain of the endpoint. It is empty if the request
	// was refused because the version had no capacity left, which counts as
	// Failed.
	Domain string
	// New is set if the endpoint runs the new version.
	New bool
	// Failed is set if the endpoint failed or did not answer in time.
	Failed bool
	// Sent is the time at which the version was chosen for the request.
	Sent time.Time
	// Latency is the time from sending the request to the response.
	Latency time.Duration
}

// histogram counts latencies by bucket.
type histogram [latencyBuckets]uint32

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	units := uint64(max(latency, 0)) >> (bucketShift - 2)
	if units < bucketsPerDoubling {
		return 0
	}
	top := bits.Len64(units) - 1
	within := int(units>>(top-2)) & (bucketsPerDoubling - 1)
	return min((top-2)*bucketsPerDoubling+within, latencyBuckets-1)
}

// add adds o to h and returns the number of entries of o.
func (h *histogram) add(o *histogram) uint64 {
	total := uint64(0)
	for i, n := range o {
		h[i] += n
		total += uint64(n)
	}
	return total
}

// countAbove counts the entries in buckets higher than limit.
func (h *histogram) countAbove(limit int) uint64 {
	total := uint64(0)
	for _, n := range h[limit+1:] {
		total += uint64(n)
	}
	return total
}

// cellKey is the key under which outcomes are counted.
type cellKey struct {
	route, domain string
	newVersion    bool
	// shareRevision is the number of share changes before the requests were
	// sent.
	shareRevision uint64
}

// cell counts outcomes of one version on one route in one failure domain.
type cell struct {
	requests Counts
	latency  histogram
}

// collectorShard holds part of the cells under its own lock.
type collectorShard struct {
	mu    sync.Mutex
	cells map[cellKey]*cell
}

// collector counts outcomes recorded concurrently by many goroutines.
type collector struct {
	seed   maphash.Seed
	shards [collectorShards]collectorShard
}

// newCollector returns an empty collector.
func newCollector() *collector {
	return &collector{seed: maphash.MakeSeed()}
}

// record counts one outcome. Latencies of failed requests are not counted,
// because a failure may be fast.
func (c *collector) record(o *Outcome, shareRevision uint64) {
	key := cellKey{route: o.Route, domain: o.Domain, newVersion: o.New, shareRevision: shareRevision}
	shard := &c.shards[maphash.Comparable(c.seed, key)%collectorShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.cells == nil {
		shard.cells = make(map[cellKey]*cell)
	}
	counts := shard.cells[key]
	if counts == nil {
		counts = &cell{}
		shard.cells[key] = counts
	}
	counts.requests.N++
	if o.Failed {
		counts.requests.Hits++
		return
	}
	counts.latency[bucketOf(o.Latency)]++
}

// keyedCell is a cell with its key.
type keyedCell struct {
	key  cellKey
	cell *cell
}

// takeCells returns all cells, sorted by key, and resets the collector.
func (c *collector) takeCells() []keyedCell {
	var all []keyedCell
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		cells := shard.cells
		shard.cells = nil
		shard.mu.Unlock()
		for key, counts := range cells {
			all = append(all, keyedCell{key: key, cell: counts})
		}
	}
	slices.SortFunc(all, func(a, b keyedCell) int { return a.key.compare(b.key) })
	return all
}

// compare orders keys. The old version sorts before the new one.
func (k cellKey) compare(o cellKey) int {
	if k.newVersion != o.newVersion {
		if o.newVersion {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(k.shareRevision, o.shareRevision),
		cmp.Compare(k.route, o.route),
		cmp.Compare(k.domain, o.domain),
	)
}
