package quota

import (
	"time"
)

// bucket is one team's token bucket at this instance.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	demand     float64 // requests per second
	// reported is the demand in the last sample.
	reported float64
	pendingRequests,
	pendingSeconds float64 // requests and seconds since demand was last updated
	admitted tally
	// regionHistory holds the recent demand of this instance's region, because
	// other regions know it only with a delay.
	regionHistory history
}

// bucket returns a team's bucket and creates it at the team's first request. It
// holds what has accrued since the quota is in force here and no more: what a
// predecessor of this process has admitted is not known.
func (l *Limiter) bucket(team string, q Quota, now time.Time) *bucket {
	b := l.teams[team]
	if b == nil {
		b = &bucket{refilledAt: now}
		l.teams[team] = b
		accrued := now.Sub(l.since[team]).Seconds() * q.Rate
		b.tokens = min((startupAllowance+accrued)/float64(l.instances), l.capacity(team, b, now))
	}
	return b
}

// share returns the share of a team's quota that this instance holds, 0 to 1.
func (l *Limiter) share(team string, b *bucket, now time.Time) float64 {
	if !l.hasSums {
		return l.division(now).share(team)
	}
	evenShare := 1 / float64(l.instances)
	regional, remote := l.regionDemand(team, b), l.remoteDemand(team, now)
	switch {
	case regional+remote.rate == 0:
		return evenShare
	case regional == 0:
		return evenFraction * evenShare
	}
	return evenFraction*evenShare + (1-evenFraction)*b.reported/regional*l.regionShare(b, remote, now)
}

// regionDemand returns the demand of this instance's region: its own and that
// of the peers that report to it individually.
func (l *Limiter) regionDemand(team string, b *bucket) float64 {
	rate := b.reported
	for _, o := range l.reports {
		if !o.isRegion {
			rate += o.demand[team].Rate
		}
	}
	return rate
}

// remoteTotal is the demand that was received as sums over regions.
type remoteTotal struct {
	regions int           // number of sums
	rate    float64       // requests per second
	age     time.Duration // of the oldest sum
}

// remoteDemand returns the demand of other regions.
func (l *Limiter) remoteDemand(team string, now time.Time) remoteTotal {
	var remote remoteTotal
	for _, o := range l.reports {
		if o.isRegion {
			remote.regions++
			remote.rate += o.demand[team].Rate
			remote.age = max(remote.age, now.Sub(o.measuredAt))
		}
	}
	return remote
}

// regionShare returns the share of a team's quota that this region holds, which
// is all of it if no sums of other regions have been received. The other
// regions compute their shares from the last sum that they received from this
// one. So this region uses its demand as of the age of their sums: with newer
// demand, the shares would add up to more than one.
func (l *Limiter) regionShare(b *bucket, remote remoteTotal, now time.Time) float64 {
	if remote.regions == 0 {
		return 1
	}
	regional := b.regionHistory.ago(now, remote.age)
	if regional+remote.rate == 0 {
		// No demand has been reported yet.
		return float64(1+len(l.reports)-remote.regions) / float64(l.instances)
	}
	return regional / (regional + remote.rate)
}

// capacity returns the maximum number of tokens in the bucket.
func (l *Limiter) capacity(team string, b *bucket, now time.Time) float64 {
	return max(1, l.quotas[team].Burst*l.share(team, b, now))
}

// refill adds the tokens earned since the last refill and updates the demand.
func (l *Limiter) refill(team string, b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.updateDemand(elapsed)
	b.regionHistory.set(now, l.regionDemand(team, b))
	gained := l.quotas[team].Rate * l.share(team, b, now) * elapsed
	b.tokens = min(b.tokens+gained, l.capacity(team, b, now))
}

// minDemandInterval is the shortest time, in seconds, over which requests are
// counted before the demand is updated.
const minDemandInterval = 0.1

// updateDemand averages the requests counted since the last update into the
// demand.
func (b *bucket) updateDemand(elapsed float64) {
	b.pendingSeconds += elapsed
	if b.pendingSeconds < minDemandInterval {
		return
	}
	weight := min(1, b.pendingSeconds/demandWindow.Seconds())
	b.demand += weight * (b.pendingRequests/b.pendingSeconds - b.demand)
	if b.demand < 1e-3 {
		b.demand = 0
	}
	b.pendingRequests, b.pendingSeconds = 0, 0
}
