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
	// callSlack is added to the wait of a call that waits for a change, for
	// the way there and back and a store that is busy.
	callSlack = 1500 * time.Millisecond
	// failurePause is the time between calls to a store that fails, short
	// against the time in which a change has to be in force.
	failurePause = 300 * time.Millisecond
	// longestPause bounds that time; every instance asks a store that is away.
	longestPause = 500 * time.Millisecond
	// leastAway is how long the store must have been away for its return to be
	// told: calls that fail at once need no word of it.
	leastAway = time.Second
	// releaseSlack is added to the wait until held rows are released, so that
	// the moment has surely come.
	releaseSlack = time.Millisecond
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
	mu       sync.Mutex
	returned chan struct{}
	marks    []mark // in the order of revisions
}

// mark says that the store had reached a revision by a moment.
type mark struct {
	revision uint64
	at       time.Time
}

// maxMarks bounds the marks: more than a minute of answers, each with a change.
const maxMarks = 256

// note takes in the revision that an answer has shown.
func (c *StoreStatus) note(revision uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.marks); n > 0 && c.marks[n-1].revision >= revision {
		return
	}
	if len(c.marks) == maxMarks {
		c.marks = slices.Delete(c.marks, 0, maxMarks/4)
	}
	c.marks = append(c.marks, mark{revision, at})
}

// ReachedAt returns the moment by which the store had surely reached a revision,
// the zero time if that is not known. A change was made no later than that,
// also when its own table's watcher hears of it late.
func (c *StoreStatus) ReachedAt(revision uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.marks, func(m mark) bool { return m.revision >= revision })
	if i < 0 || i == 0 && c.marks[0].revision > revision {
		return time.Time{}
	}
	return c.marks[i].at
}

// next returns a channel that is closed at the store's next return.
func (c *StoreStatus) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.returned == nil {
		c.returned = make(chan struct{})
	}
	return c.returned
}

// tell tells of the store's return.
func (c *StoreStatus) tell() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.returned != nil {
		close(c.returned)
	}
	c.returned = nil
}

// Watcher follows one table. Run must be called once.
type Watcher struct {
	rule  WatchOptions
	store Store
	see   func(now time.Time, rows map[string]Row)
	log   logrus.FieldLogger

	rows     map[string]Row
	held     map[string]Row // removals that are held back
	after    uint64
	full     bool      // the next call reads the whole table
	lost     time.Time // when the first of the failed calls began
	returned time.Time // when the store last came back
	failures int
	since    atomic.Pointer[time.Time] // since when the store has answered each call
	heard    atomic.Pointer[time.Time] // when the store last answered
}

// NewWatcher returns a watcher that gives see all rows after each change. see
// must not keep or change the map.
func NewWatcher(r WatchOptions, s Store, see func(time.Time, map[string]Row), log logrus.FieldLogger) *Watcher {
	if r.Status == nil {
		r.Status = new(StoreStatus)
	}
	return &Watcher{
		rule:  r,
		store: s,
		see:   see,
		log:   log.WithFields(logrus.Fields{"prefix": "registry", "table": r.Table}),
		rows:  make(map[string]Row),
		held:  make(map[string]Row),
		full:  true,
	}
}

// AnsweringSince returns since when the store has answered each call, the zero time
// while it does not.
func (w *Watcher) AnsweringSince() time.Time {
	if since := w.since.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// LastAnswer returns when the store last answered, the zero time before.
func (w *Watcher) LastAnswer() time.Time {
	if at := w.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Table returns the name of the table.
func (w *Watcher) Table() string { return w.rule.Table }

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun, returned := time.Now(), w.rule.Status.next()
		err := w.step(ctx, returned)
		pause := w.pause()
		switch {
		case err == nil || ctx.Err() != nil:
		case isClosed(returned):
			pause = 0
		default:
			pause = w.failed(err, begun)
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

// pause returns the time until the next call: less than the rule's when held
// rows are to be released before.
func (w *Watcher) pause() time.Duration {
	if len(w.held) == 0 {
		return w.rule.PollInterval
	}
	return min(w.rule.PollInterval, max(0, time.Until(w.holdEnd()))+releaseSlack)
}

// holdEnd returns when removals need not be held back any more.
func (w *Watcher) holdEnd() time.Time {
	returned := w.returned
	if w.rule.ReachableSince != nil {
		if at := w.rule.ReachableSince(); !at.IsZero() && at.Before(returned) {
			returned = at
		}
	}
	return returned.Add(w.rule.RemovalDelay)
}

// step makes one call and takes in its answer. The call is given up when another
// watcher finds the store back.
func (w *Watcher) step(ctx context.Context, returned <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-returned:
			cancel()
		case <-ctx.Done():
		}
	}()
	batch, err := w.call(ctx)
	now := time.Now()
	if err != nil {
		return err
	}
	if w.failures > 0 {
		w.log.WithFields(logrus.Fields{"away_ms": now.Sub(w.lost).Milliseconds()}).Warn("Store regained.")
		w.returned = now
		w.failures = 0
		if now.Sub(w.lost) >= leastAway {
			w.rule.Status.tell()
		}
	}
	if w.since.Load() == nil {
		w.since.Store(&now)
	}
	w.heard.Store(&now)
	w.rule.Status.note(batch.Revision, now)
	changed := w.take(batch, now)
	w.after = max(w.after, batch.Revision)
	w.full = false
	if w.release(now) || changed {
		w.see(now, w.rows)
	}
	return nil
}

// call asks for the changes, or for the whole table after a gap.
func (w *Watcher) call(ctx context.Context) (Batch, error) {
	timeout := w.rule.LongPoll + callSlack
	if w.full {
		timeout = callSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if w.full {
		return w.store.Read(ctx, w.rule.Table)
	}
	return w.store.Changes(ctx, w.rule.Table, w.after, w.rule.LongPoll)
}

// failed notes a call that began at a moment and failed, and returns the time
// until the next one.
func (w *Watcher) failed(err error, begun time.Time) time.Duration {
	var gap *GapError
	if errors.As(err, &gap) {
		w.log.WithError(err).Warn("Reading the whole table.")
		w.full = true
		return 0
	}
	w.failures++
	w.since.Store(nil)
	if w.failures == 1 {
		w.lost = begun
		w.log.WithError(err).Warn("Store lost.")
	}
	return min(failurePause*time.Duration(w.failures), longestPause)
}

// take takes in a batch and says whether the first one or a change was in it.
func (w *Watcher) take(b Batch, now time.Time) bool {
	changed := w.full
	if w.full {
		b.Rows = append(b.Rows, w.missing(b)...)
	}
	for _, row := range b.Rows {
		changed = w.takeRow(row, now) || changed
	}
	return changed
}

// missing returns removals of the rows that a reading of the whole table does
// not have.
func (w *Watcher) missing(b Batch) []Row {
	there := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		there[row.Key] = true
	}
	var gone []Row
	for key, row := range w.rows {
		if !there[key] && row.Revision <= b.Revision {
			gone = append(gone, Row{Key: key, Revision: b.Revision, Removed: true})
		}
	}
	return gone
}

// takeRow takes in one row. A row never goes back to an older revision.
func (w *Watcher) takeRow(row Row, now time.Time) bool {
	known, ok := w.rows[row.Key]
	if ok && row.Revision <= known.Revision {
		return false
	}
	delete(w.held, row.Key)
	if !row.Removed {
		w.rows[row.Key] = row
		return true
	}
	if !ok {
		return false
	}
	if !w.returned.IsZero() && now.Before(w.holdEnd()) {
		w.held[row.Key] = row
		return false
	}
	delete(w.rows, row.Key)
	return true
}

// release carries out the removals that were held back, once that is over.
func (w *Watcher) release(now time.Time) bool {
	if len(w.held) == 0 || now.Before(w.holdEnd()) {
		return false
	}
	for key := range w.held {
		delete(w.rows, key)
	}
	clear(w.held)
	return true
}
