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
	// youngPeriods is the age of knowledge with which an instance waits for its
	// next turn.
	youngPeriods = 1.75
	// usablePeriods is the age of knowledge with which it leaves the store
	// alone. While the store is silent, the readers' knowledge is this old.
	usablePeriods = 2.75
	// answerPeriods is the time after which those asked count as not answering.
	answerPeriods = 0.15
	// Before asking again, and perhaps reading the store, instances wait from
	// leastPause to mostPause, so that they do not all do so at once.
	leastPause = 0.2
	mostPause  = 0.6
)

func (w *Watcher) periods(n float64) time.Duration {
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
		w.read(ctx)
		return
	}
	w.askSome(ctx, parents)
	if w.knows(youngPeriods) {
		return
	}
	if !pause(ctx, w.periods(leastPause+(mostPause-leastPause)*rand.Float64())) {
		return
	}
	w.askSome(ctx, t.above())
	if w.knows(usablePeriods) || ctx.Err() != nil {
		return
	}
	w.metrics.fellBack(ctx)
	w.read(ctx)
}

// askSome asks peers and returns when all have answered, or after answerPeriods.
func (w *Watcher) askSome(ctx context.Context, peers []Peer) {
	answered := make(chan struct{}, len(peers))
	for _, p := range peers {
		w.startAsk(p, func() { answered <- struct{}{} })
	}
	late := time.NewTimer(w.periods(answerPeriods))
	defer late.Stop()
	for range peers {
		select {
		case <-answered:
		case <-late.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// knows says whether the instance's knowledge is no older than a number of
// periods. If so, the next turn comes after the usual wait.
func (w *Watcher) knows(periods float64) bool {
	age := w.settings.Generation.StaleAfter - time.Until(w.Current().FreshUntil)
	if age > w.periods(periods) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waits.Reset()
	return true
}

// pause waits for d and says whether ctx still goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
