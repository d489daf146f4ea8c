package crash

import "time"

// Rules are the limits by which a Detector decides.
type Rules struct {
	// Crashes is the number of endpoints that must have ended while a request ran
	// there, without a response to it in between, for it to be refused.
	Crashes int
	// Suspicious is the number from which it is sent to one endpoint at a time.
	Suspicious int
	// Grace is how long a response is waited for if the request was not sent to each
	// endpoint after the previous one had ended. Endpoints that end at the same
	// moment may have a common cause.
	Grace time.Duration
	// Settle is how long after the first end the reports of other instances are
	// waited for if several requests ran at all of the ends.
	Settle time.Duration
	// KnownGood is how long before the first end a response must have been for the
	// request to count as one that crashes nothing. Such a request is refused only
	// if the ends are also spread over more than Grace, and runs as usual until then.
	KnownGood time.Duration
	// Memory is how long an end counts.
	Memory time.Duration
	// TrialDelays are the times from a refusal to the first trial, and from each
	// trial to the next one. After the last one there is none.
	TrialDelays []time.Duration
	// TrialTurn is how long one instance may start a due trial before it is
	// another's turn.
	TrialTurn time.Duration
	// RefusedFor is how long a request is refused after its last trial.
	RefusedFor time.Duration
}

// DefaultRules returns the rules used when none are set.
func DefaultRules() Rules {
	return Rules{
		Crashes:     3,
		Suspicious:  2,
		Grace:       2 * time.Second,
		Settle:      700 * time.Millisecond,
		KnownGood:   10 * time.Second,
		Memory:      10 * time.Minute,
		TrialDelays: []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute},
		TrialTurn:   10 * time.Second,
		RefusedFor:  time.Hour,
	}
}

// Bounds of what a detector keeps; see BenchmarkFullDetector for the memory.
const (
	// maxEnds is the number of ends kept, the latest ones.
	maxEnds = 128
	// maxRequestsPerEnd is the number of requests kept for one end.
	maxRequestsPerEnd = 128
	// maxRefused is the number of refused requests kept, the latest ones.
	maxRefused = 256
	// maxRecentAnswers is the number of requests in each of the two generations of
	// recent answers, and answerGeneration the time after which a new one begins.
	maxRecentAnswers = 2048
	answerGeneration = 10 * time.Second
)

// Bounds of reports to other instances.
const (
	// reportPeriod is how long something learned is reported: the time of a few
	// exchanges, so that one may be lost.
	reportPeriod = 2500 * time.Millisecond
	// The others bound the lists of a report.
	maxReportedEnds     = 32
	maxReportedAnswered = 128
	maxReportedRefused  = 64
)

const (
	// maxUnconfirmed is how long an end waits for this instance to reach another
	// endpoint.
	maxUnconfirmed = 2 * time.Second
	// suspectRetryAfter is when the outcome of the one request that runs is
	// expected.
	suspectRetryAfter = time.Second
	// minRefusedRetryAfter is the shortest Retry-After of a refused request.
	minRefusedRetryAfter = 5 * time.Second
)
