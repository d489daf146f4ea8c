package gateway

import (
	"sync"

	"github.com/cardamomfront/cardamomfront/steer/retry"
)

// retryBudgets limits the attempts beyond the first, by service.
type retryBudgets struct {
	settings  *liveSettings
	fleetSize func() int // number of instances that share the slack; 0 if unknown

	mu          sync.Mutex
	createdFrom *Settings // settings that the budgets were created from
	services    map[string]*retry.Budget
}

// newRetryBudgets returns retry budgets that are shared by all instances of the
// fleet.
func newRetryBudgets(s *liveSettings, m *mesh) *retryBudgets {
	return &retryBudgets{settings: s, fleetSize: m.knownSize, services: make(map[string]*retry.Budget)}
}

// deposit records a request to a service.
func (b *retryBudgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.getOrCreate(service); budget != nil {
		budget.Deposit()
	}
}

// tryWithdraw takes one further attempt from the budget and reports whether
// there was one.
func (b *retryBudgets) tryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.getOrCreate(service)
	return budget != nil && budget.TryWithdraw()
}

// refund returns the withdrawal for an attempt that found no endpoint.
func (b *retryBudgets) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.getOrCreate(service); budget != nil {
		budget.Refund()
	}
}

// getOrCreate returns a service's budget, nil if the settings are invalid. The
// caller holds mu.
func (b *retryBudgets) getOrCreate(service string) *retry.Budget {
	current := b.settings.Load()
	if b.createdFrom != current {
		b.createdFrom = current
		clear(b.services)
	}
	burst := 1
	if size := b.fleetSize(); size > 0 {
		burst = max(1, int(current.RetrySlack*budgetFraction/float64(size)))
	}
	budget := b.services[service]
	if budget != nil {
		budget.SetBurst(burst) // the fleet may have grown
		return budget
	}
	budget, err := retry.NewBudget(retry.BudgetSettings{Ratio: current.RetryRatio * budgetFraction, Burst: burst})
	if err != nil {
		return nil // the validation of the settings excludes such a ratio
	}
	b.services[service] = budget
	return budget
}
