package shares

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/limit"
)

// loanRound is a series of loan requests to lenders for one team. Requests of
// the team that arrive during the round wait for it too.
type loanRound struct {
	waiters []chan limit.Decision
}

// Admit decides whether to admit a request of a team. If this instance has no
// token, the request waits for a loan or for the next token, up to
// limit.MaxWait.
func (a *Agent) Admit(ctx context.Context, team string) limit.Decision {
	a.applyQuotas(a.source.Current().Index)
	arrived := time.Now()
	d := a.limiter.Allow(arrived, team)
	if d.Admitted() || !isRetryable(d.Reason) {
		return d
	}
	countTeam(a.meters.waits, team)
	for {
		var hint time.Duration
		d, hint = a.awaitLoan(ctx, team, d)
		if d.Admitted() {
			return d
		}
		wait, ok := limit.RetryDelay(d, hint, limit.MaxWait-time.Since(arrived))
		if !ok || !sleep(ctx, wait) {
			return withHint(d, hint)
		}
		if d = a.limiter.AllowRetry(time.Now(), team); d.Admitted() || !isRetryable(d.Reason) {
			return d
		}
	}
}

// Confirm checks an admitted request again immediately before it is sent.
func (a *Agent) Confirm(d limit.Decision) limit.Reason { return a.limiter.Confirm(time.Now(), d) }

func isRetryable(r limit.Reason) bool { return r == limit.ReasonRate || r == limit.ReasonNoShare }

// withHint sets RetryAfter of a decision to the shorter of RetryAfter and hint.
// Zero means unknown in both.
func withHint(d limit.Decision, hint time.Duration) limit.Decision {
	if hint > 0 && (d.RetryAfter == 0 || hint < d.RetryAfter) {
		d.RetryAfter = hint
	}
	return d
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// awaitLoan waits for the team's loan round and starts one if there is none.
// During the backoff after a failed round it returns d at once. The returned
// hint is the time until the next round may start.
func (a *Agent) awaitLoan(ctx context.Context, team string, d limit.Decision) (limit.Decision, time.Duration) {
	a.mu.Lock()
	if backoff := time.Until(a.borrowAfter[team]); backoff > 0 {
		a.mu.Unlock()
		return d, backoff
	}
	decision := make(chan limit.Decision, 1)
	r := a.loanRounds[team]
	if r == nil {
		r = &loanRound{}
		if !a.spawn(func() { a.runLoanRound(team, r) }) {
			a.mu.Unlock()
			return d, 0
		}
		a.loanRounds[team] = r
	}
	r.waiters = append(r.waiters, decision)
	a.mu.Unlock()
	select {
	case <-ctx.Done():
		return d, 0
	case d = <-decision:
		a.mu.Lock()
		defer a.mu.Unlock()
		return d, max(0, time.Until(a.borrowAfter[team]))
	}
}

// runLoanRound requests loans from the lenders in turn until all waiting
// requests are served or no lender is left. Borrowed units that are not needed
// are returned.
func (a *Agent) runLoanRound(team string, r *loanRound) {
	lenders := a.rankLenders(team)
	var hint time.Duration
	for len(lenders) > 0 {
		request, loan := a.requestLoan(team, r, lenders[0])
		done := a.serveWaiters(team, r)
		if returned, ok := a.limiter.ReturnLoan(time.Now(), request.ID, team); ok {
			a.notify(lenders[0].Instance, methodReturn, returned)
		}
		if done {
			return
		}
		if loan.RetryAfter > 0 && (hint == 0 || loan.RetryAfter < hint) {
			hint = loan.RetryAfter
		}
		lenders = limit.NextLenders(a.rankLenders(team), lenders[1:], request, loan)
	}
	a.endLoanRound(team, r, hint)
}

// requestLoan requests a loan that covers the waiting requests from one lender.
func (a *Agent) requestLoan(team string, r *loanRound, l limit.Lender) (limit.LoanRequest, limit.Loan) {
	a.mu.Lock()
	waiting := len(r.waiters)
	a.mu.Unlock()
	request, ok := a.limiter.RequestLoan(time.Now(), uuid.NewString(), team, waiting)
	if !ok {
		return request, limit.Loan{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	var loan limit.Loan
	err := a.peers.Call(ctx, a.peerAddress(l.Instance), methodLoan, request, &loan)
	if err != nil {
		telemetry.Count(a.meters.loansRequested, telemetry.OutcomeFailed)
		return request, limit.Loan{}
	}
	a.limiter.AcceptLoan(time.Now(), team, loan)
	if loan.Units == 0 {
		telemetry.Count(a.meters.loansRequested, outcomeEmpty)
	} else {
		telemetry.Count(a.meters.loansRequested, telemetry.OutcomeOK)
	}
	return request, loan
}

// serveWaiters gives tokens to the waiting requests in order of arrival. It
// reports whether all were served, which ends the round.
func (a *Agent) serveWaiters(team string, r *loanRound) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(r.waiters) > 0 {
		d := a.limiter.AllowRetry(time.Now(), team)
		if !d.Admitted() {
			return false
		}
		r.waiters[0] <- d
		r.waiters = r.waiters[1:]
	}
	delete(a.loanRounds, team)
	return true
}

// endLoanRound ends a round that did not serve all waiting requests. It gives
// them a final decision and starts the team's backoff.
func (a *Agent) endLoanRound(team string, r *loanRound, hint time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.loanRounds, team)
	a.borrowAfter[team] = time.Now().Add(limit.BorrowBackoff(hint))
	for _, waiter := range r.waiters {
		waiter <- a.limiter.AllowRetry(time.Now(), team)
	}
}

// rankLenders returns the members to request a loan of a team's quota from, in
// order.
func (a *Agent) rankLenders(team string) []limit.Lender {
	a.mu.Lock()
	view := a.views[team]
	a.mu.Unlock()
	self, _ := a.members.Identity()
	var all []limit.Lender
	for _, m := range a.members.Members() {
		if m.Name != self && !m.Silent {
			all = append(all, limit.Lender{Instance: m.Name, Local: m.Region == a.settings.Region, Headroom: view.division.UnitsOf(m.Name)})
		}
	}
	return limit.RankLenders(all)
}
