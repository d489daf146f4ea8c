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
	// keptPerSecond is how many requests get all their lines.
	keptPerSecond = 100
	// failuresPerSecond is how many lines on refusals and failed tries of other
	// requests are written beside.
	failuresPerSecond = 200
)

// lineBudget bounds the lines on requests. A request that is kept at its start
// keeps all its lines; of the others, refusals and failures go before successes.
type lineBudget struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	second   int64
	kept     int
	failures int
	left     int // lines that were left out
}

// keep says whether a request that begins now gets all its lines.
func (b *lineBudget) keep(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	b.kept++
	return b.kept <= keptPerSecond
}

// failure says whether a line on a failure of a request that is not kept is
// written.
func (b *lineBudget) failure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(now)
	b.failures++
	if b.failures <= failuresPerSecond {
		return true
	}
	b.left++
	return false
}

// leaveOut counts a line that is not written.
func (b *lineBudget) leaveOut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}

// turn begins a new second and says how many lines the last one left out. The
// caller holds mu.
func (b *lineBudget) turn(now time.Time) {
	if now.Unix() == b.second {
		return
	}
	if b.left > 0 {
		b.log.WithField("lines", b.left).Warn("Request lines left out.")
	}
	b.second, b.kept, b.failures, b.left = now.Unix(), 0, 0, 0
}
