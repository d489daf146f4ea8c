package retry

import "errors"

// unitsPerToken makes the arithmetic exact: deposits are whole units.
const unitsPerToken = 1000

// Defaults of BudgetSettings. The ratio lies under the 10 % that retries may
// add to the load, by a margin that pays for a full bucket within 250
// requests.
const (
	DefaultRatio = 0.08 // tokens deposited by each first attempt
	DefaultBurst = 5    // tokens
)

var errBudgetSettings = errors.New("retry budget: ratio must be in (0, 1] and burst at least 1 token")

// BudgetSettings bounds the load that retries add.
type BudgetSettings struct {
	// Ratio is the part of a token that each first attempt deposits, so the
	// long-run share of retries.
	Ratio float64
	// Burst is the most tokens that are kept.
	Burst int
}

// Budget is a token bucket that is filled by requests and not by time: each
// first attempt deposits Ratio tokens, each retry takes one. Over n first
// attempts it grants at most Burst + Ratio·n retries, however many fail.
//
// The method is that of the retry budgets of Twitter's Finagle (RetryBudget)
// and of gRPC's retry throttling (gRFC A6); the reason for a budget over a
// number of tries per request is given in Beyer et al., Site Reliability
// Engineering, chapter 21, "Handling Overload". A full bucket at the start,
// as in both, lets a new process retry its first failures.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	deposit  int64 // units
	capacity int64 // units
	balance  int64
}

// NewBudget returns a full budget.
func NewBudget(s BudgetSettings) (*Budget, error) {
	deposit := int64(s.Ratio * unitsPerToken)
	if deposit <= 0 || s.Ratio > 1 || s.Burst < 1 {
		return nil, errBudgetSettings
	}
	most := int64(s.Burst) * unitsPerToken
	return &Budget{deposit: deposit, capacity: most, balance: most}, nil
}

// Deposit notes the first attempt of a request.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+b.deposit, b.capacity)
}

// Refund gives back the token of a retry that was not sent.
func (b *Budget) Refund() {
	b.balance = min(b.balance+unitsPerToken, b.capacity)
}

// TryWithdraw takes a token for a retry and tells whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.balance < unitsPerToken {
		return false
	}
	b.balance -= unitsPerToken
	return true
}
