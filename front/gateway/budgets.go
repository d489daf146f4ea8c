package gateway

import (
	"sync"

	"github.com/cardamomfront/cardamomfront/steer/retry"
)

// budgets bounds the tries beyond the first, by service.
type budgets struct {
	settings *liveSettings
	size     func() int // instances that share the slack

	mu       sync.Mutex
	made     *Settings // the settings that the budgets were made from
	services map[string]*retry.Budget
}

// newBudgets returns budgets that size instances share.
func newBudgets(s *liveSettings, m *mesh) *budgets {
	return &budgets{settings: s, size: m.size, services: make(map[string]*retry.Budget)}
}

// deposit notes a request to a service.
func (b *budgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.of(service); budget != nil {
		budget.Deposit()
	}
}

// take takes the right to a further try.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(service)
	return budget != nil && budget.TryWithdraw()
}

// giveBack gives back the right to a try that found no endpoint.
func (b *budgets) giveBack(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.of(service); budget != nil {
		budget.Refund()
	}
}

// of returns a service's budget. The caller holds mu.
func (b *budgets) of(service string) *retry.Budget {
	now := b.settings.Load()
	if b.made != now {
		b.made = now
		clear(b.services)
	}
	budget := b.services[service]
	if budget != nil {
		return budget
	}
	burst := max(1, int(now.RetrySlack*budgetShare/float64(max(1, b.size()))))
	budget, err := retry.NewBudget(retry.BudgetSettings{Ratio: now.RetryRatio * budgetShare, Burst: burst})
	if err != nil {
		return nil // the settings' check leaves no such ratio
	}
	b.services[service] = budget
	return budget
}
