package shifts

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTime is the time over which loads are smoothed.
	loadTime = 3 * time.Second
	// loadSettled is how long loads are measured before they are told.
	loadSettled = 3 * loadTime
)

// Load is what one instance asks of a service's endpoints in one failure domain.
type Load struct {
	// Service and FailureDomain name the endpoints.
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the average number of slots in use: by Little's law, the rate
	// of requests times the time that each takes.
	Slots float64 `json:"slots"`
	// BytesPerSecond is the bytes a second of requests and answers.
	BytesPerSecond float64 `json:"bytes"`
}

// loadKey names a counter.
type loadKey struct{ service, domain string }

// loadCounter counts since the start.
type loadCounter struct {
	busy  atomic.Int64 // nanoseconds
	bytes atomic.Int64
}

// loadMeter measures an instance's own load. Its counters are lock-free.
type loadMeter struct {
	counters sync.Map // of loadKey to *loadCounter

	mu sync.Mutex
	// began and at are when the first and the latest measurement was made.
	began, at time.Time
	last      map[loadKey]loadSample
}

// loadSample is a counter's value with the smoothed load so far.
type loadSample struct {
	busy, bytes int64
	load        Load
}

// add counts one try of a request.
func (m *loadMeter) add(o *Outcome) {
	key := loadKey{service: o.Service, domain: o.FailureDomain}
	found, ok := m.counters.Load(key)
	if !ok {
		found, _ = m.counters.LoadOrStore(key, &loadCounter{})
	}
	c := found.(*loadCounter)
	c.busy.Add(int64(o.Latency))
	c.bytes.Add(o.Bytes)
}

// measure takes a measurement at now and returns the smoothed loads, and whether
// they have been measured for long enough.
func (m *loadMeter) measure(now time.Time) (loads []Load, settled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.began.IsZero() {
		m.began, m.at = now, now
	}
	elapsed := now.Sub(m.at)
	m.at = now
	next := make(map[loadKey]loadSample)
	m.counters.Range(func(k, v any) bool {
		key, c := k.(loadKey), v.(*loadCounter)
		sample := loadSample{busy: c.busy.Load(), bytes: c.bytes.Load()}
		before := m.last[key]
		sample.load = Load{
			Service:        key.service,
			FailureDomain:  key.domain,
			Slots:          smooth(before.load.Slots, float64(sample.busy-before.busy)/float64(time.Second), elapsed),
			BytesPerSecond: smooth(before.load.BytesPerSecond, float64(sample.bytes-before.bytes), elapsed),
		}
		next[key] = sample
		loads = append(loads, sample.load)
		return true
	})
	m.last = next
	return loads, now.Sub(m.began) >= loadSettled
}

// smooth mixes the amount that came in the elapsed time into a smoothed amount a
// second.
func smooth(before, amount float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return before
	}
	kept := math.Exp(-float64(elapsed) / float64(loadTime))
	return kept*before + (1-kept)*amount/elapsed.Seconds()
}
