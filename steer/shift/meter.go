package shift

import (
	"hash/fnv"
	"sync/atomic"
)

// jitterDivisor bounds the jitter of a request's cost to its eighth part.
const jitterDivisor = 8

// Meter deals out requests to the new version under an exact cap.
//
// Every request earns share; a request to the new version costs one and a jitter
// below an eighth, and is sent once the cost is earned. Of the first n requests
// at most share*n go to the new version, and of any run of m requests fewer than
// share*m + 1: the run may begin just before a cost is earned. That one request
// per instance can not be avoided, or else a share below 1/m would never send
// any.
//
// The jitter keeps the new version's requests from falling into step with a
// pattern of the callers': without it, a share of a quarter would send only one
// of two routes whose requests alternate. It leaves an eighth of the cap unused
// at worst, and nothing of Whole.
//
// A Meter is lock-free and may be used by many goroutines.
type Meter struct {
	share Share
	// debt is what is still to be earned, in parts per million of a request.
	debt atomic.Int64
	// jitterState is the state of the jitter's generator.
	jitterState atomic.Uint64
}

// NewMeter returns a meter that has dealt nothing yet. The seed should differ
// between instances.
func NewMeter(share Share, seed uint64) *Meter {
	m := &Meter{share: min(share, FullShare)}
	m.jitterState.Store(seed)
	m.debt.Store(m.drawCost())
	return m
}

// Share returns the share that the meter keeps to.
func (m *Meter) Share() Share { return m.share }

// ChooseNew deals out one request and reports whether the new version gets it.
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

// drawCost draws the drawCost of a request.
func (m *Meter) drawCost() int64 {
	if m.share == FullShare {
		return int64(FullShare)
	}
	return int64(FullShare) + int64(m.nextRandom()%uint64(FullShare/jitterDivisor))
}

// nextRandom returns the next number of the generator SplitMix64 (Steele, Lea, Flood,
// "Fast Splittable Pseudorandom Number Generators", 2014).
func (m *Meter) nextRandom() uint64 {
	z := m.jitterState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// seedOf derives a meter's seed from names.
func seedOf(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
