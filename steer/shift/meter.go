package shift

import (
	"hash/fnv"
	"sync/atomic"
)

// jitterDivisor limits the jitter of a request's cost to one eighth of a
// request.
const jitterDivisor = 8

// Meter splits requests between the versions so that the new version's share
// never exceeds a cap.
//
// Each request earns share. A request to the new version costs one plus a
// jitter of less than an eighth, and is sent once this cost is earned. Of the
// first n requests at most share*n go to the new version, and of any m
// consecutive requests fewer than share*m + 1, because these may begin just
// before a cost is fully earned. The one additional request per instance is
// unavoidable; otherwise a share below 1/m would never send any.
//
// The jitter prevents the new version's requests from aligning with a pattern
// in the traffic. Without it, a share of a quarter would send requests of only
// one of two alternating routes. The jitter leaves at most an eighth of the cap
// unused. It is not applied to FullShare.
//
// A Meter is lock-free and safe for concurrent use.
type Meter struct {
	share Share
	// debt is what must still be earned until the next request to the new
	// version, in parts per million of a request.
	debt atomic.Int64
	// jitterState is the state of the jitter's random number generator.
	jitterState atomic.Uint64
}

// NewMeter returns a meter for the share. The seed should differ between
// instances.
func NewMeter(share Share, seed uint64) *Meter {
	m := &Meter{share: min(share, FullShare)}
	m.jitterState.Store(seed)
	m.debt.Store(m.drawCost())
	return m
}

// Share returns the share of the meter.
func (m *Meter) Share() Share { return m.share }

// ChooseNew processes one request and reports whether the new version gets it.
func (m *Meter) ChooseNew() bool {
	for {
		debt := m.debt.Load()
		left := debt - int64(m.share)
		if left > 0 {
			if m.debt.CompareAndSwap(debt, left) {
				return false
			}
			continue
		}
		if m.debt.CompareAndSwap(debt, left+m.drawCost()) {
			return true
		}
	}
}

// drawCost returns the cost of the next request to the new version.
func (m *Meter) drawCost() int64 {
	if m.share == FullShare {
		return int64(FullShare)
	}
	return int64(FullShare) + int64(m.nextRandom()%uint64(FullShare/jitterDivisor))
}

// nextRandom returns the next number of the SplitMix64 generator (Steele, Lea,
// Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
func (m *Meter) nextRandom() uint64 {
	z := m.jitterState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// seedOf derives the seed of a meter from names.
func seedOf(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
