package configuration

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of learning from parents, in periods. With all of them together, an
// instance that nobody answers any more reads the store before its knowledge is
// stale.
const (
	// freshAgePeriods is the age of knowledge with which an instance waits for its
	// next turn.
	freshAgePeriods = 1.75
	// fallbackAgePeriods is the age of knowledge with which it leaves the store
	// alone. While the store is silent, the readers' knowledge is this old.
	fallbackAgePeriods = 2.75
	// pollTimeoutPeriods is the time after which those asked count as not answering.
	pollTimeoutPeriods = 0.15
	// Before asking again, and perhaps reading the store, instances wait from
	// minEscalationDelayPeriods to mostPause, so that they do not all do so at once.
	minEscalationDelayPeriods = 0.2
	maxEscalationDelayPeriods = 0.6
)

func (w *Watcher) inPeriods(n float64) time.Duration {
	return time.Duration(n * float64(w.settings.RefreshPeriod))
}

// refresh brings the instance's knowledge up to date. A reader reads the store,
// and so does an instance that is not ready. The others ask their parents; when
// these know nothing young, they ask the readers too, and when these know
// nothing usable, they read the store.
func (w *Watcher) refresh(ctx context.Context) {
	t := w.topology()
	parents := t.parents()
	if len(parents) == 0 || !w.Current().Ready {
		w.readHead(ctx)
		return
	}
	w.pollPeers(ctx, parents)
	if w.knowledgeWithin(freshAgePeriods) {
		return
	}
	if !sleep(ctx, w.inPeriods(minEscalationDelayPeriods+(maxEscalationDelayPeriods-minEscalationDelayPeriods)*rand.Float64())) {
		return
	}
	w.pollPeers(ctx, t.above())
	if w.knowledgeWithin(fallbackAgePeriods) || ctx.Err() != nil {
		return
	}
	w.metrics.storeFallback(ctx)
	w.readHead(ctx)
}

// pollPeers asks peers and returns when all have answered, or after answerPeriods.
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

// knowledgeWithin says whether the instance's knowledge is no older than a number of
// periods. If so, the next turn comes after the usual wait.
func (w *Watcher) knowledgeWithin(periods float64) bool {
	age := w.settings.Generation.StaleAfter - time.Until(w.Current().FreshUntil)
	if age > w.inPeriods(periods) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intervals.Reset()
	return true
}

// sleep waits for d and says whether ctx still goes on.
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
