package limit

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Bucket is the token bucket of one team at one instance. Its capacity and
// refill rate are the instance's share of the team's burst and rate. It is not
// safe for concurrent use.
type Bucket struct {
	quota    Quota
	account  share.Account
	tokens   float64
	updated  time.Time
	demand   demand
	loans    loanRecords
	transfer Transfer          // reserved, outcome of the write not known yet
	pending  []pendingHandover // units gained whose tokens may still arrive
}

// NewBucket returns a bucket without units and without tokens.
func NewBucket(q Quota, now time.Time) *Bucket {
	return &Bucket{quota: q, updated: now, loans: newLoanRecords()}
}

// capacity returns the maximum number of tokens.
func (b *Bucket) capacity() float64 {
	return b.quota.Burst * fraction(b.account.Usable())
}

// refillRate returns the number of tokens added per second.
func (b *Bucket) refillRate() float64 {
	return b.quota.Rate * fraction(b.account.Usable())
}

// fraction returns units as a fraction of the whole resource, at least 0.
func fraction(u share.Units) float64 {
	return float64(max(u, 0)) / float64(share.TotalUnits)
}

// advance refills the bucket up to now. A loan that ends on the way changes
// capacity and rate, so the bucket is refilled up to each loan's end in turn.
func (b *Bucket) advance(now time.Time) {
	for b.account.HasLoans() {
		end, ok := b.account.NextExpiry()
		if !ok || end.After(now) {
			break
		}
		b.refill(end)
		b.account.Expire(end)
		b.clampTokens()
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	b.tokens = math.Min(b.capacity(), b.tokens+b.refillRate()*now.Sub(b.updated).Seconds())
	b.updated = now
}

func (b *Bucket) clampTokens() { b.tokens = math.Min(b.tokens, b.capacity()) }

// addTokens adds tokens received together with units. The sender may have
// counted them under the previous quota, so no more are added than the units
// can hold under the current one.
func (b *Bucket) addTokens(tokens float64, units share.Units) {
	tokens = math.Min(tokens, b.quota.Burst*fraction(units))
	b.tokens = math.Min(b.capacity(), b.tokens+tokens)
}

// Take takes a token for a request that arrives at now. If there is none, the
// decision holds the time until the bucket gains one.
func (b *Bucket) Take(now time.Time) Decision {
	b.advance(now)
	b.demand.add(now)
	if b.tokens >= 1 {
		b.tokens--
		return Decision{}
	}
	return b.refused()
}

// TakeRetry is Take for a request that Take refused before. The request is not
// counted in the demand again.
func (b *Bucket) TakeRetry(now time.Time) Decision {
	b.advance(now)
	if b.tokens >= 1 {
		b.tokens--
		return Decision{}
	}
	return b.refused()
}

func (b *Bucket) refused() Decision {
	if b.refillRate() <= 0 || b.capacity() < 1 {
		return Decision{Reason: ReasonNoShare}
	}
	return Decision{Reason: ReasonRate, RetryAfter: b.refillTime(1 - b.tokens)}
}

// Demand returns the smoothed demand in requests per second.
func (b *Bucket) Demand(now time.Time) float64 { return b.demand.rate(now) }

// Owned returns the units that the row assigns to the instance.
func (b *Bucket) Owned() share.Units { return b.account.Owned() }

// SetQuota changes the team's quota. Tokens above the new capacity are lost.
func (b *Bucket) SetQuota(now time.Time, q Quota) {
	b.advance(now)
	b.endRate(now)
	b.quota = q
	b.clampTokens()
}

// Transferable returns the units that are neither lent nor reserved.
func (b *Bucket) Transferable(now time.Time) share.Units {
	b.advance(now)
	return b.account.Transferable()
}

// Reset empties the bucket after the instance has lost its lease.
func (b *Bucket) Reset(now time.Time) {
	b.advance(now)
	b.account.Reset()
	b.tokens = 0
	b.loans = newLoanRecords()
	b.transfer = Transfer{}
	b.pending = nil
}
