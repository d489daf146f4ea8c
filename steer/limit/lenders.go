package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Lender is an instance that could lend units of a team's quota.
type Lender struct {
	// Instance is the member name.
	Instance string
	// Local reports whether the lender is in the borrower's region.
	Local bool
	// Headroom is what the lender holds above its own demand, in units.
	Headroom share.Units
}

// maxLenders bounds how many instances a borrower asks in turn for one loan.
const maxLenders = 6

// RankLenders returns the instances to ask for a loan, in order: local ones
// first, and within each group those with the most headroom.
func RankLenders(candidates []Lender) []Lender {
	chosen := slices.DeleteFunc(slices.Clone(candidates), func(l Lender) bool { return l.Headroom <= 0 })
	slices.SortFunc(chosen, func(a, b Lender) int {
		if a.Local != b.Local {
			if a.Local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Headroom, a.Headroom), strings.Compare(a.Instance, b.Instance))
	})
	return chosen[:min(maxLenders, len(chosen))]
}

// NextLenders returns the lenders to ask next when requests still wait after a
// loan. If the lender granted all tokens requested, the requests that still wait
// have arrived since, so a new round starts. Otherwise the current round goes on.
func NextLenders(all, remaining []Lender, request LoanRequest, loan Loan) []Lender {
	if loan.Units > 0 && loan.Tokens >= request.Tokens {
		return all
	}
	return remaining
}

// MaxWait bounds how long a request may wait for a loan or for the next token.
const MaxWait = 250 * time.Millisecond

// RetryDelay returns how long a refused request should wait before it tries
// again, and whether it should try again at all. The hint is the time after which
// a lender has tokens, 0 if unknown. remaining is how long the request may still
// wait.
func RetryDelay(d Decision, hint, remaining time.Duration) (time.Duration, bool) {
	wait := d.RetryAfter
	if hint > 0 && (wait == 0 || hint < wait) {
		wait = hint
	}
	wait = max(wait, minRetryDelay)
	return wait, d.Reason != ReasonUnknownTeam && wait <= remaining && (d.RetryAfter > 0 || hint > 0)
}

// minRetryDelay keeps requests from retrying in a tight loop.
const minRetryDelay = 5 * time.Millisecond

const (
	// minBorrowBackoff and maxBorrowBackoff bound BorrowBackoff.
	minBorrowBackoff = 50 * time.Millisecond
	maxBorrowBackoff = 250 * time.Millisecond
)

// BorrowBackoff returns how long an instance that could not borrow waits before
// it asks again, so that a team above its rate causes few messages. The hint is
// the shortest time after which one of the lenders has tokens.
func BorrowBackoff(hint time.Duration) time.Duration {
	return min(max(hint, minBorrowBackoff), maxBorrowBackoff)
}
