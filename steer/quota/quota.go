// Package quota limits each team to its rate and burst over all instances
// together. Each instance holds a share of the quota that follows where the
// team's requests arrive.
//
// Each instance reports the demand that it sees to its peers. Its share of a
// team's quota is its share of the total demand some time ago, which all instances
// in touch know, so that their shares add up to one. Instances that lose touch hold
// the shares of their last contact, and the others divide what is left. A new
// process can't know what its predecessor admitted: its buckets start empty.
//
// Where demand is received as sums over regions, the shares may add up to slightly
// more or less than one between two reports. The package serves quotas that
// tolerate some excess; package limit serves those that tolerate none.
//
// A Limiter does no I/O, takes the time as an argument and is safe for
// concurrent use.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which demand is averaged. A shorter window
	// adapts faster when callers move; a longer one is steadier.
	demandWindow = 2 * time.Second
	// evenFraction is the fraction of a quota that is divided evenly, so that a
	// first request finds a token at any instance.
	evenFraction = 0.1
	// startupAllowance is the number of requests that all instances together
	// may admit before tokens have accrued, so that a team's first requests are
	// admitted at any instance.
	startupAllowance = 4
	// Window is the time over which instances count admitted requests. It is
	// the window of the users' limit on excess requests.
	Window = 5 * time.Second
	// lightUseFraction is the fraction of a quota's window below which a
	// request needs no token. The rest covers the error in estimating what
	// peers have admitted since their last report.
	lightUseFraction = 0.8
	// windowMargin is the number of requests in a window that need no token beyond
	// that, for small teams.
	windowMargin = 10
	// lightUseMargin is the number of requests that all instances together may
	// admit in advance. With startupAllowance and youngMargin for two restarts
	// of all instances in a window, it is the excess that the users allow.
	lightUseMargin = 8
	// youngMargin replaces it in the first window after the start.
	youngMargin = 3
	// minDebt is the least number of tokens that an instance may owe for
	// requests admitted without a token, so that a small team's requests are
	// not refused one by one.
	minDebt = 5
)

// Quota is what a team may send over all instances together.
type Quota struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is how many requests may arrive at once.
	Burst float64
}

// Usage is what one instance observes of one team.
type Usage struct {
	// Rate is the arriving requests per second.
	Rate float64 `json:"r"`
	// Admitted is the number of requests admitted in the last Window.
	Admitted int `json:"a,omitempty"`
	// Part is the share of the quota that the instance holds, or the sum of
	// several instances' shares.
	Part float64 `json:"p,omitempty"`
	// Spent is how many tokens are missing for full buckets.
	Spent float64 `json:"s,omitempty"`
}

// Demand is what one instance, or the sum of several, observes, by team.
type Demand map[string]Usage

// Add adds the demand of another instance.
func (d Demand) Add(o Demand) {
	for team, u := range o {
		sum := d[team]
		d[team] = Usage{Rate: sum.Rate + u.Rate, Admitted: sum.Admitted + u.Admitted, Part: sum.Part + u.Part, Spent: sum.Spent + u.Spent}
	}
}

// report is the last reported demand of a peer, or the sum of a region.
type report struct {
	demand     Demand
	isRegion   bool
	receivedAt time.Time
	measuredAt time.Time
	heardAt    time.Time     // when the peer last received a report of this instance, by its word
	delay      time.Duration // maximum time between two reports
	samples    samples
	// backAt is when the peer was last back in touch, and lostFor how long it had
	// been out of touch.
	backAt  time.Time
	lostFor time.Duration
}

// silence returns for how long the peer has been out of touch: since the last
// report from it, or since the last one of this instance that it has received.
func (r report) silence(now time.Time) time.Duration {
	if r.heardAt.IsZero() {
		return now.Sub(r.receivedAt)
	}
	return max(now.Sub(r.receivedAt), now.Sub(r.heardAt)-r.delay)
}

// lostAt returns when the peer is out of touch if no report follows.
func (r report) lostAt() time.Time {
	lost := r.receivedAt
	if heard := r.heardAt.Add(r.delay); !r.heardAt.IsZero() && heard.Before(lost) {
		lost = heard
	}
	return lost.Add(touchReports*r.delay + 1)
}

// Limiter holds one instance's share of all quotas.
type Limiter struct {
	mu              sync.Mutex
	quotas          map[string]Quota
	since           map[string]time.Time // since when each quota is in force here
	startedAt       time.Time            // when the first quotas came into force
	teams           map[string]*bucket
	reports         map[string]report
	samples         samples
	departed        []departure
	divided         *division     // in use, nil if it is to be computed
	instances       int           // instances that hold a share, including this one
	expectedReports int           // reports needed to know the total demand
	hasSums         bool          // whether demand is received as sums over regions
	lag             time.Duration // age of the demand by which quotas are divided
}

// reportsChanged updates what depends on the set of reports. All instances that are
// in touch have the samples of age lag, so they divide by the same values and their
// shares add up to one, however the demand changes. The caller holds mu.
func (l *Limiter) reportsChanged() {
	l.hasSums = false
	delay := minReportDelay
	for _, o := range l.reports {
		l.hasSums = l.hasSums || o.isRegion
		delay = max(delay, o.delay)
	}
	l.lag = sampleInterval + delay + lagMargin
}

// departure is what a process that ended had admitted.
type departure struct {
	demand Demand
	at     time.Time
}

// assumedInstances is the number of instances that is assumed until it is known.
const assumedInstances = 300

// New returns a limiter without quotas. SetFleet must follow.
func New() *Limiter {
	l := &Limiter{
		quotas: map[string]Quota{}, since: map[string]time.Time{}, teams: map[string]*bucket{}, reports: map[string]report{}, instances: assumedInstances,
	}
	l.reportsChanged()
	return l
}

// SetQuotas replaces the quotas with those of a new catalog.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	for name, b := range l.teams {
		l.refill(name, b, now)
	}
	l.quotas = quotas
	for name, b := range l.teams {
		if _, ok := quotas[name]; !ok {
			delete(l.teams, name)
			continue
		}
		l.refill(name, b, now)
	}
	for name := range l.since {
		if _, ok := quotas[name]; !ok {
			delete(l.since, name)
		}
	}
	for name := range quotas {
		if _, ok := l.since[name]; !ok {
			l.since[name] = now
		}
	}
}

// SetFleet sets how many instances may hold a share, including this one, and how
// many reports from peers and regions make up the total demand.
func (l *Limiter) SetFleet(instances, reports int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instances != max(1, instances) {
		l.divided = nil
	}
	l.instances, l.expectedReports = max(1, instances), reports
}

// PeerReport is what a peer reports of itself.
type PeerReport struct {
	Demand Demand
	// MeasuredAt is when the demand was sampled.
	MeasuredAt time.Time
	// HeardAt is when the peer last received a report of this instance, by its
	// own word, or zero if it never has.
	HeardAt time.Time
	// Delay is the time within which the next report is due.
	Delay time.Duration
}

// SetPeerDemand stores the report of a peer that was received at a time.
func (l *Limiter) SetPeerDemand(name string, p PeerReport, receivedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := report{demand: p.Demand, receivedAt: receivedAt, measuredAt: p.MeasuredAt, heardAt: p.HeardAt, delay: p.Delay}
	known, ok := l.reports[name]
	if ok && !known.isRegion {
		r.samples, r.backAt, r.lostFor = known.samples, known.backAt, known.lostFor
		if silence := known.silence(receivedAt); silence > touchReports*known.delay && !known.heardAt.IsZero() {
			r.backAt, r.lostFor = receivedAt, silence
		}
	}
	r.samples.add(sample{at: p.MeasuredAt, rates: p.Demand.rates()})
	l.reports[name] = r
	if !ok || known.delay != r.delay || known.isRegion {
		l.reportsChanged()
	}
	lag := l.lag
	isSteady := ok && r.backAt.Equal(known.backAt) && known.outOfTouch(receivedAt, lag) == 0 && r.outOfTouch(receivedAt, lag) == 0
	if l.divided != nil && isSteady && !known.heardAt.IsZero() && !r.heardAt.IsZero() {
		// The new sample counts later.
		l.divided.changesAt(p.MeasuredAt.Add(lag), receivedAt)
		return
	}
	l.divided = nil
}

// rates returns the arriving requests per second, by team.
func (d Demand) rates() map[string]float64 {
	rates := make(map[string]float64, len(d))
	for team, u := range d {
		if u.Rate > 0 {
			rates[team] = u.Rate
		}
	}
	return rates
}

// SetRegionDemand stores the sum of the demand in another region, measured at a
// time. The next report is due within delay. Reports between the two regions are
// equally delayed in both directions, on which regionShare relies.
func (l *Limiter) SetRegionDemand(region string, d Demand, at time.Time, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.reports[region]
	l.reports[region] = report{demand: d, isRegion: true, receivedAt: at, heardAt: at, measuredAt: at, delay: delay}
	if !known {
		l.reportsChanged()
	}
}

// RemovePeer releases the share of an instance that has been removed.
func (l *Limiter) RemovePeer(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, instance)
	l.reportsChanged()
	l.divided = nil
}

// PeerRestarted records that a peer's process was replaced. What the former one
// admitted still counts.
func (l *Limiter) PeerRestarted(instance string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.reports[instance]; ok {
		l.departed = append(l.departed, departure{r.demand, now})
		delete(l.reports, instance)
		l.reportsChanged()
		l.divided = nil
	}
}

// departedUsage returns how many of a team's requests former processes of peers
// have admitted, and forgets those that ended long ago.
func (l *Limiter) departedUsage(team string, now time.Time) float64 {
	recent, admitted := l.departed[:0], 0
	for _, d := range l.departed {
		if now.Sub(d.at) < Window {
			recent = append(recent, d)
			admitted += d.demand[team].Admitted
		}
	}
	l.departed = recent
	return float64(admitted)
}

// Decision is the result of checking a request against its team's quota.
type Decision struct {
	// Allowed reports whether the request is admitted.
	Allowed bool
	// RetryAfter is the time until a token is available, for a refused request.
	RetryAfter time.Duration
	// Share is the share of the quota that this instance holds, 0 to 1.
	Share float64
	// Tokens is the number of tokens left.
	Tokens float64
}

// Take takes a token for a request of a team.
func (l *Limiter) Take(team string, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok || q.Rate <= 0 {
		return Decision{Allowed: true, Share: 1}
	}
	b := l.bucket(team, q, now)
	l.refill(team, b, now)
	b.pendingRequests++
	share := l.share(team, b, now)
	if b.tokens < 1 && !l.lightlyUsed(team, q, b, now) {
		missing := (1 - b.tokens) / (q.Rate * share)
		return Decision{Share: share, Tokens: b.tokens, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	b.tokens--
	b.admitted.add(now)
	return Decision{Allowed: true, Share: share, Tokens: b.tokens}
}

// perWindow returns how many requests the quota allows in a window.
func (q Quota) perWindow() float64 { return q.Rate*Window.Seconds() + q.Burst }

// lightlyUsed reports whether one more request, for which this instance has no
// token, is within what all instances together may admit: their buckets together
// have a token, and few requests were admitted in the last window, whatever the
// peers have admitted since their last reports. So what was admitted until any
// moment is within the rate and the burst, and new processes with empty buckets may
// follow.
func (l *Limiter) lightlyUsed(team string, q Quota, b *bucket, now time.Time) bool {
	if len(l.reports) < l.expectedReports {
		return false
	}
	share := l.share(team, b, now)
	if debt := max(minDebt, share*max(q.Rate, q.Burst)*Window.Seconds()); b.tokens-1 < -debt {
		return false
	}
	used, ok := l.fleetUsage(team, q, b, now)
	if !ok {
		return false
	}
	// Assume that since their last reports the peers have admitted as many
	// requests as this instance has, in proportion to their shares: a team that
	// begins to send more does so everywhere.
	remote := l.remoteDemand(team, now)
	regionShare := l.regionShare(b, remote, now)
	even := 1 / float64(l.instances)
	switch {
	case used.rate == 0 || b.reported == 0:
		// The demand of this instance or of its peers is not reported yet, so the
		// shares say nothing about where the requests arrive.
		share = max(share, even)
	case !l.hasSums:
		// The share follows the demand with a lag.
		share = max(share, evenFraction*even+(1-evenFraction)*b.reported/(b.reported+used.rate))
	}
	admittedSince := func(age time.Duration) float64 { return float64(max(0, b.admitted.recent(now, age)-1)) }
	unreported := max(used.unreported, (admittedSince(used.localDelay)*regionShare+admittedSince(remote.age)*(1-regionShare))/share)
	if used.admitted+unreported > lightUseFraction*q.perWindow()+windowMargin {
		return false
	}
	if l.hasSums {
		// Sums are too old to tell what the buckets hold. A predecessor may have
		// used the rest of the window.
		return used.admitted+unreported <= startupAllowance+q.Rate*now.Sub(l.since[team]).Seconds()
	}
	gained, limit := q.Rate*used.localDelay.Seconds(), q.Burst+youngMargin
	if now.Sub(l.startedAt) >= Window {
		// Before, a predecessor may have used the margin.
		limit = q.Burst + lightUseMargin
	}
	return used.spent+max(0, unreported-gained)+1 <= limit
}

// usage is what all instances together have used of a quota.
type usage struct {
	admitted   float64       // requests in the last window
	spent      float64       // tokens that are missing for full buckets
	rate       float64       // demand of the peers
	unreported float64       // requests that peers may have admitted since their reports
	localDelay time.Duration // maximum time between two reports in this region
}

// fleetUsage returns what all instances together have used of a team's quota. It
// reports false if a part of the fleet is not known.
func (l *Limiter) fleetUsage(team string, q Quota, b *bucket, now time.Time) (usage, bool) {
	even := 1 / float64(l.instances)
	u := usage{
		admitted: float64(b.admitted.sum(now)) + l.departedUsage(team, now),
		spent:    l.spent(team, b, now),
	}
	if !l.hasSums {
		u.spent += float64(max(0, l.instances-1-len(l.reports))) * even * q.Burst
	}
	for _, o := range l.reports {
		known := o.demand[team]
		if silence := o.outOfTouch(now, l.lag); silence > 0 {
			if o.isRegion {
				return u, false
			}
			part := silentPeer{o.demand, silence}.reserved(team, even)
			u.admitted += part * q.perWindow()
			u.spent += part * q.Burst
			continue
		}
		u.admitted += float64(known.Admitted)
		u.spent += known.Spent
		u.rate += known.Rate
		u.unreported += known.Rate * min(o.delay, now.Sub(o.measuredAt)).Seconds()
		if !o.isRegion {
			u.localDelay = max(u.localDelay, o.delay)
		}
	}
	return u, true
}

// spent returns how many tokens are missing for a full bucket. The caller holds
// mu.
func (l *Limiter) spent(team string, b *bucket, now time.Time) float64 {
	return max(0, l.quotas[team].Burst*l.share(team, b, now)-b.tokens)
}

// takeSample samples the demand if that is due. For sums it always is, since they
// are told apart by their age. The caller holds mu.
func (l *Limiter) takeSample(now time.Time) {
	if len(l.samples) > 0 && now.Sub(l.samples[len(l.samples)-1].at) < sampleInterval && !l.hasSums {
		return
	}
	rates := make(map[string]float64, len(l.teams))
	for name, b := range l.teams {
		l.refill(name, b, now)
		if b.reported = math.Round(b.demand*100) / 100; b.reported > 0 {
			rates[name] = b.reported
		}
	}
	l.samples.add(sample{at: now, rates: rates})
}

// ReportDemand returns the demand in the last sample for a report to the peers,
// and when it was taken.
func (l *Limiter) ReportDemand(now time.Time) (Demand, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeSample(now)
	d := make(Demand, len(l.teams))
	last := l.samples[len(l.samples)-1]
	sums, division := l.hasSums, l.division(now)
	for name := range l.quotas {
		u := Usage{Rate: last.rates[name]}
		if !sums {
			u.Part = division.share(name)
		}
		if b := l.teams[name]; b != nil {
			u.Admitted, u.Spent = b.admitted.sum(now), math.Round(l.spent(name, b, now)*100)/100
		}
		if u != (Usage{}) {
			d[name] = u
		}
	}
	return d, last.at
}
