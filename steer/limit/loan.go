package limit

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

const (
	// maxLoanLifetime is how long a borrowed part is good for at most.
	maxLoanLifetime = 2 * time.Second
	// loanClockMargin is taken off a loan's life by the borrower, for the difference
	// in rate of two clocks.
	loanClockMargin = 20 * time.Millisecond
	// lenderHorizon is the time for which a lender keeps tokens for its own
	// demand.
	lenderHorizon = 50 * time.Millisecond
	// borrowHorizon is the time for which a borrower asks tokens for its demand.
	borrowHorizon = 250 * time.Millisecond
	// minKeptTokens is the size of a borrowed part, in tokens, from which on it is
	// kept until its end. A smaller one goes back as soon as it has served,
	// since a small team's tokens must not lie about in splinters.
	minKeptTokens = 8.0
)

// LoanRequest asks an instance for a part of a team's rate and burst.
type LoanRequest struct {
	// ID is unique to the request.
	ID string `json:"id"`
	// Team names the team.
	Team string `json:"team"`
	// Need is how many tokens the borrower lacks for one request; with fewer
	// it could admit none.
	Need float64 `json:"need"`
	// Tokens is how many tokens the borrower would like, at least Need.
	Tokens float64 `json:"tokens"`
	// Units is the part that the borrower lacks for its demand.
	Units share.Units `json:"units"`
}

// Loan is the answer. A loan without units grants nothing.
type Loan struct {
	// ID is that of the request.
	ID string `json:"id"`
	// Tokens come with the part.
	Tokens float64 `json:"tokens"`
	// Units is the lent part.
	Units share.Units `json:"units"`
	// Lifetime is how long the lender leaves the part alone from now on.
	Lifetime time.Duration `json:"life"`
	// RetryAfter is how long the lender needs until it has what was needed, when it
	// grants nothing; 0 when it can't say.
	RetryAfter time.Duration `json:"wait"`
}

// loanRecords remembers the requests in flight and the loans given, so that a
// repeated message changes nothing.
type loanRecords struct {
	requested map[string]time.Time // own requests that have no answer yet
	granted   map[string]grantedLoan
}

type grantedLoan struct {
	loan Loan
	end  time.Time
}

func newLoanRecords() loanRecords {
	return loanRecords{requested: make(map[string]time.Time), granted: make(map[string]grantedLoan)}
}

// RequestLoan returns the request for the loan that the bucket needs for waiting
// requests, to be sent at time now.
func (b *Bucket) RequestLoan(now time.Time, id, team string, waiting int) LoanRequest {
	b.advance(now)
	b.loans.prune(now)
	b.loans.requested[id] = now
	shortfall := b.demand.rate(now)/b.quota.Rate*float64(share.TotalUnits) - float64(b.account.Usable())
	return LoanRequest{
		ID:     id,
		Team:   team,
		Need:   1 - math.Min(b.tokens, 1),
		Tokens: math.Max(1, float64(waiting)-b.tokens) + b.demand.rate(now)*borrowHorizon.Seconds(),
		Units:  share.Units(math.Max(0, math.Min(shortfall, float64(share.TotalUnits)))),
	}
}

// GrantLoan answers a request at time now. The loan ends at the latest at until,
// the end of the lender's own lease. What is lent is debited before the answer
// leaves.
func (b *Bucket) GrantLoan(now, until time.Time, r LoanRequest) Loan {
	b.advance(now)
	b.loans.prune(now)
	if g, repeated := b.loans.granted[r.ID]; repeated {
		g.loan.Lifetime = g.end.Sub(now)
		return g.loan
	}
	if missing := r.Need - b.spareTokens(now); missing > 0 {
		return Loan{ID: r.ID, RetryAfter: b.refillTime(missing)}
	}
	lifetime := min(maxLoanLifetime, until.Sub(now))
	units := b.lendableUnits(now, r)
	if lifetime <= loanClockMargin || units <= 0 {
		return Loan{ID: r.ID}
	}
	loan := Loan{ID: r.ID, Units: units, Lifetime: lifetime}
	loan.Tokens = b.debitLentTokens(now, r.Tokens, units)
	end := now.Add(lifetime)
	b.account.Lend(r.ID, units, end)
	b.clampTokens()
	b.loans.granted[r.ID] = grantedLoan{loan: loan, end: end}
	return loan
}

// lendableUnits returns the units to lend: as many as the borrower lacks and the
// lender can spare, and at least as many as the spare tokens need.
func (b *Bucket) lendableUnits(now time.Time, r LoanRequest) share.Units {
	needed := b.demand.rate(now) / b.quota.Rate * float64(share.TotalUnits)
	headroom := math.Max(0, float64(b.account.Usable())-needed)
	units := share.Units(math.Min(headroom, float64(r.Units)))
	tokens := math.Min(r.Tokens, b.spareTokens(now))
	unitsForTokens := share.Units(math.Ceil(tokens / b.quota.Burst * float64(share.TotalUnits)))
	return max(0, min(max(units, unitsForTokens), b.account.Transferable()))
}

// refillTime returns how long the bucket needs to gain tokens, 0 for never.
func (b *Bucket) refillTime(tokens float64) time.Duration {
	if b.refillRate() <= 0 {
		return 0
	}
	return time.Duration(tokens / b.refillRate() * float64(time.Second))
}

// spareTokens returns the tokens that the lender's own demand does not need
// within its horizon.
func (b *Bucket) spareTokens(now time.Time) float64 {
	return math.Max(0, b.tokens-b.demand.rate(now)*lenderHorizon.Seconds())
}

// debitLentTokens debits the tokens that go with the lent units: those asked for
// and those that the smaller bucket could not keep.
func (b *Bucket) debitLentTokens(now time.Time, requested float64, units share.Units) float64 {
	lentCapacity := b.quota.Burst * fraction(units)
	keptCapacity := b.capacity() - lentCapacity
	tokens := math.Min(requested, b.spareTokens(now))
	tokens = math.Min(lentCapacity, math.Max(tokens, b.tokens-keptCapacity))
	b.tokens -= tokens
	return tokens
}

// AcceptLoan takes in a loan at time now. It counts from when the request was
// sent, so the part is given up before the lender takes it back. An answer to
// no request in flight, or a second one, changes nothing.
func (b *Bucket) AcceptLoan(now time.Time, loan Loan) {
	b.advance(now)
	requestedAt, inFlight := b.loans.requested[loan.ID]
	delete(b.loans.requested, loan.ID)
	end := requestedAt.Add(loan.Lifetime - loanClockMargin)
	if !inFlight || loan.Units <= 0 || !now.Before(end) {
		return
	}
	b.account.Borrow(loan.ID, loan.Units, end)
	b.addTokens(loan.Tokens, loan.Units)
}

// LoanReturn gives a loan back before its end.
type LoanReturn struct {
	// ID is that of the loan.
	ID string `json:"id"`
	// Team names the team.
	Team string `json:"team"`
	// Tokens are those that the borrower has no room for without the part.
	Tokens float64 `json:"tokens"`
}

// ReturnLoan ends a loan taken, at time now. The borrower debits what it gives
// back before the message leaves. It reports whether there is anything to send:
// a part that is large enough to be of use until its end is kept.
func (b *Bucket) ReturnLoan(now time.Time, id, team string) (LoanReturn, bool) {
	b.advance(now)
	if b.quota.Burst*fraction(b.account.Borrowed(id)) >= minKeptTokens || !b.account.EndBorrowed(id) {
		return LoanReturn{}, false
	}
	excess := math.Max(0, b.tokens-b.capacity())
	b.tokens -= excess
	return LoanReturn{ID: id, Team: team, Tokens: excess}, true
}

// AcceptReturn takes in a loan that was given back. A repeated message, or one
// after the loan's end, changes nothing.
func (b *Bucket) AcceptReturn(now time.Time, r LoanReturn) {
	b.advance(now)
	if !b.account.EndLent(r.ID) {
		return
	}
	b.addTokens(r.Tokens, b.loans.granted[r.ID].loan.Units)
}

// prune drops what is too old to matter.
func (l *loanRecords) prune(now time.Time) {
	for id, requestedAt := range l.requested {
		if now.Sub(requestedAt) > maxLoanLifetime {
			delete(l.requested, id)
		}
	}
	for id, g := range l.granted {
		if now.Sub(g.end) > maxLoanLifetime {
			delete(l.granted, id)
		}
	}
}
