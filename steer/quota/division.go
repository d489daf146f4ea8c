package quota

import (
	"time"
)

const (
	// sampleInterval is the time between two samples of the demand.
	sampleInterval = 500 * time.Millisecond
	// lagMargin covers the network latency and late timers.
	lagMargin = 400 * time.Millisecond
	// minReportDelay is the time between two reports that is assumed at least.
	minReportDelay = 600 * time.Millisecond
	// maxSamples is the number of samples that are kept.
	maxSamples = 8
	// touchReports is the number of reports that must be missing for a peer to be
	// out of touch.
	touchReports = 2
	// An instance and a peer that are out of touch hold the shares of their last
	// contact. From yieldAfter on, what exceeds an even share is given up, and
	// from takeAfter on the other side may use it. The difference covers that
	// both sides notice the loss of contact at different times.
	yieldAfter = 7500 * time.Millisecond
	takeAfter  = 15 * time.Second
	// restartedFraction is the fraction of an even share that is left to each
	// instance that is out of touch, since it may have restarted.
	restartedFraction = 0.5
)

// sample is the demand by team at a time.
type sample struct {
	at    time.Time
	rates map[string]float64
}

// samples are the last samples, the newest last.
type samples []sample

// add adds a sample that is newer than the others.
func (s *samples) add(n sample) {
	if len(*s) > 0 && !n.at.After((*s)[len(*s)-1].at) {
		return
	}
	if len(*s) == maxSamples {
		*s = (*s)[1:]
	}
	*s = append(*s, n)
}

// at returns the last sample that is not newer than t, or nil.
func (s samples) at(t time.Time) *sample {
	for i := len(s) - 1; i >= 0; i-- {
		if !s[i].at.After(t) {
			return &s[i]
		}
	}
	return nil
}

// next returns the time of the first sample that is newer than t, or the zero time.
func (s samples) next(t time.Time) time.Time {
	for _, n := range s {
		if n.at.After(t) {
			return n.at
		}
	}
	return time.Time{}
}

// outOfTouch returns for how long a peer has been out of touch, or 0 if it is in
// touch. One that is back counts as in touch once samples from then are in use.
func (r report) outOfTouch(now time.Time, lag time.Duration) time.Duration {
	silence := r.silence(now)
	switch {
	case silence > touchReports*r.delay:
		return silence
	case !r.backAt.IsZero() && now.Sub(r.backAt) <= lag+sampleInterval:
		return r.lostFor
	}
	return 0
}

// division is how the quotas are divided at a time, as this instance sees it.
// Each known instance is in one of these states:
//   - divides: it is in touch, and the part that is left by the others is divided
//     by demand among these instances;
//   - new: it has run for less than the lag and holds an even share;
//   - out of touch: it holds the share that it had at the last contact.
type division struct {
	even      float64 // share of each known instance
	isNew     bool    // this instance is new
	own       *sample
	inTouch   []*sample
	newcomers int
	unheard   int  // newcomers of which nothing is known
	isAlone   bool // some are unheard although their reports are due
	silent    []silentPeer
	until     time.Time // it is to be computed again from then on
}

// silentPeer is a peer that is out of touch.
type silentPeer struct {
	parts   Demand // as last reported
	silence time.Duration
}

// division returns how the quotas are divided now.
func (l *Limiter) division(now time.Time) *division {
	if l.divided == nil || !now.Before(l.divided.until) {
		l.divided = l.divide(now)
	}
	return l.divided
}

// divide computes how the quotas are divided now.
func (l *Limiter) divide(now time.Time) *division {
	lag := l.lag
	effective := now.Add(-lag)
	d := &division{even: 1 / float64(l.instances), own: l.samples.at(effective), until: now.Add(sampleInterval)}
	d.isNew = d.own == nil
	d.changesAt(l.samples.next(effective).Add(lag), now)
	d.unheard = max(0, l.instances-1-len(l.reports))
	d.newcomers = d.unheard
	heardBy := l.startedAt.Add(minReportDelay)
	d.isAlone = d.unheard > 0 && !now.Before(heardBy)
	d.changesAt(heardBy, now)
	for _, o := range l.reports {
		d.changesAt(o.samples.next(effective).Add(lag), now)
		d.changesAt(o.lostAt(), now)
		d.changesAt(o.backAt.Add(lag+sampleInterval), now)
		if silence := o.outOfTouch(now, lag); silence > 0 {
			d.silent = append(d.silent, silentPeer{o.demand, silence})
			continue
		}
		if s := o.samples.at(effective); s != nil && !o.heardAt.IsZero() {
			d.inTouch = append(d.inTouch, s)
		} else {
			d.newcomers++
		}
	}
	return d
}

// changesAt records that the division changes at a time.
func (d *division) changesAt(at, now time.Time) {
	if at.After(now) && at.Before(d.until) {
		d.until = at
	}
}

// share returns this instance's share of a team's quota.
func (d *division) share(team string) float64 {
	switch {
	case d.isNew && d.isAlone:
		return d.restartedShare()
	case d.isNew:
		return d.even
	}
	left := 1 - float64(d.newcomers)*d.even
	for _, p := range d.silent {
		left -= p.reserved(team, d.even)
	}
	left = max(0, left)
	own, total := d.own.rates[team], d.own.rates[team]
	for _, s := range d.inTouch {
		total += s.rates[team]
	}
	evenShare := 1 / float64(1+len(d.inTouch))
	share := left * evenShare
	if total > 0 {
		share = left * (evenFraction*evenShare + (1-evenFraction)*own/total)
	}
	if d.unheard > 0 {
		return min(share, d.restartedShare()) // they may hold more than an even share
	}
	return share
}

// restartedShare returns the share of an instance that has run for some time and
// not heard of all others. Those that remember its predecessor leave it as much.
func (d *division) restartedShare() float64 { return restartedFraction * d.even }

// reserved returns the share that a peer that is out of touch may hold. Both sides
// of a partition compute it for each other.
func (p silentPeer) reserved(team string, even float64) float64 {
	u, ok := p.parts[team]
	part := u.Part
	if !ok || part == 0 {
		part = even // an instance of an older version
	}
	switch {
	case p.silence < yieldAfter:
		return max(part, restartedFraction*even)
	case p.silence < takeAfter:
		return max(part, even)
	}
	return even
}
