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
	own := b.told
	total := own
	for _, o := range l.others {
		total += o.demand[team].Rate
	}
	even := 1 / float64(l.fleet)
	if total == 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/total
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
