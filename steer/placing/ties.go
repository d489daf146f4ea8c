package placing

import (
	"math/rand/v2"
	"sync"
)

// lockedSource is a random source that the shards share.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source // nil for none
}

// draw returns the next number and whether there is a source.
func (l *lockedSource) draw() (uint64, bool) {
	if l.source == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Uint64(), true
}

// tieBreak returns the part of a candidate's score that breaks near ties, in seconds:
// up to half of Rules.TieMargin of its work, more or less. Many instances may know the
// same report of an endpoint, so each breaks ties by its own random source. It is 0
// for an endpoint that does not report how long work takes.
func (s *search) tieBreak(e *endpoint, service float64) float64 {
	if !e.reportsWorkTime() {
		return 0
	}
	if !s.drawn {
		s.drawn = true
		s.number, s.breaksTies = s.random.draw()
	}
	if !s.breaksTies {
		return 0
	}
	const fractionBits = 53 // of a float64
	part := float64(mixHashes(e.hash, s.number)>>(64-fractionBits)) / (1 << fractionBits)
	return (part - 0.5) * s.rules.TieMargin * service
}
