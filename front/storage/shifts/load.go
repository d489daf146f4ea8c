package shifts

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTimeConstant is the time over which loads are smoothed.
	loadTimeConstant = 3 * time.Second
	// minLoadMeasurement is how long loads are measured before they are told.
	minLoadMeasurement = 3 * loadTimeConstant
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
	busyNanos atomic.Int64 // nanoseconds
	bytes     atomic.Int64
}

// loadMeter measures an instance's own load. Its counters are lock-free.
type loadMeter struct {
	counters sync.Map // of loadKey to *loadCounter

	mu sync.Mutex
	// startedAt and measuredAt are when the first and the latest measurement was made.
	startedAt, measuredAt time.Time
	samples               map[loadKey]loadSample
}

// loadSample is a counter's value with the smoothed load so far.
type loadSample struct {
	busyNanos, bytes int64
	load             Load
}

// addOutcome counts one try of a request.
func (m *loadMeter) addOutcome(o *Outcome) {
	key := loadKey{service: o.Service, domain: o.FailureDomain}
	found, ok := m.counters.Load(key)
	if !ok {
		found, _ = m.counters.LoadOrStore(key, &loadCounter{})
	}
	c := found.(*loadCounter)
	c.busyNanos.Add(int64(o.Latency))
	c.bytes.Add(o.Bytes)
}

// measure takes a measurement at now and returns the smoothed loads, and whether
// they have been measured for long enough.
func (m *loadMeter) measure(now time.Time) (loads []Load, reliable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startedAt.IsZero() {
		m.startedAt, m.measuredAt = now, now
	}
	elapsed := now.Sub(m.measuredAt)
	m.measuredAt = now
	samples := make(map[loadKey]loadSample)
	m.counters.Range(func(k, v any) bool {
		key, c := k.(loadKey), v.(*loadCounter)
		sample := loadSample{busyNanos: c.busyNanos.Load(), bytes: c.bytes.Load()}
		previous := m.samples[key]
		sample.load = Load{
			Service:        key.service,
			FailureDomain:  key.domain,
			Slots:          smooth(previous.load.Slots, float64(sample.busyNanos-previous.busyNanos)/float64(time.Second), elapsed),
			BytesPerSecond: smooth(previous.load.BytesPerSecond, float64(sample.bytes-previous.bytes), elapsed),
		}
		samples[key] = sample
		loads = append(loads, sample.load)
		return true
	})
	m.samples = samples
	return loads, now.Sub(m.startedAt) >= minLoadMeasurement
}

// smooth mixes the amount that came in the elapsed time into a smoothed amount a
// second.
func smooth(previous, amount float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return previous
	}
	decay := math.Exp(-float64(elapsed) / float64(loadTimeConstant))
	return decay*previous + (1-decay)*amount/elapsed.Seconds()
}
