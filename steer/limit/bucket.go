package limit

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Bucket is the token bucket of one team at one instance. It is not safe for
// concurrent use.
type Bucket struct {
	quota    Quota
	account  share.Account
	tokens   float64
	updated  time.Time
	demand   demand
	loans    loanRecords
	transfer Transfer          // set aside and not settled
	pending  []pendingHandover // parts that may still be followed by their tokens
}

// NewBucket returns a bucket without a part and without tokens.
func NewBucket(q Quota, now time.Time) *Bucket {
	return &Bucket{quota: q, updated: now, loans: newLoanRecords()}
}

// capacity returns how many tokens the bucket holds at most.
func (b *Bucket) capacity() float64 {
	return b.quota.Burst * fraction(b.account.Usable())
}

// refillRate returns how many tokens the bucket gains in a second.
func (b *Bucket) refillRate() float64 {
	return b.quota.Rate * fraction(b.account.Usable())
}

func fraction(u share.Units) float64 {
	return float64(max(u, 0)) / float64(share.TotalUnits)
}

// advance brings the tokens up to now, loan end by loan end.
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

// addTokens adds the tokens that come with units. They were counted under the quota
// of their giver, which may be a former one: no more come than the part holds
// now.
func (b *Bucket) addTokens(tokens float64, units share.Units) {
	tokens = math.Min(tokens, b.quota.Burst*fraction(units))
	b.tokens = math.Min(b.capacity(), b.tokens+tokens)
}

// Take takes a token at time now, or says how long one needs to come.
func (b *Bucket) Take(now time.Time) Decision {
	b.advance(now)
	b.demand.add(now)
	if b.tokens >= 1 {
		b.tokens--
		return Decision{}
	}
	return b.refused()
}

// TakeRetry is Take for a request that was counted in the demand before.
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
		return Decision{Reason: ReasonNoPart}
	}
	return Decision{Reason: ReasonRate, RetryAfter: b.refillTime(1 - b.tokens)}
}

// Demand returns the smoothed demand in requests a second.
func (b *Bucket) Demand(now time.Time) float64 { return b.demand.rate(now) }

// Owned returns the units that the table gives to the instance.
func (b *Bucket) Owned() share.Units { return b.account.Owned() }

// SetQuota changes the team's quota. Tokens above the new size are lost.
func (b *Bucket) SetQuota(now time.Time, q Quota) {
	b.advance(now)
	b.quota = q
	b.clampTokens()
}

// Transferable returns the units that could be given away.
func (b *Bucket) Transferable(now time.Time) share.Units {
	b.advance(now)
	return b.account.Transferable()
}

// Reset empties the bucket, after the instance has lost its lease.
func (b *Bucket) Reset(now time.Time) {
	b.advance(now)
	b.account.Reset()
	b.tokens = 0
	b.loans = newLoanRecords()
	b.transfer = Transfer{}
	b.pending = nil
}
