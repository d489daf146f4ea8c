package endpoint

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent is the cancellation cause of an exchange that made no progress.
var errSilent = errors.New("no progress on the connection")

// silenceWatch cancels an exchange whose connection moves no byte for limit.
// Time spent waiting for the caller's own body does not count.
type silenceWatch struct {
	conn   *provedConn
	limit  time.Duration
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// callerReads counts reads of the caller's body now waiting.
	callerReads int
	// resumed is when the last wait for the caller ended.
	resumed time.Time
}

// newSilenceWatch starts a watch; a limit of 0 watches nothing.
func newSilenceWatch(c *provedConn, limit time.Duration, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{conn: c, limit: limit, cancel: cancel}
	if limit > 0 {
		w.mu.Lock()
		w.timer = time.AfterFunc(limit, w.check)
		w.mu.Unlock()
	}
	return w
}

// check cancels the exchange or sets the timer for the next possible moment.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.callerReads > 0 {
		w.timer.Reset(w.limit)
		return
	}
	since := w.conn.lastProgress()
	if w.resumed.After(since) {
		since = w.resumed
	}
	if left := w.limit - time.Since(since); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.cancel(errSilent)
}

// callerWait notes the start (1) or end (-1) of a wait for the caller.
func (w *silenceWatch) callerWait(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callerReads += delta
	w.resumed = time.Now()
}

// waitsForCaller reports whether the caller's body is being waited for.
func (w *silenceWatch) waitsForCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callerReads > 0
}

// resume starts the watch again after stop.
func (w *silenceWatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.stopped = false
	w.resumed = time.Now()
	w.timer.Reset(w.limit)
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.stopped = true
	w.timer.Stop()
}
