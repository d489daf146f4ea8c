package shift

import "sync/atomic"

// Meter deals out requests to the new version at an exact share.
//
// Request number n goes to the new version when floor(share*n) rises there
// (Bresenham's rule). Of the first n requests at most share*n go to the new
// version, and of any run of m requests fewer than share*m + 1: the run may begin
// just before a rise. That one request per instance can not be avoided without
// splitting a request, or else a share below 1/m would never send any.
//
// A Meter is lock-free and may be used by many goroutines.
type Meter struct {
	share Share
	dealt atomic.Uint64
}

// NewMeter returns a meter that has dealt nothing yet.
func NewMeter(share Share) *Meter {
	return &Meter{share: min(share, Whole)}
}

// Share returns the share that the meter keeps to.
func (m *Meter) Share() Share { return m.share }

// Next deals out one request and reports whether the new version gets it.
func (m *Meter) Next() bool {
	n := (m.dealt.Add(1) - 1) % uint64(Whole)
	before := n * uint64(m.share) / uint64(Whole)
	after := (n + 1) * uint64(m.share) / uint64(Whole)
	return after > before
}
