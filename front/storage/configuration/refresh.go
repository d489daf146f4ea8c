package configuration

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of refreshing a snapshot from peers, in refresh periods. Together they
// leave enough time that an instance whose peers all stop responding reads the
// store before its snapshot is stale.
const (
	// freshAgePeriods is the snapshot age up to which an instance polls no
	// further peers in this period.
	freshAgePeriods = 1.75
	// fallbackAgePeriods is the snapshot age up to which an instance does not
	// read the store itself. The readers' snapshots reach this age while the
	// store does not respond.
	fallbackAgePeriods = 2.75
	// pollTimeoutPeriods is how long an instance waits for the reports of the
	// peers that it polls.
	pollTimeoutPeriods = 0.15
	// Before polling the readers and possibly reading the store, an instance
	// waits a random time between these two, so that instances do not all do so
	// at once. It does not wait beyond the snapshot age maxEscalationAgePeriods,
	// so that a document can still be loaded before the snapshot is stale.
	minEscalationDelayPeriods = 0.2
	maxEscalationDelayPeriods = 0.6
	maxEscalationAgePeriods   = 3.25
)

func (w *Watcher) inPeriods(n float64) time.Duration {
	return time.Duration(n * float64(w.settings.RefreshPeriod))
}

// refresh brings the snapshot up to date. A reader, or an instance that is not
// ready, reads the store. Any other instance polls its parents. If its snapshot
// is then older than freshAgePeriods, it polls the readers too; if it is still
// older than fallbackAgePeriods, it reads the store.
func (w *Watcher) refresh(ctx context.Context) {
	t := w.topology()
	parents := t.parents()
	if len(parents) == 0 || !w.Current().Ready {
		w.readHead(ctx)
		return
	}
	w.pollPeers(ctx, parents)
	if w.snapshotWithin(freshAgePeriods) {
		return
	}
	if !sleep(ctx, w.escalationDelay()) {
		return
	}
	w.pollPeers(ctx, t.above())
	if w.snapshotWithin(fallbackAgePeriods) || ctx.Err() != nil {
		return
	}
	w.metrics.storeFallback(ctx)
	w.readHead(ctx)
}

// escalationDelay returns the time to wait before the readers are polled.
func (w *Watcher) escalationDelay() time.Duration {
	delay := w.inPeriods(minEscalationDelayPeriods + (maxEscalationDelayPeriods-minEscalationDelayPeriods)*rand.Float64())
	return max(0, min(delay, w.inPeriods(maxEscalationAgePeriods)-w.snapshotAge()))
}

// pollPeers requests reports from peers and returns when all exchanges are
// done, or after pollTimeoutPeriods.
func (w *Watcher) pollPeers(ctx context.Context, peers []Peer) {
	polled := make(chan struct{}, len(peers))
	for _, p := range peers {
		w.startPoll(p, func() { polled <- struct{}{} })
	}
	timeout := time.NewTimer(w.inPeriods(pollTimeoutPeriods))
	defer timeout.Stop()
	for range peers {
		select {
		case <-polled:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// snapshotWithin reports whether the snapshot is no older than a number of
// periods. If so, it resets the refresh interval.
func (w *Watcher) snapshotWithin(periods float64) bool {
	if w.snapshotAge() > w.inPeriods(periods) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intervals.Reset()
	return true
}

// snapshotAge returns the age of what the instance knows.
func (w *Watcher) snapshotAge() time.Duration {
	return w.settings.Generation.StaleAfter - time.Until(w.Current().FreshUntil)
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
