package limit

import (
	"fmt"
	"time"
)

// waiter is a request that waits for a loan or for the next token.
type waiter struct {
	arrived time.Duration
	refuse  func()
}

// borrow lets a request wait for a loan. All waiting requests of a team at one
// instance share one round of loan requests.
func (m *simulation) borrow(f *simInstance, t teamLoad, w waiter) {
	if m.noLoans || m.now < f.borrowBackoffUntil[t.name] {
		m.retryRequest(f, t, w, f.borrowBackoffUntil[t.name]-m.now)
		return
	}
	waiting, underway := f.waiting[t.name]
	f.waiting[t.name] = append(waiting, w)
	if !underway {
		m.askLenders(f, t, m.lenders(f, t), 0)
	}
}

// retryRequest admits the request, lets it wait on if a token is expected soon,
// or refuses it.
func (m *simulation) retryRequest(f *simInstance, t teamLoad, w waiter, hint time.Duration) {
	d := f.limiter.AllowRetry(m.clock(), t.name)
	if d.Admitted() {
		return
	}
	wait, ok := RetryDelay(d, hint, MaxWait-(m.now-w.arrived))
	if !ok {
		w.refuse()
		return
	}
	m.after(wait, func() {
		if !f.limiter.AllowRetry(m.clock(), t.name).Admitted() {
			m.borrow(f, t, w)
		}
	})
}

func (m *simulation) lenders(f *simInstance, t teamLoad) []Lender {
	var all []Lender
	for _, o := range m.instances {
		if o != f && !o.stopped {
			headroom := m.rows[t.name].division.UnitsOf(o.Name)
			all = append(all, Lender{Instance: o.Name, Local: o.Region == f.Region, Headroom: headroom})
		}
	}
	return RankLenders(all)
}

// askLenders sends a loan request to the first lender, and to the others in turn
// while requests still wait.
func (m *simulation) askLenders(f *simInstance, t teamLoad, lenders []Lender, hint time.Duration) {
	if len(lenders) == 0 {
		waiting := f.waiting[t.name]
		delete(f.waiting, t.name)
		f.borrowBackoffUntil[t.name] = m.now + BorrowBackoff(hint)
		for _, w := range waiting {
			m.retryRequest(f, t, w, hint)
		}
		return
	}
	m.loanRequests++
	o := m.instanceByName(lenders[0].Instance)
	r, _ := f.limiter.RequestLoan(m.clock(), fmt.Sprintf("%s-%d", f.Name, m.loanRequests), t.name, len(f.waiting[t.name]))
	m.after(rtt(f, o)/2, func() {
		var loan Loan
		if !o.stopped {
			loan = o.limiter.GrantLoan(m.clock(), r)
		}
		m.after(rtt(f, o)/2, func() {
			f.limiter.AcceptLoan(m.clock(), t.name, loan)
			m.serveWaiting(f, t, r, loan, lenders[1:], hint)
			if back, ok := f.limiter.ReturnLoan(m.clock(), r.ID, t.name); ok {
				m.after(rtt(f, o)/2, func() { o.limiter.AcceptReturn(m.clock(), back) })
			}
		})
	})
}

// serveWaiting admits the requests for which the loan suffices and asks further
// lenders for the others.
func (m *simulation) serveWaiting(f *simInstance, t teamLoad, request LoanRequest, loan Loan, remaining []Lender, hint time.Duration) {
	waiting := f.waiting[t.name]
	for len(waiting) > 0 && f.limiter.AllowRetry(m.clock(), t.name).Admitted() {
		waiting = waiting[1:]
	}
	f.waiting[t.name] = waiting
	if len(waiting) == 0 {
		delete(f.waiting, t.name)
		return
	}
	if loan.RetryAfter > 0 && (hint == 0 || loan.RetryAfter < hint) {
		hint = loan.RetryAfter
	}
	m.askLenders(f, t, NextLenders(m.lenders(f, t), remaining, request, loan), hint)
}
