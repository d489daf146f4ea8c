package retry

import "errors"

// unitsPerToken makes deposits integers, so that the arithmetic is exact.
const unitsPerToken = 1000

// Defaults of BudgetSettings. The ratio is 2 % below the limit of 10 % that
// retries may add to the load. Over 250 requests this margin makes up for the
// retries that a full bucket allows in addition.
const (
	DefaultRatio = 0.08 // tokens deposited by each first attempt
	DefaultBurst = 5    // tokens
)

var errBudgetSettings = errors.New("retry budget: ratio must be in (0, 1] and burst at least 1 token")

// BudgetSettings bounds the load that retries add.
type BudgetSettings struct {
	// Ratio is the fraction of a token that each first attempt deposits, and thus
	// the long-run ratio of retries to requests.
	Ratio float64
	// Burst is the maximum number of tokens kept.
	Burst int
}

// Budget is a token bucket that is refilled by requests instead of time: each
// first attempt deposits Ratio tokens, each retry takes one. Over n first
// attempts it grants at most Burst + Ratio·n retries, however many fail.
//
// The method is that of the retry budgets of Twitter's Finagle (RetryBudget)
// and of gRPC's retry throttling (gRFC A6). Beyer et al., Site Reliability
// Engineering, chapter 21, "Handling Overload", explains why a budget is
// preferable to a number of attempts per request. As in both, the bucket starts
// full, so that a new process can retry its first failures.
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
	capacity := int64(s.Burst) * unitsPerToken
	return &Budget{deposit: deposit, capacity: capacity, balance: capacity}, nil
}

// SetBurst changes the maximum number of tokens kept. A higher one grants no
// tokens.
func (b *Budget) SetBurst(burst int) {
	b.capacity = int64(max(1, burst)) * unitsPerToken
	b.balance = min(b.balance, b.capacity)
}

// Deposit records the first attempt of a request.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+b.deposit, b.capacity)
}

// Refund returns the token of a retry that was not sent.
func (b *Budget) Refund() {
	b.balance = min(b.balance+unitsPerToken, b.capacity)
}

// TryWithdraw takes a token for a retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.balance < unitsPerToken {
		return false
	}
	b.balance -= unitsPerToken
	return true
}
