package rollout

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	// lateFactor is the factor by which an attempt must take longer than usual to
	// count as late. In calm, some five in a thousand answers of a sound version
	// take as long.
	lateFactor = 3
	// minUsualTime keeps the time on the network out of the judgment of very
	// short requests.
	minUsualTime = 100 * time.Millisecond
	// maxSettleTime is how long an attempt whose outcome is not known waits for it
	// beyond the time at which it is judged.
	maxSettleTime = 5 * time.Second
)

// Attempt is one attempt that started during a rollout.
type Attempt struct {
	isNew    bool
	isRamp   bool // started while the new version was to get all requests
	judgedAt time.Time
	running  bool
	late     bool // it was running when it was to be judged
	settled  bool // its outcome is known
	outcome  Outcome
}

// StartAttempt records the start of an attempt at a version. usual is the usual
// time for such a request at such an endpoint.
func (r *Rollout) StartAttempt(now time.Time, version string, usual time.Duration) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.share(now)
	a := &Attempt{isNew: version == r.order.To, judgedAt: now.Add(lateFactor * max(usual, minUsualTime)), running: true}
	a.isRamp = a.isNew && share >= 1
	r.credit += share
	r.sent++
	if a.isNew {
		r.sentToNew++
		r.local.NewSent++
		r.local.NewRunning++
	} else {
		r.local.OldRunning++
	}
	if r.result == catalog.RolloutRunning {
		r.unjudged = append(r.unjudged, a)
	}
	return a
}

// IsNew reports whether the attempt is at the new version.
func (a *Attempt) IsNew() bool { return a.isNew }

// EndAttempt records that an attempt has ended. Its outcome may be known later;
// SettleAttempt or DiscardAttempt must follow.
func (r *Rollout) EndAttempt(now time.Time, a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.running {
		return
	}
	a.running, a.late = false, !now.Before(a.judgedAt)
	if a.isNew {
		r.local.NewRunning--
	} else {
		r.local.OldRunning--
	}
}

// SettleAttempt records how an attempt ended. slowness is the response time
// relative to the usual time for such a request at such an endpoint. Endpoints of
// a new version have not handled any object yet, which must not count as slowness
// of the version.
func (r *Rollout) SettleAttempt(now time.Time, a *Attempt, outcome Outcome, slowness float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	a.settled, a.outcome = true, outcome
	total, recent := &r.local.Old, &r.local.OldLate
	if a.isNew {
		total, recent = &r.local.New, &r.local.NewLate
	}
	t := outcome.tally(slowness)
	total.add(t)
	recent.add(t)
}

// DiscardAttempt records that the outcome of an attempt says nothing about its
// version.
func (r *Rollout) DiscardAttempt(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.settled, a.outcome = true, OutcomeUnknown
}

// judge counts the attempts that are old enough. The caller holds mu.
func (r *Rollout) judge(now time.Time) {
	waiting := r.unjudged[:0]
	for _, a := range r.unjudged {
		switch {
		case now.Before(a.judgedAt):
			waiting = append(waiting, a)
		case a.running || a.settled:
			r.count(a.judgment(a.running || a.late), a)
		case now.Sub(a.judgedAt) < maxSettleTime:
			waiting = append(waiting, a)
		}
	}
	clear(r.unjudged[len(waiting):])
	r.unjudged = waiting
}

// count adds a judgment to the local evidence. The caller holds mu.
func (r *Rollout) count(j Judgments, a *Attempt) {
	if !a.isNew {
		r.local.OldJudged.add(j)
		return
	}
	r.local.NewJudged.add(j)
	if a.isRamp {
		r.local.RampJudged.add(j)
	}
}

// judgment returns what an attempt counts as.
func (a *Attempt) judgment(late bool) Judgments {
	switch {
	case a.settled && a.outcome == OutcomeError:
		return Judgments{Attempts: 1, Failures: 1, Errors: 1}
	case a.settled && a.outcome == OutcomeBroken:
		return Judgments{Attempts: 1, Failures: 1}
	case a.settled && a.outcome == OutcomeUnknown:
		return Judgments{}
	case late || a.outcome == OutcomeTimedOut:
		return Judgments{Attempts: 1, Failures: 1, Late: 1}
	}
	return Judgments{Attempts: 1}
}
