package limit

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// shardCount is the number of parts that the teams are spread over, each under
// its own lock. It is a power of two.
const shardCount = 32

// noLeaseRetryAfter is how long a caller is told to stay away from an instance
// whose lease has ended.
const noLeaseRetryAfter = time.Second

// Limiter holds the buckets of all teams at one instance. It is safe for
// concurrent use.
type Limiter struct {
	lease  atomic.Pointer[lease]
	shards [shardCount]shard
}

// lease is the instance's right to use its parts.
type lease struct {
	until time.Time
	epoch uint64
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewLimiter returns a limiter without teams and without a lease.
func NewLimiter() *Limiter {
	l := &Limiter{}
	l.lease.Store(&lease{})
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*Bucket)
	}
	return l
}

func (l *Limiter) shard(team string) *shard {
	return &l.shards[xxhash.Sum64String(team)&(shardCount-1)]
}

// withBucket calls f withBucket the team's bucket under its lock and reports whether there
// is one.
func (l *Limiter) withBucket(team string, f func(*Bucket)) bool {
	s := l.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[team]
	if ok {
		f(b)
	}
	return ok
}

// SetLease sets the end of the instance's right on its own clock. The epoch
// changes whenever the instance lost its lease in between.
func (l *Limiter) SetLease(until time.Time, epoch uint64) {
	l.lease.Store(&lease{until: until, epoch: epoch})
}

// LeaseUntil returns the end of the instance's right.
func (l *Limiter) LeaseUntil() time.Time { return l.lease.Load().until }

// Reset empties all buckets, after the instance lost its lease. SetLease with
// the zero time and the next epoch goes before it.
func (l *Limiter) Reset(now time.Time) {
	l.forEachBucket(func(_ string, b *Bucket) { b.Reset(now) })
}

// forEachBucket calls f with forEachBucket bucket under its shard's lock.
func (l *Limiter) forEachBucket(f func(team string, b *Bucket)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for team, b := range s.buckets {
			f(team, b)
		}
		s.mu.Unlock()
	}
}

// SetQuotas sets the teams and their quotas. A team that goes loses its
// bucket; a new one starts without a part.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]Quota) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for team, b := range s.buckets {
			if q, ok := quotas[team]; ok {
				b.SetQuota(now, q)
			} else {
				delete(s.buckets, team)
			}
		}
		s.mu.Unlock()
	}
	for team, q := range quotas {
		s := l.shard(team)
		s.mu.Lock()
		if s.buckets[team] == nil {
			s.buckets[team] = NewBucket(q, now)
		}
		s.mu.Unlock()
	}
}

// Allow decides on a request of a team that arrives at now, and takes a token
// when it admits it.
func (l *Limiter) Allow(now time.Time, team string) Decision {
	return l.decide(now, team, (*Bucket).Take)
}

// AllowRetry is Allow for a request that was refused before and has waited.
func (l *Limiter) AllowRetry(now time.Time, team string) Decision {
	return l.decide(now, team, (*Bucket).TakeRetry)
}

func (l *Limiter) decide(now time.Time, team string, take func(*Bucket, time.Time) Decision) Decision {
	current := l.lease.Load()
	if !now.Before(current.until) {
		return Decision{Reason: ReasonNoLease, RetryAfter: noLeaseRetryAfter}
	}
	s := l.shard(team)
	s.mu.Lock()
	b, ok := s.buckets[team]
	if !ok {
		s.mu.Unlock()
		return Decision{Reason: ReasonUnknownTeam}
	}
	d := take(b, now)
	s.mu.Unlock()
	d.Epoch = current.epoch
	return d
}

// Confirm checks an admitted request again right before it is sent. It returns
// ReasonLeaseChanged when the lease under which it was admitted has ended or
// was replaced, as after a freeze: its token may have been given to others.
func (l *Limiter) Confirm(now time.Time, admitted Decision) Reason {
	current := l.lease.Load()
	if current.epoch != admitted.Epoch || !now.Before(current.until) {
		return ReasonLeaseChanged
	}
	return ReasonNone
}

// Observe takes in the instance's part of a team as read from the row at
// version. What was read under another epoch than the present one is passed
// over: a late read of an earlier lease must not bring its parts back.
func (l *Limiter) Observe(now time.Time, epoch uint64, team string, version uint64, owned share.Units) {
	l.withBucket(team, func(b *Bucket) {
		if l.lease.Load().epoch == epoch {
			b.Observe(now, version, owned)
		}
	})
}

// ReserveTransfer sets units of a team aside for a transfer that is written on the
// condition that the row still has the transfer's version. It reports whether it
// could.
func (l *Limiter) ReserveTransfer(now time.Time, team string, units share.Units) (transfer Transfer, ok bool) {
	l.withBucket(team, func(b *Bucket) { transfer, ok = b.ReserveTransfer(now, units) })
	return transfer, ok
}

// AcceptHandover takes in a part and its tokens from the instance that gave it, if it
// was given under the present epoch.
func (l *Limiter) AcceptHandover(now time.Time, epoch uint64, h Handover) {
	l.withBucket(h.Team, func(b *Bucket) {
		if l.lease.Load().epoch == epoch {
			b.AcceptHandover(now, h)
		}
	})
}

// CancelTransfer takes back a transfer that certainly was not written.
func (l *Limiter) CancelTransfer(now time.Time, team string, transfer Transfer) {
	l.withBucket(team, func(b *Bucket) { b.CancelTransfer(now, transfer) })
}

// Transferable returns the units of a team that could be given away.
func (l *Limiter) Transferable(now time.Time, team string) (units share.Units) {
	l.withBucket(team, func(b *Bucket) { units = b.Transferable(now) })
	return units
}

// HoldsAnyShare says whether the table gives the instance a part of any team.
func (l *Limiter) HoldsAnyShare() bool {
	holds := false
	l.forEachBucket(func(_ string, b *Bucket) { holds = holds || b.Owned() > 0 })
	return holds
}

// RequestLoan returns the request for a loan of a team's part, to be sent at now.
func (l *Limiter) RequestLoan(now time.Time, id, team string, waiting int) (r LoanRequest, ok bool) {
	ok = l.withBucket(team, func(b *Bucket) { r = b.RequestLoan(now, id, team, waiting) })
	return r, ok
}

// GrantLoan answers another instance's request for a loan.
func (l *Limiter) GrantLoan(now time.Time, r LoanRequest) Loan {
	loan := Loan{ID: r.ID}
	l.withBucket(r.Team, func(b *Bucket) { loan = b.GrantLoan(now, l.lease.Load().until, r) })
	return loan
}

// AcceptLoan takes in the answer to a request for a loan.
func (l *Limiter) AcceptLoan(now time.Time, team string, loan Loan) {
	l.withBucket(team, func(b *Bucket) { b.AcceptLoan(now, loan) })
}

// ReturnLoan ends a loan taken that is of no further use, and returns the message
// to the lender when there is one to send.
func (l *Limiter) ReturnLoan(now time.Time, id, team string) (r LoanReturn, ok bool) {
	l.withBucket(team, func(b *Bucket) { r, ok = b.ReturnLoan(now, id, team) })
	return r, ok
}

// AcceptReturn takes in a loan that was given back.
func (l *Limiter) AcceptReturn(now time.Time, r LoanReturn) {
	l.withBucket(r.Team, func(b *Bucket) { b.AcceptReturn(now, r) })
}

// TeamDemand is the demand for one team at this instance.
type TeamDemand struct {
	// Team names the team.
	Team string
	// Rate is in requests a second, refused ones included.
	Rate float64
}

// Demands returns the teams with demand, in the order of their names.
func (l *Limiter) Demands(now time.Time) []TeamDemand {
	var demands []TeamDemand
	l.forEachBucket(func(team string, b *Bucket) {
		if rate := b.Demand(now); rate >= minReportedDemand {
			demands = append(demands, TeamDemand{Team: team, Rate: rate})
		}
	})
	slices.SortFunc(demands, func(a, b TeamDemand) int { return strings.Compare(a.Team, b.Team) })
	return demands
}

// minReportedDemand is the demand in requests a second that is still told.
const minReportedDemand = 0.01
