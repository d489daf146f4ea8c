package rollout

import (
	"math"
	"time"
)

// Outcome is how an attempt ended, as far as it concerns the version.
type Outcome uint8

const (
	// OutcomeUnknown says nothing about the version.
	OutcomeUnknown Outcome = iota
	// OutcomeGood is a successful response.
	OutcomeGood
	// OutcomeError is an error response.
	OutcomeError
	// OutcomeTimedOut means that no response arrived in time.
	OutcomeTimedOut
	// OutcomeBroken is a response that was cut off or invalid.
	OutcomeBroken
)

// Failed reports whether the attempt failed.
func (o Outcome) Failed() bool {
	return o == OutcomeError || o == OutcomeTimedOut || o == OutcomeBroken
}

// tally returns the tally of one attempt with this outcome.
func (o Outcome) tally(slowness float64) Tally {
	switch o {
	case OutcomeGood:
		return Tally{Answers: 1, Slowness: slowness}
	case OutcomeError:
		return Tally{Answers: 1, Failures: 1, Errors: 1}
	case OutcomeTimedOut:
		return Tally{Answers: 1, Failures: 1, Timeouts: 1}
	case OutcomeBroken:
		return Tally{Answers: 1, Failures: 1}
	default:
		return Tally{}
	}
}

// Tally counts the answers of one version.
type Tally struct {
	// Answers is the number of attempts that ended with an answer or a failure.
	Answers float64
	// Failures is the number of them that failed.
	Failures float64
	// Errors is the number of failures that were error responses, Timeouts that
	// of missing responses. The others were cut off or invalid.
	Errors, Timeouts float64
	// Slowness is the sum of the response times of the others, each relative to
	// the usual time for its request at such an endpoint.
	Slowness float64
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Failures += o.Failures
	t.Errors += o.Errors
	t.Timeouts += o.Timeouts
	t.Slowness += o.Slowness
}

func (t *Tally) scale(factor float64) {
	t.Answers *= factor
	t.Failures *= factor
	t.Errors *= factor
	t.Timeouts *= factor
	t.Slowness *= factor
}

// meanSlowness returns the mean slowness of the successful answers, or 0
// without any.
func (t Tally) meanSlowness() float64 {
	good := t.Answers - t.Failures
	if good <= 0 {
		return 0
	}
	return t.Slowness / good
}

// Judgments counts the attempts of one version that are old enough to be judged:
// an attempt counts at an age at which nearly every sound one has ended, however
// it has ended by then. Counted as they end, quick answers would come first and
// speak for a version whose slow ones still run.
type Judgments struct {
	// Attempts is the number of attempts that were judged.
	Attempts float64
	// Failures is the number of them that failed in any way or were late.
	Failures float64 `json:",omitzero"`
	// Errors is the number of failures that were error responses, Late that of
	// attempts that were still running or had timed out.
	Errors float64 `json:",omitzero"`
	Late   float64 `json:",omitzero"`
}

func (j *Judgments) add(o Judgments) {
	j.Attempts += o.Attempts
	j.Failures += o.Failures
	j.Errors += o.Errors
	j.Late += o.Late
}

// Evidence is what one instance, or all together, observed during a rollout.
type Evidence struct {
	// Old counts the answers of all other versions since the rollout started.
	Old Tally
	// New counts the answers of the new version.
	New Tally
	// OldLate and NewLate count the same with a half-life, so that recent
	// answers dominate.
	OldLate, NewLate Tally
	// OldRunning is the number of requests that are running at old endpoints.
	OldRunning int
	// NewSent is the number of requests that were sent to new endpoints, and
	// NewRunning the number of those that are running there.
	NewSent    int `json:",omitzero"`
	NewRunning int `json:",omitzero"`
	// OldJudged and NewJudged count the judged attempts since the rollout
	// started, RampJudged those of the new version that started while it was to
	// get all requests.
	OldJudged  Judgments `json:",omitzero"`
	NewJudged  Judgments `json:",omitzero"`
	RampJudged Judgments `json:",omitzero"`
}

// Add adds the evidence of another instance.
func (e *Evidence) Add(o Evidence) {
	e.Old.add(o.Old)
	e.New.add(o.New)
	e.OldLate.add(o.OldLate)
	e.NewLate.add(o.NewLate)
	e.OldRunning += o.OldRunning
	e.NewSent += o.NewSent
	e.NewRunning += o.NewRunning
	e.OldJudged.add(o.OldJudged)
	e.NewJudged.add(o.NewJudged)
	e.RampJudged.add(o.RampJudged)
}

// decay reduces the recent evidence by the elapsed time.
func (e *Evidence) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	e.OldLate.scale(factor)
	e.NewLate.scale(factor)
}
