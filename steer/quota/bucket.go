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
func (l *Limiter) part(team string, b *bucket, now time.Time) float64 {
	even := 1 / float64(l.fleet)
	near, far := l.near(team, b), l.far(team, now)
	switch {
	case near+far.rate == 0:
		return even
	case near == 0:
		return evenPart * even
	}
	return evenPart*even + (1-evenPart)*b.told/near*l.regionPart(b, far, now)
}

// near returns the demand of this instance with those that it hears of one by
// one.
func (l *Limiter) near(team string, b *bucket) float64 {
	near := b.told
	for _, o := range l.others {
		if !o.sum {
			near += o.demand[team].Rate
		}
	}
	return near
}

// farDemand is the demand that an instance hears of as sums of regions.
type farDemand struct {
	sums int           // how many there are
	rate float64       // requests a second
	age  time.Duration // of the oldest sum
}

// far returns the demand of other regions.
func (l *Limiter) far(team string, now time.Time) farDemand {
	var far farDemand
	for _, o := range l.others {
		if o.sum {
			far.sums++
			far.rate += o.demand[team].Rate
			far.age = max(far.age, now.Sub(o.at))
		}
	}
	return far
}

// regionPart returns the part of a team's quota that this region holds: all of it
// where no sums are heard of. The other regions divide by what they last heard of
// this one. It divides by what it was as long ago as their sums are from: with
// what has come since, the parts would add up to more than one.
func (l *Limiter) regionPart(b *bucket, far farDemand, now time.Time) float64 {
	if far.sums == 0 {
		return 1
	}
	known := b.near.ago(now, far.age)
	if known+far.rate == 0 {
		// Nobody has heard of any demand yet.
		return float64(1+len(l.others)-far.sums) / float64(l.fleet)
	}
	return known / (known + far.rate)
}

// size returns how many tokens the bucket holds at most.
func (l *Limiter) size(team string, b *bucket, now time.Time) float64 {
	return max(1, l.quotas[team].Burst*l.part(team, b, now))
}

// fill brings a bucket up to now.
func (l *Limiter) fill(team string, b *bucket, now time.Time) {
	since := now.Sub(b.filled).Seconds()
	if since <= 0 {
		return
	}
	b.filled = now
	b.average(since)
	b.near.keep(now, l.near(team, b))
	gained := l.quotas[team].Rate * l.part(team, b, now) * since
	b.tokens = min(b.tokens+gained, l.size(team, b, now))
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
