package quota

import (
	"time"
)

// bucket is one team's tokens at this instance.
type bucket struct {
	tokens float64
	filled time.Time
	demand float64 // requests a second
	// told is the demand that the others were last told. Parts are worked out
	// from what all know, or they would add up to more than one.
	told float64
	counted,
	window float64 // requests and seconds since demand was last averaged
	admitted tally
	// near is the demand of this instance's region, of which other regions hear
	// late.
	near trail
}

// bucket returns a team's bucket and makes one at its first request.
func (l *Limiter) bucket(team string, q Quota, now time.Time) *bucket {
	b := l.teams[team]
	if b == nil {
		b = &bucket{filled: now}
		l.teams[team] = b
		b.tokens = (firstAllowance + q.Burst*startTokens) / float64(l.fleet)
	}
	return b
}

// part returns the part of a team's quota that this instance holds.
func (l *Limiter) part(team string, b *bucket) float64 {
	near, far, delay := l.demands(team, b)
	even := 1 / float64(l.fleet)
	if near+far == 0 {
		return even
	}
	part := b.told / (near + far)
	if far > 0 && near > 0 {
		// The other regions divide by what they last heard of this one. With
		// what has come since, the parts would add up to more than one.
		known := min(near, b.near.least(delay))
		part = b.told / near * known / (known + far)
	}
	return evenPart*even + (1-evenPart)*part
}

// demands returns the demand of this instance with those that it hears of one by
// one, that of the others, which it hears of as sums, and how old these are at
// most.
func (l *Limiter) demands(team string, b *bucket) (near, far float64, delay time.Duration) {
	near = b.told
	for _, o := range l.others {
		rate := o.demand[team].Rate
		if !o.sum {
			near += rate
			continue
		}
		far += rate
		delay = max(delay, o.delay)
	}
	return near, far, delay
}

// size returns how many tokens the bucket holds at most.
func (l *Limiter) size(team string, b *bucket) float64 {
	return max(1, l.quotas[team].Burst*l.part(team, b))
}

// fill brings a bucket up to now.
func (l *Limiter) fill(team string, b *bucket, now time.Time) {
	since := now.Sub(b.filled).Seconds()
	if since <= 0 {
		return
	}
	b.filled = now
	b.average(since)
	near, _, _ := l.demands(team, b)
	b.near.keep(now, near)
	gained := l.quotas[team].Rate * l.part(team, b) * since
	b.tokens = min(b.tokens+gained, l.size(team, b))
}

// averageStep is the least time over which requests are counted before they
// change the demand, in seconds.
const averageStep = 0.1

// average takes the requests counted since the last time into the demand.
func (b *bucket) average(since float64) {
	b.window += since
	if b.window < averageStep {
		return
	}
	weight := min(1, b.window/demandWindow.Seconds())
	b.demand += weight * (b.counted/b.window - b.demand)
	if b.demand < 1e-3 {
		b.demand = 0
	}
	b.counted, b.window = 0, 0
}
