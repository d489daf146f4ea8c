package registry

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// callTimeoutMargin is added to the long-poll time of a call to allow for
	// the round trip and for a busy store.
	callTimeoutMargin = 1500 * time.Millisecond
	// initialBackoff is the time to the next call after a first failure. It is
	// short compared with the time within which a change must take effect.
	initialBackoff = 300 * time.Millisecond
	// maxBackoff bounds the backoff. Every instance polls a store that is down.
	maxBackoff = 500 * time.Millisecond
	// minOutage is the shortest outage after which the other watchers are
	// notified that the store is back. After a shorter one, caused by calls
	// that fail at once, each watcher notices by itself.
	minOutage = time.Second
	// defaultRestoreDelay is the RestoreDelay of tables whose writers write at
	// least every 1.5 s.
	defaultRestoreDelay = 2 * time.Second
	// releaseMargin is added to the wait for delayed changes so that the poll
	// comes after the delay has ended.
	releaseMargin = time.Millisecond
)

// WatchOptions configure a Watcher.
type WatchOptions struct {
	// Table is the table's name.
	Table string
	// Pace is how the table is polled.
	Pace
	// CurrentPace, if set, returns the pace of the next call instead.
	CurrentPace func() Pace
	// CallMargin is added to the long-poll time of a call. It allows for the
	// round trip, for a busy store, and for sources that do not respond; 0 means
	// callTimeoutMargin.
	CallMargin time.Duration
	// RemovalDelay is how long after the end of an outage removals that
	// happened during it are delayed. Rows that expired during the outage may
	// be written again in that time. 0 disables the delay.
	RemovalDelay time.Duration
	// RefreshInterval is the longest time between two calls of onChange while the
	// store responds; with 0 it is only called after changes.
	RefreshInterval time.Duration
	// RestoreDelay is how long after a restore of the store the known content of
	// rows that the restored copy lacks, or has in an older state, stays in
	// force, so that their writers can write them again. 0 means
	// defaultRestoreDelay.
	RestoreDelay time.Duration
	// IsNewer reports whether the content of a row shows that it was written after
	// that of the known row with the same key. After a restore of the store,
	// revisions don't tell: those of the known rows are issued again. nil reports
	// false for all rows.
	IsNewer func(known, read Row) bool
	// ReachableSince returns since when any instance has reached the table
	// without interruption, or the zero time if unknown. It tells an outage of
	// the store from a network partition of this instance. May be nil.
	ReachableSince func() time.Time
	// Status is shared by the watchers of one store; nil gives the watcher a
	// status of its own.
	Status *StoreStatus
}

// Pace is how a table is polled.
type Pace struct {
	// LongPoll is how long the store may hold a call until there is a change;
	// with 0 the call returns at once.
	LongPoll time.Duration
	// PollInterval is the time between the end of one call and the start of the
	// next.
	PollInterval time.Duration
}

// StoreStatus is shared by the watchers of one store. They notify each other
// when the store is back after an outage or in a new era, and record the revisions
// that it has reached. The zero value is ready for use.
type StoreStatus struct {
	mu        sync.Mutex
	recovered chan struct{}
	era       uint64         // the latest era
	observed  []revisionTime // by revision, of the latest era
}

// revisionTime is a time by which the store had reached a revision.
type revisionTime struct {
	revision uint64
	at       time.Time
}

// maxObserved bounds the recorded revisions: more than a minute of responses
// that each bring a change.
const maxObserved = 256

// observeVersion records the version of a response. It returns the latest era,
// which is later than that of a delayed response.
func (s *StoreStatus) observeVersion(v Version, at time.Time) (era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Era > s.era {
		if s.observed != nil {
			s.wake()
		}
		s.era, s.observed = v.Era, nil
	}
	if v.Era == s.era {
		s.observeRevision(v.Revision, at)
	}
	return s.era
}

// observeRevision records a revision of the latest era. The caller holds mu.
func (s *StoreStatus) observeRevision(revision uint64, at time.Time) {
	if n := len(s.observed); n > 0 && s.observed[n-1].revision >= revision {
		return
	}
	if len(s.observed) == maxObserved {
		s.observed = slices.Delete(s.observed, 0, maxObserved/4)
	}
	s.observed = append(s.observed, revisionTime{revision, at})
}

// ReachedAt returns a time by which the store had reached a version, or the zero
// time if unknown. The change with that version was made no later, even if the
// watcher of its table reads it later.
func (s *StoreStatus) ReachedAt(v Version) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Era != s.era {
		return time.Time{}
	}
	i := slices.IndexFunc(s.observed, func(r revisionTime) bool { return r.revision >= v.Revision })
	if i < 0 || i == 0 && s.observed[0].revision > v.Revision {
		return time.Time{}
	}
	return s.observed[i].at
}

// latestEra returns the latest era that was observed.
func (s *StoreStatus) latestEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// nextRecovery returns a channel that is closed when the store is next found to
// be back after an outage, or in a new era.
func (s *StoreStatus) nextRecovery() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered == nil {
		s.recovered = make(chan struct{})
	}
	return s.recovered
}

// notifyRecovered notifies all watchers that the store is back.
func (s *StoreStatus) notifyRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake cancels the calls of all watchers. The caller holds mu.
func (s *StoreStatus) wake() {
	if s.recovered != nil {
		close(s.recovered)
	}
	s.recovered = nil
}

// Watcher follows one table. Run must be called once.
type Watcher struct {
	options  WatchOptions
	store    Store
	onChange func(now time.Time, rows map[string]Row)
	log      logrus.FieldLogger
	served   served

	rows           map[string]Row
	delayedChanges map[string]Row // removals and older states not yet applied
	version        Version        // of the last read
	needsFullRead  bool           // the next call reads the whole table
	outageStart    time.Time      // start of the first failed call
	recoveredAt    time.Time      // end of the last outage
	refreshedAt    time.Time      // when onChange was last called
	restoredAt     time.Time      // when the last restore was noticed
	failures       int
	reachableSince atomic.Pointer[time.Time] // since when every call has succeeded
	lastResponse   atomic.Pointer[time.Time] // time of the last response
}

// NewWatcher returns a watcher that calls onChange with all rows after each
// change. onChange must not keep or modify the map.
func NewWatcher(options WatchOptions, s Store, onChange func(time.Time, map[string]Row), log logrus.FieldLogger) *Watcher {
	if options.Status == nil {
		options.Status = new(StoreStatus)
	}
	if options.CurrentPace == nil {
		options.CurrentPace = func() Pace { return options.Pace }
	}
	if options.CallMargin == 0 {
		options.CallMargin = callTimeoutMargin
	}
	if options.IsNewer == nil {
		options.IsNewer = func(Row, Row) bool { return false }
	}
	if options.RestoreDelay == 0 {
		options.RestoreDelay = defaultRestoreDelay
	}
	return &Watcher{
		options:        options,
		store:          s,
		onChange:       onChange,
		log:            log.WithFields(logrus.Fields{"prefix": "registry", "table": options.Table}),
		rows:           make(map[string]Row),
		delayedChanges: make(map[string]Row),
		needsFullRead:  true,
	}
}

// ReachableSince returns since when every call to the store has succeeded, or
// the zero time if the last one failed.
func (w *Watcher) ReachableSince() time.Time {
	if since := w.reachableSince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// LastResponse returns the time of the store's last response, which may have come
// by a relay, or the zero time before the first one.
func (w *Watcher) LastResponse() time.Time {
	if at := w.lastResponse.Load(); at != nil {
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

// isClosed reports whether c, on which nothing is sent, is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// nextPollDelay returns the time to the next call. It is shorter than the poll
// interval if delayed changes become due earlier.
func (w *Watcher) nextPollDelay() time.Duration {
	if len(w.delayedChanges) == 0 {
		return w.options.CurrentPace().PollInterval
	}
	return min(w.options.CurrentPace().PollInterval, max(0, time.Until(w.delayEnd()))+releaseMargin)
}

// delayEnd returns the time until which changes are delayed.
func (w *Watcher) delayEnd() time.Time {
	outage := w.removalDelayEnd()
	if w.restoredAt.IsZero() {
		return outage
	}
	if restore := w.restoredAt.Add(w.options.RestoreDelay); restore.After(outage) {
		return restore
	}
	return outage
}

// removalDelayEnd returns the time until which removals are delayed after an
// outage.
func (w *Watcher) removalDelayEnd() time.Time {
	recoveredAt := w.recoveredAt
	if w.options.ReachableSince != nil {
		if at := w.options.ReachableSince(); !at.IsZero() && at.Before(recoveredAt) {
			recoveredAt = at
		}
	}
	return recoveredAt.Add(w.options.RemovalDelay)
}

// poll makes one call and applies its result. The call is canceled when another
// watcher finds that the store is back.
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
		w.log.WithFields(logrus.Fields{"away_ms": now.Sub(w.outageStart).Milliseconds()}).Warn("Store available again.")
		w.recoveredAt = now
		w.failures = 0
		if now.Sub(w.outageStart) >= minOutage {
			w.options.Status.notifyRecovered()
		}
	}
	if batch.SinceOutage > 0 && now.Add(-batch.SinceOutage).After(w.recoveredAt) {
		w.recoveredAt = now.Add(-batch.SinceOutage)
	}
	if w.reachableSince.Load() == nil {
		w.reachableSince.Store(&now)
	}
	confirmedAt := now.Add(-batch.Age)
	w.lastResponse.Store(&confirmedAt)
	if era := w.options.Status.observeVersion(batch.Version(), now); batch.Era != era {
		return &EraError{Expected: era, Actual: batch.Era}
	}
	if batch.Era != w.version.Era && !w.needsFullRead {
		return &EraError{Expected: w.version.Era, Actual: batch.Era}
	}
	changed := w.applyBatch(batch, now)
	if v := batch.Version(); v.After(w.version) {
		w.version = v
	}
	w.served.update(batch, w.needsFullRead, w.version, now, w.recoveredAt)
	w.needsFullRead = false
	if w.applyDelayedChanges(now) || changed || w.refreshDue(now) {
		w.onChange(now, w.rows)
		w.refreshedAt = now
	}
	return nil
}

// refreshDue reports whether onChange is due without a change.
func (w *Watcher) refreshDue(now time.Time) bool {
	return w.options.RefreshInterval > 0 && now.Sub(w.refreshedAt) >= w.options.RefreshInterval
}

// readOrChanges reads the changes, or the whole table at the start and after a
// gap or a restore.
func (w *Watcher) readOrChanges(ctx context.Context) (Batch, error) {
	if w.options.Status.latestEra() > w.version.Era {
		w.needsFullRead = true // revisions of an earlier era don't tell what has changed
	}
	longPoll := w.longPoll()
	timeout := longPoll + w.options.CallMargin
	if w.needsFullRead {
		timeout = w.options.CallMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if w.needsFullRead {
		return w.store.Read(ctx, w.options.Table)
	}
	return w.store.Changes(ctx, w.options.Table, w.version, longPoll)
}

// longPoll returns how long the store may hold the next call: no longer than
// until delayed changes become due.
func (w *Watcher) longPoll() time.Duration {
	longPoll := w.options.CurrentPace().LongPoll
	if len(w.delayedChanges) == 0 {
		return longPoll
	}
	return min(longPoll, max(0, time.Until(w.delayEnd()))+releaseMargin)
}

// recordFailure records a failed call and returns the time to the next one.
func (w *Watcher) recordFailure(err error, start time.Time) time.Duration {
	var gap *GapError
	if errors.As(err, &gap) {
		w.log.WithError(err).Warn("Gap in the store's history, reading the whole table.")
		w.needsFullRead = true
		return 0
	}
	var era *EraError
	if errors.As(err, &era) {
		if w.needsFullRead {
			return initialBackoff // the source of a relayed read is behind
		}
		w.log.WithError(err).Warn("Response of another era of the store, reading the whole table.")
		w.needsFullRead = true
		return 0
	}
	w.failures++
	w.served.setLost()
	w.reachableSince.Store(nil)
	if w.failures == 1 {
		w.outageStart = start
		w.log.WithError(err).Warn("Store unavailable.")
	}
	return min(initialBackoff*time.Duration(w.failures), maxBackoff)
}

// applyBatch applies a batch and reports whether it is the first one or
// contains a change.
func (w *Watcher) applyBatch(b Batch, now time.Time) bool {
	changed := w.needsFullRead
	if w.needsFullRead {
		if w.version != (Version{}) && b.Era != w.version.Era {
			w.applyRestore(b, now)
			return true
		}
		b.Rows = append(b.Rows, w.missingRows(b)...)
	}
	for _, row := range b.Rows {
		changed = w.applyRow(row, now) || changed
	}
	return changed
}

// applyRestore applies the first read of the whole table in a new era. Changes
// made shortly before the restore are lost until their writers repeat them, so
// what the copy has in an older state than known is delayed.
func (w *Watcher) applyRestore(b Batch, now time.Time) {
	w.restoredAt = now
	clear(w.delayedChanges)
	for _, row := range w.missingRows(b) {
		w.delayedChanges[row.Key] = row
	}
	for _, row := range b.Rows {
		if known, ok := w.rows[row.Key]; ok && w.mayBeOlder(known, row) {
			w.delayedChanges[row.Key] = row
			continue
		}
		w.rows[row.Key] = row
	}
	w.log.WithFields(logrus.Fields{
		"era": b.Era, "previous_era": w.version.Era, "revision": b.Revision, "previous_revision": w.version.Revision,
	}).WithFields(w.delayedFields()).Warn("Store restored from an older copy.")
}

// mayBeOlder reports whether a row that was read after a restore may be an older
// state of a known row.
func (w *Watcher) mayBeOlder(known, read Row) bool {
	return read.Revision < known.Revision && !bytes.Equal(read.Value, known.Value) && !w.options.IsNewer(known, read)
}

// maxLoggedKeys bounds the keys in one log line.
const maxLoggedKeys = 8

// delayedFields returns the number of delayed changes and some of their keys.
func (w *Watcher) delayedFields() logrus.Fields {
	keys := slices.Sorted(maps.Keys(w.delayedChanges))
	return logrus.Fields{"delayed": len(keys), "keys": keys[:min(len(keys), maxLoggedKeys)]}
}

// missingRows returns removals for the known rows that are missing from a read
// of the whole table.
func (w *Watcher) missingRows(b Batch) []Row {
	present := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		present[row.Key] = true
	}
	var removed []Row
	for key, row := range w.rows {
		if !present[key] && !row.Version().After(b.Version()) {
			removed = append(removed, Row{Key: key, Revision: b.Revision, Era: b.Era, Removed: true})
		}
	}
	return removed
}

// applyRow applies one row and reports whether the table has changed. A row
// never goes back to an older version.
func (w *Watcher) applyRow(row Row, now time.Time) bool {
	if delayed, ok := w.delayedChanges[row.Key]; ok && !row.Version().After(delayed.Version()) {
		return false
	}
	known, ok := w.rows[row.Key]
	if ok && !row.Version().After(known.Version()) {
		return false
	}
	delete(w.delayedChanges, row.Key)
	if !row.Removed {
		w.rows[row.Key] = row
		return true
	}
	if !ok {
		return false
	}
	if !w.recoveredAt.IsZero() && now.Before(w.removalDelayEnd()) {
		w.delayedChanges[row.Key] = row
		return false
	}
	delete(w.rows, row.Key)
	return true
}

// applyDelayedChanges applies the delayed changes once the delay has ended.
func (w *Watcher) applyDelayedChanges(now time.Time) bool {
	if len(w.delayedChanges) == 0 || now.Before(w.delayEnd()) {
		return false
	}
	w.log.WithFields(w.delayedFields()).Info("Delayed changes in force.")
	for key, row := range w.delayedChanges {
		if row.Removed {
			delete(w.rows, key)
			continue
		}
		w.rows[key] = row
	}
	clear(w.delayedChanges)
	return true
}
