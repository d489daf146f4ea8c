package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Log lines per second, by kind. At 25 requests per second an instance writes
// about 30; the limits keep a flood of requests from taking more than 1 % of a
// small machine's CPU.
const (
	// fullyLoggedPerSecond is how many requests have all their lines written.
	fullyLoggedPerSecond = 100
	// failureLinesPerSecond is how many lines on refusals and failed attempts
	// of the other requests are written.
	failureLinesPerSecond = 200
)

// logLimiter limits the log lines on requests. A request that is accepted at
// its start has all its lines written. Of the others only refusals and failures
// are logged, up to a limit of their own.
type logLimiter struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	second   int64
	requests int
	failures int
	omitted  int // lines not written
}

// allowRequest reports whether all lines of a request that starts now are
// written.
func (b *logLimiter) allowRequest(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startSecond(now)
	b.requests++
	return b.requests <= fullyLoggedPerSecond
}

// allowFailure reports whether a line on a failure is written for a request
// that is not fully logged.
func (b *logLimiter) allowFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startSecond(now)
	b.failures++
	if b.failures <= failureLinesPerSecond {
		return true
	}
	b.omitted++
	return false
}

// omit counts a line that is not written.
func (b *logLimiter) omit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.omitted++
}

// startSecond resets the counters at the start of a new second and logs how
// many lines were omitted in the previous one. The caller holds mu.
func (b *logLimiter) startSecond(now time.Time) {
	if now.Unix() == b.second {
		return
	}
	if b.omitted > 0 {
		b.log.WithField("lines", b.omitted).Warn("Log lines on requests omitted.")
	}
	b.second, b.requests, b.failures, b.omitted = now.Unix(), 0, 0, 0
}
