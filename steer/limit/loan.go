package limit

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

const (
	// loanLife is how long a borrowed part is good for at most.
	loanLife = 2 * time.Second
	// loanGuard is taken off a loan's life by the borrower, for the difference
	// in rate of two clocks.
	loanGuard = 20 * time.Millisecond
	// lenderHorizon is the time for which a lender keeps tokens for its own
	// demand.
	lenderHorizon = 50 * time.Millisecond
	// borrowAhead is the time for which a borrower asks tokens for its demand.
	borrowAhead = 250 * time.Millisecond
	// keepPart is the size of a borrowed part, in tokens, from which on it is
	// kept until its end. A smaller one goes back as soon as it has served,
	// since a small team's tokens must not lie about in splinters.
	keepPart = 8.0
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

// loanBook remembers the requests in flight and the loans given, so that a
// repeated message changes nothing.
type loanBook struct {
	asked map[string]time.Time // own requests that have no answer yet
	given map[string]given
}

type given struct {
	loan Loan
	end  time.Time
}

func newLoanBook() loanBook {
	return loanBook{asked: make(map[string]time.Time), given: make(map[string]given)}
}

// RequestLoan returns the request for the loan that the bucket needs for waiting
// requests, to be sent at time now.
func (b *Bucket) RequestLoan(now time.Time, id, team string, waiting int) LoanRequest {
	b.advance(now)
	b.loans.forget(now)
	b.loans.asked[id] = now
	short := b.demand.rate(now)/b.quota.Rate*float64(share.TotalUnits) - float64(b.account.Usable())
	return LoanRequest{
		ID:     id,
		Team:   team,
		Need:   1 - math.Min(b.tokens, 1),
		Tokens: math.Max(1, float64(waiting)-b.tokens) + b.demand.rate(now)*borrowAhead.Seconds(),
		Units:  share.Units(math.Max(0, math.Min(short, float64(share.TotalUnits)))),
	}
}

// GrantLoan answers a request at time now. The loan ends at the latest at until,
// the end of the lender's own lease. What is lent is debited before the answer
// leaves.
func (b *Bucket) GrantLoan(now, until time.Time, r LoanRequest) Loan {
	b.advance(now)
	b.loans.forget(now)
	if g, again := b.loans.given[r.ID]; again {
		g.loan.Lifetime = g.end.Sub(now)
		return g.loan
	}
	if lack := r.Need - b.spareTokens(now); lack > 0 {
		return Loan{ID: r.ID, RetryAfter: b.gainTime(lack)}
	}
	life := min(loanLife, until.Sub(now))
	units := b.lendable(now, r)
	if life <= loanGuard || units <= 0 {
		return Loan{ID: r.ID}
	}
	loan := Loan{ID: r.ID, Units: units, Lifetime: life}
	loan.Tokens = b.lendTokens(now, r.Tokens, units)
	end := now.Add(life)
	b.account.Lend(r.ID, units, end)
	b.clip()
	b.loans.given[r.ID] = given{loan: loan, end: end}
	return loan
}

// lendable returns the units to lend: as many as the borrower lacks and the
// lender can spare, and at least as many as the spare tokens need.
func (b *Bucket) lendable(now time.Time, r LoanRequest) share.Units {
	own := b.demand.rate(now) / b.quota.Rate * float64(share.TotalUnits)
	spare := math.Max(0, float64(b.account.Usable())-own)
	units := share.Units(math.Min(spare, float64(r.Units)))
	tokens := math.Min(r.Tokens, b.spareTokens(now))
	carrier := share.Units(math.Ceil(tokens / b.quota.Burst * float64(share.TotalUnits)))
	return max(0, min(max(units, carrier), b.account.Transferable()))
}

// gainTime returns how long the bucket needs to gain tokens, 0 for never.
func (b *Bucket) gainTime(tokens float64) time.Duration {
	if b.rate() <= 0 {
		return 0
	}
	return time.Duration(tokens / b.rate() * float64(time.Second))
}

// spareTokens returns the tokens that the lender's own demand does not need
// within its horizon.
func (b *Bucket) spareTokens(now time.Time) float64 {
	return math.Max(0, b.tokens-b.demand.rate(now)*lenderHorizon.Seconds())
}

// lendTokens debits the tokens that go with the lent units: those asked for
// and those that the smaller bucket could not keep.
func (b *Bucket) lendTokens(now time.Time, asked float64, units share.Units) float64 {
	room := b.quota.Burst * part(units)
	rest := b.size() - room
	tokens := math.Min(asked, b.spareTokens(now))
	tokens = math.Min(room, math.Max(tokens, b.tokens-rest))
	b.tokens -= tokens
	return tokens
}

// AcceptLoan takes in a loan at time now. It counts from when the request was
// sent, so the part is given up before the lender takes it back. An answer to
// no request in flight, or a second one, changes nothing.
func (b *Bucket) AcceptLoan(now time.Time, loan Loan) {
	b.advance(now)
	asked, waiting := b.loans.asked[loan.ID]
	delete(b.loans.asked, loan.ID)
	end := asked.Add(loan.Lifetime - loanGuard)
	if !waiting || loan.Units <= 0 || !now.Before(end) {
		return
	}
	b.account.Borrow(loan.ID, loan.Units, end)
	b.gain(loan.Tokens, loan.Units)
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
	if b.quota.Burst*part(b.account.Borrowed(id)) >= keepPart || !b.account.EndBorrowed(id) {
		return LoanReturn{}, false
	}
	extra := math.Max(0, b.tokens-b.size())
	b.tokens -= extra
	return LoanReturn{ID: id, Team: team, Tokens: extra}, true
}

// AcceptReturn takes in a loan that was given back. A repeated message, or one
// after the loan's end, changes nothing.
func (b *Bucket) AcceptReturn(now time.Time, r LoanReturn) {
	b.advance(now)
	if !b.account.EndLent(r.ID) {
		return
	}
	b.gain(r.Tokens, b.loans.given[r.ID].loan.Units)
}

// forget drops what is too old to matter.
func (l *loanBook) forget(now time.Time) {
	for id, asked := range l.asked {
		if now.Sub(asked) > loanLife {
			delete(l.asked, id)
		}
	}
	for id, g := range l.given {
		if now.Sub(g.end) > loanLife {
			delete(l.given, id)
		}
	}
}
