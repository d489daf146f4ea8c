package reachability

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// pendingFailure is a failure without a response. Until an endpoint is reached it
// may be this instance's own.
type pendingFailure struct {
	at     time.Time
	settle func(counts bool)
}

// Bounds of what waits for an endpoint to be reached.
const (
	// maxFailureWait is how long a failure waits. One that still waits then does
	// not count.
	maxFailureWait = 3 * time.Second
	// maxPendingFailures bounds the failures that wait. The others do not count.
	maxPendingFailures = 512
)

// WhenReached calls settle once it is known whether a failure counts: if this
// instance has reached an endpoint since.
func (w *Watch) WhenReached(at time.Time, settle func(counts bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) < maxPendingFailures {
		w.failures = append(w.failures, pendingFailure{at, settle})
	}
}

// settleFailures settles the failures of which it is known whether they count.
func (w *Watch) settleFailures(now time.Time) {
	w.mu.Lock()
	waiting := w.failures
	w.failures = nil
	w.mu.Unlock()
	var left []pendingFailure
	for _, f := range waiting {
		switch evidence := w.monitor.Since(f.at); {
		case evidence == reach.Unknown && now.Sub(f.at) < maxFailureWait:
			left = append(left, f)
		default:
			f.settle(evidence == reach.Reached)
		}
	}
	w.mu.Lock()
	w.failures = append(left, w.failures...)
	w.mu.Unlock()
}
