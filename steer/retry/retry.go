// Package retry decides whether a request that has failed is sent again.
//
// A request that may have run is sent again only when its route is idempotent
// (RFC 9110, section 9.2.2, which the operators' document decides by route). A
// request that is proved not to have run may go to another endpoint whatever
// it does. Either way the retry is paid from a budget, so that retries can't
// multiply an outage's load.
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

// Denial says why a failed request is not sent again. It is a label of a
// counter.
type Denial string

// The reasons for not sending a request again.
const (
	// DenialNone means that the request is sent again.
	DenialNone Denial = ""
	// DenialAnswered means that an endpoint's whole answer has arrived.
	DenialAnswered Denial = "answered"
	// DenialOutcomeUnknown means that a request that is not idempotent may
	// have run.
	DenialOutcomeUnknown Denial = "outcome-unknown"
	// DenialBodySent means that the body can't be sent a second time.
	DenialBodySent Denial = "body-sent"
	// DenialAnswerStarted means that a part of an answer has gone to the
	// caller.
	DenialAnswerStarted Denial = "answer-started"
	// DenialAttempts means that the request has used up its attempts.
	DenialAttempts Denial = "attempts"
	// DenialDeadline means that too little time is left.
	DenialDeadline Denial = "deadline"
	// DenialBudget means that the retry budget is empty.
	DenialBudget Denial = "budget"
)

// Denials lists every reason, for documentation and for counters.
func Denials() []Denial {
	return []Denial{
		DenialAnswered, DenialOutcomeUnknown, DenialBodySent, DenialAnswerStarted,
		DenialAttempts, DenialDeadline, DenialBudget,
	}
}

// Policy holds the limits of one request.
type Policy struct {
	// MaxAttempts is how often a request is sent at most, the first included.
	MaxAttempts int
	// MinRemaining is the least time to the deadline that a retry needs.
	MinRemaining time.Duration
}

// DefaultPolicy returns the default limits.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: DefaultMaxAttempts, MinRemaining: DefaultMinRemaining}
}

// Failure is what is known when an attempt has failed.
type Failure struct {
	// Verdict says whether any attempt so far may have run.
	Verdict verdict.Verdict
	// Idempotent says that running the request twice does what running it
	// once does.
	Idempotent bool
	// BodyReplayable says that the body can be sent again: there is none, or
	// nothing of it has been read, or it is held.
	BodyReplayable bool
	// AnswerStarted says that a part of an answer has gone to the caller.
	AnswerStarted bool
	// Attempts is how often the request has been sent.
	Attempts int
	// Remaining is the time to the deadline.
	Remaining time.Duration
}

// Decide returns DenialNone when the request is to be sent again, and has then
// taken a token from the budget; else the reason why not.
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
