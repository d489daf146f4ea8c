package usage

import "time"

const (
	// LongAttempt is how long after it was sent an attempt without an answer may be
	// counted. Answers that a request has not run nearly all come sooner.
	LongAttempt = 1500 * time.Millisecond
	// countDelay is how long after the end of its window an attempt without an answer
	// is counted at the earliest. Through two hubs a count takes up to 3 s, and the
	// window is recorded reportDelay after its end.
	countDelay = time.Second
)

// CountAt returns when an attempt is counted that has not ended: one that was sent at
// a moment and that its endpoint is expected to begin to run at another. It is as late
// as the report of its window allows, since counts can't be taken back if the attempt
// turns out not to have run.
func CountAt(sent, begins time.Time, length time.Duration) time.Time {
	at := End(Window(begins, length), length).Add(countDelay)
	if long := sent.Add(LongAttempt); long.After(at) {
		return long
	}
	return at
}
