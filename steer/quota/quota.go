// Package quota holds each team to its rate and burst over all instances
// together, by parts that follow where the team's requests arrive.
//
// Each instance tells the others the demand that it sees. An instance's part
// of a team's quota is its part of the whole demand, so that instances which
// know the same hold parts that add up to one. An instance that is not heard
// of keeps its part set aside until it is known to be gone. Nothing is agreed
// on: between two messages the parts may add up to a little more or less,
// which is why this serves quotas that allow some excess; package limit is for
// those that allow none.
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
	// demandWindow is the time over which demand is averaged. A shorter one
	// follows callers that move faster; a longer one is steadier.
	demandWindow = 2 * time.Second
	// evenFraction is the part of a quota that is dealt out evenly, so that a
	// first request has a token wherever it arrives.
	evenFraction = 0.1
	// initialTokenFraction is the part of an even part of the burst that a new instance
	// begins with. The rest may have been spent by the one that it replaces.
	initialTokenFraction = 0.8
	// startupAllowance is what all instances together may admit beyond the burst,
	// so that a team's first requests are taken wherever they arrive. It is
	// half of the excess that the users allow.
	startupAllowance = 10
	// Window is the time over which the instances count what they let through.
	// It is that of the users' bound.
	Window = 5 * time.Second
	// lightUseFraction is the part of a quota's window below which a request needs no
	// token. The rest covers the error of the guess at what others let through
	// since they last told.
	lightUseFraction = 0.8
	// minDebt is what an instance may owe at least for requests that needed no
	// token, so that those of a small team are not refused one by one.
	minDebt = 5
)

// Quota is what a team may send over all instances together.
type Quota struct {
	// Rate is in requests per second; 0 is no limit.
	Rate float64
	// Burst is how many may come at once.
	Burst float64
}

// Usage is what one instance sees of one team.
type Usage struct {
	// Rate is the requests that arrive, per second.
	Rate float64 `json:"r"`
	// Admitted is how many were let through in the last Window.
	Admitted int `json:"a,omitempty"`
}

// Demand is what one instance sees of each team.
type Demand map[string]Usage

// Add adds another instance's demand.
func (d Demand) Add(o Demand) {
	for team, u := range o {
		sum := d[team]
		d[team] = Usage{Rate: sum.Rate + u.Rate, Admitted: sum.Admitted + u.Admitted}
	}
}

// report is the demand of another instance, or the sum of a region's.
type report struct {
	demand     Demand
	isRegion   bool
	measuredAt time.Time
	delay      time.Duration
}

// Limiter is one instance's part of all quotas.
type Limiter struct {
	mu              sync.Mutex
	quotas          map[string]Quota
	teams           map[string]*bucket
	reports         map[string]report
	instances       int // instances that hold a part, this one included
	expectedReports int // how many others' demands make up that of all
}

// New returns a limiter without quotas, in a fleet of one.
func New() *Limiter {
	return &Limiter{quotas: map[string]Quota{}, teams: map[string]*bucket{}, reports: map[string]report{}, instances: 1}
}

// SetQuotas takes in the quotas of a new catalog.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
}

// SetFleet takes in how many instances hold a part, this one included, and how
// many demands of others make up that of all.
func (l *Limiter) SetFleet(instances, reports int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances, l.expectedReports = max(1, instances), reports
}

// SetPeerDemand takes in the demand that another instance saw at a moment. A newer
// word comes within delay.
func (l *Limiter) SetPeerDemand(name string, d Demand, at time.Time, delay time.Duration) {
	l.setReport(name, report{demand: d, measuredAt: at, delay: delay})
}

// SetRegionDemand takes in the sum of what the instances of another region saw. They hear
// of this region's demand as late as this one of theirs.
func (l *Limiter) SetRegionDemand(region string, d Demand, at time.Time, delay time.Duration) {
	l.setReport(region, report{demand: d, isRegion: true, measuredAt: at, delay: delay})
}

func (l *Limiter) setReport(name string, r report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[name] = r
}

// RemovePeer gives up the part of an instance that is gone.
func (l *Limiter) RemovePeer(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, instance)
}

// Decision says whether a request is within its team's quota.
type Decision struct {
	// Allowed says that the request took a token.
	Allowed bool
	// RetryAfter is when a token will be there, for a request that was refused.
	RetryAfter time.Duration
	// Share is the part of the quota that this instance holds, 0 to 1.
	Share float64
	// Tokens is what is left.
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
	b.tokens = max(b.tokens-1, -max(minDebt, share*max(q.Rate, q.Burst)*Window.Seconds()))
	b.admitted.add(now)
	return Decision{Allowed: true, Share: share, Tokens: b.tokens}
}

// lightlyUsed says whether all instances together have let through so little of a
// team that one more is within its quota, whatever they have let through since
// they last told.
func (l *Limiter) lightlyUsed(team string, q Quota, b *bucket, now time.Time) bool {
	if len(l.reports) < l.expectedReports {
		return false
	}
	admitted, unreported, localDelay := float64(b.admitted.sum(now)), 0.0, time.Duration(0)
	for _, o := range l.reports {
		if now.Sub(o.measuredAt) > 2*o.delay {
			return false
		}
		admitted += float64(o.demand[team].Admitted)
		unreported += o.demand[team].Rate * o.delay.Seconds()
		if !o.isRegion {
			localDelay = max(localDelay, o.delay)
		}
	}
	// The others are taken to have let through as many as this instance did, by
	// their parts, since they last told: a team that begins to send more does so
	// everywhere.
	remote := l.remoteDemand(team, now)
	share, regionShare := l.share(team, b, now), l.regionShare(b, remote, now)
	admittedSince := func(age time.Duration) float64 { return float64(max(0, b.admitted.recent(now, age)-1)) }
	unreported = max(unreported, (admittedSince(localDelay)*regionShare+admittedSince(remote.age)*(1-regionShare))/share)
	return admitted+unreported <= lightUseFraction*(q.Rate*Window.Seconds()+q.Burst)+startupAllowance
}

// ReportDemand returns what this instance sees, for the others.
func (l *Limiter) ReportDemand(now time.Time) Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := make(Demand, len(l.teams))
	for name, b := range l.teams {
		l.refill(name, b, now)
		b.reported = 0
		if b.demand > 0 {
			b.reported = math.Round(b.demand*100) / 100
			d[name] = Usage{Rate: b.reported, Admitted: b.admitted.sum(now)}
		}
	}
	return d
}
