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
	// faultLinesPerSecond is how many lines on rows that can't be decoded are
	// written.
	faultLinesPerSecond = 10
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
func (l *logLimiter) allowRequest(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
	l.requests++
	return l.requests <= fullyLoggedPerSecond
}

// allowFailure reports whether a line on a failure is written for a request
// that is not fully logged.
func (l *logLimiter) allowFailure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
	l.failures++
	if l.failures <= failureLinesPerSecond {
		return true
	}
	l.omitted++
	return false
}

// omit counts a line that is not written.
func (l *logLimiter) omit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.omitted++
}

// startSecond resets the counters at the start of a new second and logs how
// many lines were omitted in the previous one. The caller holds mu.
func (l *logLimiter) startSecond(now time.Time) {
	if now.Unix() == l.second {
		return
	}
	if l.omitted > 0 {
		l.log.WithField("lines", l.omitted).Warn("Log lines on requests omitted.")
	}
	l.second, l.requests, l.failures, l.omitted = now.Unix(), 0, 0, 0
}

// lineLimiter limits the lines of one kind.
type lineLimiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	lines   int
	omitted int
}

// allow reports whether a line may be written now, and how many were omitted in the
// second that has ended.
func (l *lineLimiter) allow(now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Unix() != l.second {
		omitted = l.omitted
		l.second, l.lines, l.omitted = now.Unix(), 0, 0
	}
	l.lines++
	if l.lines > l.perSecond {
		l.omitted++
		return false, omitted
	}
	return true, omitted
}
