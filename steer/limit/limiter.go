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

// shardCount is the number of shards that the teams are spread over, each with
// its own lock. It must be a power of two, since the shard is chosen with a mask.
const shardCount = 32

// noLeaseRetryAfter is the retry delay returned while the instance's lease has
// ended.
const noLeaseRetryAfter = time.Second

// Limiter holds the buckets of all teams at one instance. It is safe for
// concurrent use.
type Limiter struct {
	lease  atomic.Pointer[lease]
	shards [shardCount]shard
}

// lease is the instance's right to use its share of the quotas.
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

// withBucket calls f with the team's bucket while holding its shard's lock, and
// reports whether the team has a bucket.
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

// SetLease sets the end of the lease on the instance's own clock. A lease that
// follows a lost one must have a new epoch.
func (l *Limiter) SetLease(until time.Time, epoch uint64) {
	l.lease.Store(&lease{until: until, epoch: epoch})
}

// LeaseUntil returns the end of the lease.
func (l *Limiter) LeaseUntil() time.Time { return l.lease.Load().until }

// Reset empties all buckets after the instance has lost its lease. The caller
// must first call SetLease with the zero time and the next epoch.
func (l *Limiter) Reset(now time.Time) {
	l.forEachBucket(func(_ string, b *Bucket) { b.Reset(now) })
}

// forEachBucket calls f with each bucket while holding its shard's lock.
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

// SetQuotas sets the teams and their quotas. A removed team loses its bucket; a
// new team starts without units.
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

// Allow decides on a team's request that arrives at now, and takes a token when
// it admits the request.
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
// ReasonLeaseChanged when the lease under which the request was admitted has
// ended or was replaced, for example because the process was frozen: the units
// behind its token may belong to other instances by then.
func (l *Limiter) Confirm(now time.Time, admitted Decision) Reason {
	current := l.lease.Load()
	if current.epoch != admitted.Epoch || !now.Before(current.until) {
		return ReasonLeaseChanged
	}
	return ReasonNone
}

// Observe applies the instance's units of a team as read from the row at version.
// A read that was made under another epoch is ignored, because a late read from
// an earlier lease must not bring that lease's units back.
func (l *Limiter) Observe(now time.Time, epoch uint64, team string, version uint64, owned share.Units) {
	l.withBucket(team, func(b *Bucket) {
		if l.lease.Load().epoch == epoch {
			b.Observe(now, version, owned)
		}
	})
}

// ReserveTransfer reserves units of a team for a transfer. The write must be
// conditional on the row still having the transfer's version. It reports whether
// the units could be reserved.
func (l *Limiter) ReserveTransfer(now time.Time, team string, units share.Units) (transfer Transfer, ok bool) {
	l.withBucket(team, func(b *Bucket) { transfer, ok = b.ReserveTransfer(now, units) })
	return transfer, ok
}

// AcceptHandover adds units and tokens handed over by another instance, if the
// handover was received under the current epoch.
func (l *Limiter) AcceptHandover(now time.Time, epoch uint64, h Handover) {
	l.withBucket(h.Team, func(b *Bucket) {
		if l.lease.Load().epoch == epoch {
			b.AcceptHandover(now, h)
		}
	})
}

// CancelTransfer returns the reserved units of a transfer that is known not to
// have been written.
func (l *Limiter) CancelTransfer(now time.Time, team string, transfer Transfer) {
	l.withBucket(team, func(b *Bucket) { b.CancelTransfer(now, transfer) })
}

// Transferable returns the units of a team that are neither lent nor reserved.
func (l *Limiter) Transferable(now time.Time, team string) (units share.Units) {
	l.withBucket(team, func(b *Bucket) { units = b.Transferable(now) })
	return units
}

// HoldsAnyShare reports whether the instance owns units of any team.
func (l *Limiter) HoldsAnyShare() bool {
	holds := false
	l.forEachBucket(func(_ string, b *Bucket) { holds = holds || b.Owned() > 0 })
	return holds
}

// RequestLoan returns a loan request for a team, to be sent at now, and records
// it as in flight. waiting is the number of requests that wait for tokens.
func (l *Limiter) RequestLoan(now time.Time, id, team string, waiting int) (r LoanRequest, ok bool) {
	ok = l.withBucket(team, func(b *Bucket) { r = b.RequestLoan(now, id, team, waiting) })
	return r, ok
}

// GrantLoan answers another instance's loan request.
func (l *Limiter) GrantLoan(now time.Time, r LoanRequest) Loan {
	loan := Loan{ID: r.ID}
	l.withBucket(r.Team, func(b *Bucket) { loan = b.GrantLoan(now, l.lease.Load().until, r) })
	return loan
}

// AcceptLoan applies the answer to a loan request.
func (l *Limiter) AcceptLoan(now time.Time, team string, loan Loan) {
	l.withBucket(team, func(b *Bucket) { b.AcceptLoan(now, loan) })
}

// ReturnLoan ends a borrowed loan that is of no further use. It returns the
// message for the lender and whether there is one to send.
func (l *Limiter) ReturnLoan(now time.Time, id, team string) (r LoanReturn, ok bool) {
	l.withBucket(team, func(b *Bucket) { r, ok = b.ReturnLoan(now, id, team) })
	return r, ok
}

// AcceptReturn takes back a loan that the borrower has returned.
func (l *Limiter) AcceptReturn(now time.Time, r LoanReturn) {
	l.withBucket(r.Team, func(b *Bucket) { b.AcceptReturn(now, r) })
}

// TeamDemand is the demand for one team at this instance.
type TeamDemand struct {
	// Team is the team name.
	Team string
	// Rate is in requests per second and includes refused requests.
	Rate float64
}

// Demands returns the teams with demand, ordered by name.
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

// minReportedDemand is the smallest demand that is reported, in requests per
// second.
const minReportedDemand = 0.01
