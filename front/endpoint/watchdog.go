package endpoint

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errNoProgress is the cancellation cause of an exchange without progress.
var errNoProgress = errors.New("no progress on the connection")

// progressWatchdog cancels an exchange when its connection makes no progress
// for the timeout. Time spent waiting for the caller's body does not count.
type progressWatchdog struct {
	conn    *trackedConn
	timeout time.Duration
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// pendingCallerReads counts the reads of the caller's body that are in
	// progress.
	pendingCallerReads int
	// resumedAt is when the last read of the caller's body began or ended, or
	// when the watchdog was resumed.
	resumedAt time.Time
}

// newProgressWatchdog starts a watchdog. With a timeout of 0 it does nothing.
func newProgressWatchdog(c *trackedConn, timeout time.Duration, cancel context.CancelCauseFunc) *progressWatchdog {
	w := &progressWatchdog{conn: c, timeout: timeout, cancel: cancel}
	if timeout > 0 {
		w.mu.Lock()
		w.timer = time.AfterFunc(timeout, w.checkProgress)
		w.mu.Unlock()
	}
	return w
}

// checkProgress cancels the exchange, or resets the timer to the earliest time
// at which the timeout can be reached.
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

// addCallerReads records the start (1) or end (-1) of a read of the caller's
// body.
func (w *progressWatchdog) addCallerReads(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingCallerReads += delta
	w.resumedAt = time.Now()
}

// isReadingCaller reports whether a read of the caller's body is in progress.
func (w *progressWatchdog) isReadingCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingCallerReads > 0
}

// resume starts the watchdog again after stop.
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

// stop stops the watchdog.
func (w *progressWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.stopped = true
	w.timer.Stop()
}
