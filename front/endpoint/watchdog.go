package endpoint

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errNoProgress is the cancellation cause of an exchange that made no progress.
var errNoProgress = errors.New("no progress on the connection")

// progressWatchdog cancels an exchange whose connection moves no byte for limit.
// Time spent waiting for the caller's own body does not count.
type progressWatchdog struct {
	conn    *trackedConn
	timeout time.Duration
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// pendingCallerReads counts reads of the caller's body now waiting.
	pendingCallerReads int
	// resumedAt is when the last wait for the caller ended.
	resumedAt time.Time
}

// newProgressWatchdog starts a watch; a limit of 0 watches nothing.
func newProgressWatchdog(c *trackedConn, timeout time.Duration, cancel context.CancelCauseFunc) *progressWatchdog {
	w := &progressWatchdog{conn: c, timeout: timeout, cancel: cancel}
	if timeout > 0 {
		w.mu.Lock()
		w.timer = time.AfterFunc(timeout, w.checkProgress)
		w.mu.Unlock()
	}
	return w
}

// checkProgress cancels the exchange or sets the timer for the next possible moment.
func (w *progressWatchdog) checkProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.pendingCallerReads > 0 {
		w.timer.Reset(w.timeout)
		return
	}
	since := w.conn.lastProgress()
	if w.resumedAt.After(since) {
		since = w.resumedAt
	}
	if remaining := w.timeout - time.Since(since); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	w.cancel(errNoProgress)
}

// addCallerReads notes the start (1) or end (-1) of a wait for the caller.
func (w *progressWatchdog) addCallerReads(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingCallerReads += delta
	w.resumedAt = time.Now()
}

// isReadingCaller reports whether the caller's body is being waited for.
func (w *progressWatchdog) isReadingCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingCallerReads > 0
}

// resume starts the watch again after stop.
func (w *progressWatchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.stopped = false
	w.resumedAt = time.Now()
	w.timer.Reset(w.timeout)
}

// stop ends the watch.
func (w *progressWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.stopped = true
	w.timer.Stop()
}
