package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// callTimeoutMargin is added to the wait of a call that waits for a change, for
	// the way there and back and a store that is busy.
	callTimeoutMargin = 1500 * time.Millisecond
	// initialBackoff is the time between calls to a store that fails, short
	// against the time in which a change has to be in force.
	initialBackoff = 300 * time.Millisecond
	// maxBackoff bounds that time; every instance asks a store that is away.
	maxBackoff = 500 * time.Millisecond
	// minOutage is how long the store must have been away for its return to be
	// told: calls that fail at once need no word of it.
	minOutage = time.Second
	// releaseMargin is added to the wait until held rows are released, so that
	// the moment has surely come.
	releaseMargin = time.Millisecond
)

// WatchOptions says how a table is followed.
type WatchOptions struct {
	// Table is the table's name.
	Table string
	// LongPoll is how long the store may hold a call until there is a change; 0
	// returns at once.
	LongPoll time.Duration
	// PollInterval is the time between the end of one call and the next.
	PollInterval time.Duration
	// RemovalDelay is how long after the store's return a removal that happened
	// while it was away is held back. Rows that lapsed meanwhile may come
	// back in that time. 0 holds nothing back.
	RemovalDelay time.Duration
	// ReachableSince returns since when any instance has reached the table without
	// a break, the zero time when that is not known. It tells an outage of the
	// store from one of this instance's way there. nil knows nothing.
	ReachableSince func() time.Time
	// Status is shared by the watchers of one store; nil for a watcher of its
	// own.
	Status *StoreStatus
}

// StoreStatus is what the watchers of one store share: they tell each other of its
// return and of the revisions that it has reached. The zero value is ready for
// use.
type StoreStatus struct {
	mu        sync.Mutex
	recovered chan struct{}
	observed  []revisionTime // in the order of revisions
}

// revisionTime says that the store had reached a revision by a moment.
type revisionTime struct {
	revision uint64
	at       time.Time
}

// maxObserved bounds the marks: more than a minute of answers, each with a change.
const maxObserved = 256

// observeRevision takes in the revision that an answer has shown.
func (c *StoreStatus) observeRevision(revision uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.observed); n > 0 && c.observed[n-1].revision >= revision {
		return
	}
	if len(c.observed) == maxObserved {
		c.observed = slices.Delete(c.observed, 0, maxObserved/4)
	}
	c.observed = append(c.observed, revisionTime{revision, at})
}

// ReachedAt returns the moment by which the store had surely reached a revision,
// the zero time if that is not known. A change was made no later than that,
// also when its own table's watcher hears of it late.
func (c *StoreStatus) ReachedAt(revision uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.observed, func(m revisionTime) bool { return m.revision >= revision })
	if i < 0 || i == 0 && c.observed[0].revision > revision {
		return time.Time{}
	}
	return c.observed[i].at
}

// nextRecovery returns a channel that is closed at the store's nextRecovery return.
func (c *StoreStatus) nextRecovery() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recovered == nil {
		c.recovered = make(chan struct{})
	}
	return c.recovered
}

// notifyRecovered tells of the store's return.
func (c *StoreStatus) notifyRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recovered != nil {
		close(c.recovered)
	}
	c.recovered = nil
}

// Watcher follows one table. Run must be called once.
type Watcher struct {
	options  WatchOptions
	store    Store
	onChange func(now time.Time, rows map[string]Row)
	log      logrus.FieldLogger

	rows            map[string]Row
	delayedRemovals map[string]Row // removals that are held back
	revision        uint64
	needsFullRead   bool      // the next call reads the whole table
	outageStart     time.Time // when the first of the failed calls began
	recoveredAt     time.Time // when the store last came back
	failures        int
	answeringSince  atomic.Pointer[time.Time] // since when the store has answered each call
	lastAnswer      atomic.Pointer[time.Time] // when the store last answered
}

// NewWatcher returns a watcher that gives see all rows after each change. see
// must not keep or change the map.
func NewWatcher(r WatchOptions, s Store, onChange func(time.Time, map[string]Row), log logrus.FieldLogger) *Watcher {
	if r.Status == nil {
		r.Status = new(StoreStatus)
	}
	return &Watcher{
		options:         r,
		store:           s,
		onChange:        onChange,
		log:             log.WithFields(logrus.Fields{"prefix": "registry", "table": r.Table}),
		rows:            make(map[string]Row),
		delayedRemovals: make(map[string]Row),
		needsFullRead:   true,
	}
}

// AnsweringSince returns since when the store has answered each call, the zero time
// while it does not.
func (w *Watcher) AnsweringSince() time.Time {
	if since := w.answeringSince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// LastAnswer returns when the store last answered, the zero time before.
func (w *Watcher) LastAnswer() time.Time {
	if at := w.lastAnswer.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Table returns the name of the table.
func (w *Watcher) Table() string { return w.options.Table }

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start, recovered := time.Now(), w.options.Status.nextRecovery()
		err := w.poll(ctx, recovered)
		pause := w.nextPollDelay()
		switch {
		case err == nil || ctx.Err() != nil:
		case isClosed(recovered):
			pause = 0
		default:
			pause = w.recordFailure(err, start)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// isClosed says whether a channel that carries nothing was closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// nextPollDelay returns the time until the next call: less than the rule's when held
// rows are to be released before.
func (w *Watcher) nextPollDelay() time.Duration {
	if len(w.delayedRemovals) == 0 {
		return w.options.PollInterval
	}
	return min(w.options.PollInterval, max(0, time.Until(w.removalDelayEnd()))+releaseMargin)
}

// removalDelayEnd returns when removals need not be held back any more.
func (w *Watcher) removalDelayEnd() time.Time {
	recoveredAt := w.recoveredAt
	if w.options.ReachableSince != nil {
		if at := w.options.ReachableSince(); !at.IsZero() && at.Before(recoveredAt) {
			recoveredAt = at
		}
	}
	return recoveredAt.Add(w.options.RemovalDelay)
}

// poll makes one call and takes in its answer. The call is given up when another
// watcher finds the store back.
func (w *Watcher) poll(ctx context.Context, recovered <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	batch, err := w.readOrChanges(ctx)
	now := time.Now()
	if err != nil {
		return err
	}
	if w.failures > 0 {
		w.log.WithFields(logrus.Fields{"away_ms": now.Sub(w.outageStart).Milliseconds()}).Warn("Store regained.")
		w.recoveredAt = now
		w.failures = 0
		if now.Sub(w.outageStart) >= minOutage {
			w.options.Status.notifyRecovered()
		}
	}
	if w.answeringSince.Load() == nil {
		w.answeringSince.Store(&now)
	}
	w.lastAnswer.Store(&now)
	w.options.Status.observeRevision(batch.Revision, now)
	changed := w.applyBatch(batch, now)
	w.revision = max(w.revision, batch.Revision)
	w.needsFullRead = false
	if w.applyDelayedRemovals(now) || changed {
		w.onChange(now, w.rows)
	}
	return nil
}

// readOrChanges asks for the changes, or for the whole table after a gap.
func (w *Watcher) readOrChanges(ctx context.Context) (Batch, error) {
	timeout := w.options.LongPoll + callTimeoutMargin
	if w.needsFullRead {
		timeout = callTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if w.needsFullRead {
		return w.store.Read(ctx, w.options.Table)
	}
	return w.store.Changes(ctx, w.options.Table, w.revision, w.options.LongPoll)
}

// recordFailure notes a call that began at a moment and recordFailure, and returns the time
// until the next one.
func (w *Watcher) recordFailure(err error, start time.Time) time.Duration {
	var gap *GapError
	if errors.As(err, &gap) {
		w.log.WithError(err).Warn("Reading the whole table.")
		w.needsFullRead = true
		return 0
	}
	w.failures++
	w.answeringSince.Store(nil)
	if w.failures == 1 {
		w.outageStart = start
		w.log.WithError(err).Warn("Store lost.")
	}
	return min(initialBackoff*time.Duration(w.failures), maxBackoff)
}

// applyBatch takes in a batch and says whether the first one or a change was in it.
func (w *Watcher) applyBatch(b Batch, now time.Time) bool {
	changed := w.needsFullRead
	if w.needsFullRead {
		b.Rows = append(b.Rows, w.missingRows(b)...)
	}
	for _, row := range b.Rows {
		changed = w.applyRow(row, now) || changed
	}
	return changed
}

// missingRows returns removals of the rows that a reading of the whole table does
// not have.
func (w *Watcher) missingRows(b Batch) []Row {
	present := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		present[row.Key] = true
	}
	var removed []Row
	for key, row := range w.rows {
		if !present[key] && row.Revision <= b.Revision {
			removed = append(removed, Row{Key: key, Revision: b.Revision, Removed: true})
		}
	}
	return removed
}

// applyRow takes in one row. A row never goes back to an older revision.
func (w *Watcher) applyRow(row Row, now time.Time) bool {
	known, ok := w.rows[row.Key]
	if ok && row.Revision <= known.Revision {
		return false
	}
	delete(w.delayedRemovals, row.Key)
	if !row.Removed {
		w.rows[row.Key] = row
		return true
	}
	if !ok {
		return false
	}
	if !w.recoveredAt.IsZero() && now.Before(w.removalDelayEnd()) {
		w.delayedRemovals[row.Key] = row
		return false
	}
	delete(w.rows, row.Key)
	return true
}

// applyDelayedRemovals carries out the removals that were held back, once that is over.
func (w *Watcher) applyDelayedRemovals(now time.Time) bool {
	if len(w.delayedRemovals) == 0 || now.Before(w.removalDelayEnd()) {
		return false
	}
	for key := range w.delayedRemovals {
		delete(w.rows, key)
	}
	clear(w.delayedRemovals)
	return true
}
