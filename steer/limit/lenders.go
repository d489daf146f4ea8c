package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Lender is an instance that could lend a part of a team's quota.
type Lender struct {
	// Instance names the member.
	Instance string
	// Local says that it runs in the borrower's region.
	Local bool
	// Headroom is what it holds above its own demand, in units.
	Headroom share.Units
}

// maxLenders is how many instances a borrower asks, one after another, for one
// loan.
const maxLenders = 6

// RankLenders returns the instances to ask for a loan, in that order: those near
// by first, and among them those with the most to spare.
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

// NextLenders returns whom to ask next when requests still wait after a loan.
// A lender that gave all it was asked for begins a new round, since more
// requests have come meanwhile; otherwise the rest of the round is asked.
func NextLenders(all, remaining []Lender, request LoanRequest, loan Loan) []Lender {
	if loan.Units > 0 && loan.Tokens >= request.Tokens {
		return all
	}
	return remaining
}

// MaxWait is how long a request may wait for a loan or for the next token.
const MaxWait = 250 * time.Millisecond

// RetryDelay returns how long a request should wait before it tries again after a
// refusal, given a lender's hint (0 is none) and what is left of its patience.
func RetryDelay(d Decision, hint, remaining time.Duration) (time.Duration, bool) {
	wait := d.RetryAfter
	if hint > 0 && (wait == 0 || hint < wait) {
		wait = hint
	}
	wait = max(wait, minRetryDelay)
	return wait, d.Reason != ReasonUnknownTeam && wait <= remaining && (d.RetryAfter > 0 || hint > 0)
}

// minRetryDelay keeps requests from trying again without pause.
const minRetryDelay = 5 * time.Millisecond

const (
	// minBorrowBackoff and longestPause bound Pause.
	minBorrowBackoff = 50 * time.Millisecond
	maxBorrowBackoff = 250 * time.Millisecond
)

// BorrowBackoff is how long an instance that found nothing to borrow does not ask
// again, so that a team above its rate costs few messages. The hint is the
// shortest time that a lender needs to have something.
func BorrowBackoff(hint time.Duration) time.Duration {
	return min(max(hint, minBorrowBackoff), maxBorrowBackoff)
}
