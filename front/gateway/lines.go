package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Log lines a second, by kind. At 25 requests a second an instance writes about
// 30; the bounds keep a flood from taking more than a hundredth of a small
// machine's processor.
const (
	// fullyLoggedPerSecond is how many requests get all their lines.
	fullyLoggedPerSecond = 100
	// failureLinesPerSecond is how many lines on refusals and failed tries of other
	// requests are written beside.
	failureLinesPerSecond = 200
)

// logLimiter bounds the lines on requests. A request that is kept at its start
// keeps all its lines; of the others, refusals and failures go before successes.
type logLimiter struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	second   int64
	requests int
	failures int
	omitted  int // lines that were left out
}

// allowRequest says whether a request that begins now gets all its lines.
func (b *logLimiter) allowRequest(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startSecond(now)
	b.requests++
	return b.requests <= fullyLoggedPerSecond
}

// allowFailure says whether a line on a allowFailure of a request that is not kept is
// written.
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

// startSecond begins a new second and says how many lines the last one left out. The
// caller holds mu.
func (b *logLimiter) startSecond(now time.Time) {
	if now.Unix() == b.second {
		return
	}
	if b.omitted > 0 {
		b.log.WithField("lines", b.omitted).Warn("Request lines left out.")
	}
	b.second, b.requests, b.failures, b.omitted = now.Unix(), 0, 0, 0
}
