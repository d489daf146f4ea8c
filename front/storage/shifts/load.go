package shifts

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTimeConstant is the time constant of the exponential smoothing of
	// loads.
	loadTimeConstant = 3 * time.Second
	// minLoadMeasurement is how long loads are measured before they count as
	// reliable.
	minLoadMeasurement = 3 * loadTimeConstant
)

// Load is the load that one instance puts on a service's endpoints in one
// failure domain.
type Load struct {
	// Service and FailureDomain identify the endpoints.
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	// Slots is the average number of slots in use. By Little's law it is the
	// request rate times the mean duration of a request.
	Slots float64 `json:"slots"`
	// BytesPerSecond is the size of requests and responses per second.
	BytesPerSecond float64 `json:"bytes"`
}

// loadKey identifies a load by service and failure domain, or by service and
// region in a usage.
type loadKey struct{ service, domain string }

// loadCounter holds totals since the start of the process.
type loadCounter struct {
	busyNanos atomic.Int64 // sum of the durations of requests
	bytes     atomic.Int64
}

// loadMeter measures the load that this instance puts on endpoints. Recording
// an outcome takes no lock.
type loadMeter struct {
	counters sync.Map // of loadKey to *loadCounter

	mu sync.Mutex
	// startedAt and measuredAt are the times of the first and of the latest
	// measurement.
	startedAt, measuredAt time.Time
	samples               map[loadKey]loadSample
}

// loadSample is the value of a counter at the latest measurement, with the
// smoothed load.
type loadSample struct {
	busyNanos, bytes int64
	load             Load
}

// addOutcome adds the duration and the bytes of one attempt of a request.
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

// measure takes a measurement at now. It returns the smoothed loads and whether
// they have been measured for at least minLoadMeasurement.
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

// smooth updates an exponentially smoothed rate per second with the amount
// counted in the elapsed time.
func smooth(previous, amount float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return previous
	}
	decay := math.Exp(-float64(elapsed) / float64(loadTimeConstant))
	return decay*previous + (1-decay)*amount/elapsed.Seconds()
}
