package ratelimit

import "time"

// Bucket is a token bucket. It is full at first.
type Bucket struct {
	size       float64
	missing    float64
	refilledAt time.Time
}

// NewBucket returns a bucket that holds a number of tokens, 1 or more.
func NewBucket(size int) Bucket { return Bucket{size: float64(size)} }

// Wait returns the time until a token is there, 0 if one is. perSecond is the rate
// at which tokens are added.
func (b *Bucket) Wait(now time.Time, perSecond float64) time.Duration {
	b.missing = max(0, b.missing-perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	return max(0, time.Duration((b.missing+1-b.size)/perSecond*float64(time.Second)))
}

// Ready reports whether a token is there.
func (b *Bucket) Ready(now time.Time, perSecond float64) bool { return b.Wait(now, perSecond) == 0 }

// Take takes a token.
func (b *Bucket) Take(now time.Time, perSecond float64) {
	b.Wait(now, perSecond)
	b.missing++
}
