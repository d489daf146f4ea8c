package limit

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

const (
	// maxLoanLifetime bounds how long units are lent.
	maxLoanLifetime = 2 * time.Second
	// loanClockMargin is subtracted from a loan's lifetime by the borrower, because
	// the two clocks may run at different rates.
	loanClockMargin = 20 * time.Millisecond
	// lenderHorizon is the period of its own demand for which a lender keeps
	// tokens.
	lenderHorizon = 50 * time.Millisecond
	// borrowHorizon is the period of its own demand for which a borrower requests
	// tokens in advance.
	borrowHorizon = 250 * time.Millisecond
	// minKeptTokens is the size of a borrowed share, in tokens, from which on it is
	// kept until the loan ends. A smaller one is returned as soon as it has been
	// used, so that a small team's tokens are not scattered over many instances.
	minKeptTokens = 8.0
)

// LoanRequest asks another instance for a share of a team's rate and burst.
type LoanRequest struct {
	// ID identifies the request.
	ID string `json:"id"`
	// Team is the team name.
	Team string `json:"team"`
	// Need is the number of tokens missing for one request. With fewer tokens the
	// borrower could not admit any.
	Need float64 `json:"need"`
	// Tokens is the number of tokens requested, at least Need.
	Tokens float64 `json:"tokens"`
	// Units is what the borrower lacks for its demand.
	Units share.Units `json:"units"`
}

// Loan is the answer to a LoanRequest. A loan without units grants nothing.
type Loan struct {
	// ID is the ID of the request.
	ID string `json:"id"`
	// Tokens is the number of tokens lent with the units.
	Tokens float64 `json:"tokens"`
	// Units is the number of units lent.
	Units share.Units `json:"units"`
	// Lifetime is how long the lender will not use the units, from when it sends
	// the loan.
	Lifetime time.Duration `json:"life"`
	// RetryAfter is how long the lender needs until it has the tokens needed, if
	// nothing was granted; 0 if unknown.
	RetryAfter time.Duration `json:"wait"`
}

// loanRecords keeps the requests in flight and the loans granted, so that
// repeated messages have no effect.
type loanRecords struct {
	requested map[string]time.Time // time sent of own requests without an answer
	granted   map[string]grantedLoan
}

// grantedLoan is a loan granted to another instance.
type grantedLoan struct {
	loan Loan
	end  time.Time
}

func newLoanRecords() loanRecords {
	return loanRecords{requested: make(map[string]time.Time), granted: make(map[string]grantedLoan)}
}

// RequestLoan returns a loan request that covers the waiting requests and the
// demand within borrowHorizon, to be sent at now.
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

// GrantLoan answers a loan request at now. The loan ends no later than until, the
// end of the lender's own lease. The lender is debited before the answer is sent.
func (b *Bucket) GrantLoan(now, until time.Time, r LoanRequest) Loan {
	b.advance(now)
	b.loans.prune(now)
	if g, repeated := b.loans.granted[r.ID]; repeated {
		g.loan.Lifetime = g.end.Sub(now)
		return g.loan
	}
	if missing := r.Need - b.tokenHeadroom(now); missing > 0 {
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

// lendableUnits returns the units to lend: what the borrower lacks, up to the
// lender's headroom, but at least what is needed to hold the tokens that go with
// them.
func (b *Bucket) lendableUnits(now time.Time, r LoanRequest) share.Units {
	needed := b.demand.rate(now) / b.quota.Rate * float64(share.TotalUnits)
	headroom := math.Max(0, float64(b.account.Usable())-needed)
	units := share.Units(math.Min(headroom, float64(r.Units)))
	tokens := math.Min(r.Tokens, b.tokenHeadroom(now))
	unitsForTokens := share.Units(math.Ceil(tokens / b.quota.Burst * float64(share.TotalUnits)))
	return max(0, min(max(units, unitsForTokens), b.account.Transferable()))
}

// refillTime returns how long the bucket needs to gain the given tokens, or 0 if
// it gains none.
func (b *Bucket) refillTime(tokens float64) time.Duration {
	if b.refillRate() <= 0 {
		return 0
	}
	return time.Duration(tokens / b.refillRate() * float64(time.Second))
}

// tokenHeadroom returns the tokens that the lender's own demand does not need
// within lenderHorizon.
func (b *Bucket) tokenHeadroom(now time.Time) float64 {
	return math.Max(0, b.tokens-b.demand.rate(now)*lenderHorizon.Seconds())
}

// debitLentTokens debits and returns the tokens that go with the lent units: the
// tokens requested, and those above the bucket's remaining capacity.
func (b *Bucket) debitLentTokens(now time.Time, requested float64, units share.Units) float64 {
	lentCapacity := b.quota.Burst * fraction(units)
	keptCapacity := b.capacity() - lentCapacity
	tokens := math.Min(requested, b.tokenHeadroom(now))
	tokens = math.Min(lentCapacity, math.Max(tokens, b.tokens-keptCapacity))
	b.tokens -= tokens
	return tokens
}

// AcceptLoan applies a loan at now. Its lifetime counts from when the request was
// sent, so the borrower stops using the units before the lender uses them again.
// An answer without a request in flight, or a repeated one, has no effect.
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

// LoanReturn returns a loan before its end.
type LoanReturn struct {
	// ID is the ID of the loan.
	ID string `json:"id"`
	// Team is the team name.
	Team string `json:"team"`
	// Tokens is the number of tokens above the borrower's remaining capacity.
	Tokens float64 `json:"tokens"`
}

// ReturnLoan ends a borrowed loan at now. The borrower is debited before the
// message is sent. It reports whether there is anything to send: a share of at
// least minKeptTokens is kept until the loan ends.
func (b *Bucket) ReturnLoan(now time.Time, id, team string) (LoanReturn, bool) {
	b.advance(now)
	if b.quota.Burst*fraction(b.account.Borrowed(id)) >= minKeptTokens || !b.account.EndBorrowed(id) {
		return LoanReturn{}, false
	}
	excess := math.Max(0, b.tokens-b.capacity())
	b.tokens -= excess
	return LoanReturn{ID: id, Team: team, Tokens: excess}, true
}

// AcceptReturn takes back a loan that the borrower has returned. A repeated
// message, or one that arrives after the loan's end, has no effect.
func (b *Bucket) AcceptReturn(now time.Time, r LoanReturn) {
	b.advance(now)
	if !b.account.EndLent(r.ID) {
		return
	}
	b.addTokens(r.Tokens, b.loans.granted[r.ID].loan.Units)
}

// prune drops records older than maxLoanLifetime.
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
