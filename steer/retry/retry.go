// Package retry decides whether a failed request is sent again.
//
// A request that may have run is retried only if its route is idempotent (RFC
// 9110, section 9.2.2; the operators configure this per route). A request that is
// known not to have run may always go to another endpoint. Every retry is paid
// from a retry budget, so that retries cannot multiply the load of an outage.
package retry

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Defaults of Policy.
const (
	DefaultMaxAttempts  = 3
	DefaultMinRemaining = 5 * time.Millisecond
)

// Denial is the reason why a failed request is not retried. It is a metric label.
type Denial string

// Reasons for not retrying a request.
const (
	// DenialNone means that the request is retried.
	DenialNone Denial = ""
	// DenialAnswered means that an endpoint's complete response has arrived.
	DenialAnswered Denial = "answered"
	// DenialOutcomeUnknown means that the request may have run and is not
	// idempotent.
	DenialOutcomeUnknown Denial = "outcome-unknown"
	// DenialBodySent means that the request body cannot be sent again.
	DenialBodySent Denial = "body-sent"
	// DenialAnswerStarted means that part of a response has been sent to the
	// caller.
	DenialAnswerStarted Denial = "answer-started"
	// DenialAttempts means that the maximum number of attempts is reached.
	DenialAttempts Denial = "attempts"
	// DenialDeadline means that too little time is left before the deadline.
	DenialDeadline Denial = "deadline"
	// DenialBudget means that the retry budget is empty.
	DenialBudget Denial = "budget"
)

// Denials returns all reasons except DenialNone, for documentation and for
// counters.
func Denials() []Denial {
	return []Denial{
		DenialAnswered, DenialOutcomeUnknown, DenialBodySent, DenialAnswerStarted,
		DenialAttempts, DenialDeadline, DenialBudget,
	}
}

// Policy holds the limits for retries of one request.
type Policy struct {
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int
	// MinRemaining is the least time before the deadline that a retry needs.
	MinRemaining time.Duration
}

// DefaultPolicy returns the default limits.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: DefaultMaxAttempts, MinRemaining: DefaultMinRemaining}
}

// Failure describes a request whose latest attempt has failed.
type Failure struct {
	// Verdict is the combined verdict of all attempts so far.
	Verdict verdict.Verdict
	// Idempotent reports whether running the request twice has the same effect as
	// running it once.
	Idempotent bool
	// BodyReplayable reports whether the body can be sent again, because it is
	// empty, unread or buffered.
	BodyReplayable bool
	// AnswerStarted reports whether part of a response has been sent to the caller.
	AnswerStarted bool
	// Attempts is the number of attempts so far.
	Attempts int
	// Remaining is the time left before the deadline.
	Remaining time.Duration
}

// Decide returns DenialNone if the request is to be retried, after taking a token
// from the budget. Otherwise it returns the reason for not retrying.
func (p Policy) Decide(f Failure, budget *Budget) Denial {
	switch {
	case f.Verdict == verdict.Ran:
		return DenialAnswered
	case f.AnswerStarted:
		return DenialAnswerStarted
	case f.Verdict != verdict.NotRun && !f.Idempotent:
		return DenialOutcomeUnknown
	case !f.BodyReplayable:
		return DenialBodySent
	case f.Attempts >= p.MaxAttempts:
		return DenialAttempts
	case f.Remaining < p.MinRemaining:
		return DenialDeadline
	case !budget.TryWithdraw():
		return DenialBudget
	default:
		return DenialNone
	}
}
