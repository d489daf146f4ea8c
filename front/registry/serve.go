package registry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxServedChanges bounds the changes that are kept for followers. A follower
// that is further behind reads the whole table.
const maxServedChanges = 1024

// served is the content of a table, as the store has it, for followers that read
// it from this instance.
type served struct {
	mu          sync.Mutex
	current     bool // the last call reached the store
	rows        map[string]Row
	changes     []Row  // by revision
	completeTo  uint64 // changes holds all changes after this revision
	version     Version
	clock       time.Duration // of the last read
	confirmedAt time.Time     // when the store confirmed the content
	recoveredAt time.Time     // end of the last outage
	updated     chan struct{} // closed at the next update
}

// update applies a batch that has been read. version is that of the table
// afterwards.
func (s *served) update(b Batch, full bool, version Version, now, recoveredAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if full {
		s.rows, s.changes, s.completeTo = make(map[string]Row, len(b.Rows)), nil, b.Revision
	}
	for _, row := range b.Rows {
		if known, ok := s.rows[row.Key]; ok && !row.Version().After(known.Version()) {
			continue
		}
		if row.Removed {
			delete(s.rows, row.Key)
		} else {
			s.rows[row.Key] = row
		}
		if !full {
			s.changes = append(s.changes, row)
		}
	}
	if excess := len(s.changes) - maxServedChanges; excess > 0 {
		s.completeTo = s.changes[excess-1].Revision
		s.changes = slices.Delete(s.changes, 0, excess)
	}
	s.current, s.version, s.recoveredAt = true, version, recoveredAt
	if at := now.Add(-b.Age); at.After(s.confirmedAt) {
		s.confirmedAt, s.clock = at, b.Clock
	}
	s.notify()
}

// setLost records that the store is not reached.
func (s *served) setLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = false
	s.notify()
}

// notify wakes all waiting calls. The caller holds mu.
func (s *served) notify() {
	if s.updated != nil {
		close(s.updated)
	}
	s.updated = make(chan struct{})
}

// batch returns a batch without rows.
func (s *served) batch(now time.Time) Batch {
	b := Batch{Revision: s.version.Revision, Era: s.version.Era, Age: now.Sub(s.confirmedAt), Clock: s.clock}
	if !s.recoveredAt.IsZero() {
		b.SinceOutage = now.Sub(s.recoveredAt)
	}
	return b
}

// ServeRead returns the table for a follower. Errors: *NotCurrentError.
func (w *Watcher) ServeRead() (Batch, error) {
	s := &w.served
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.current {
		return Batch{}, &NotCurrentError{Table: w.options.Table}
	}
	b := s.batch(time.Now())
	b.Rows = slices.Collect(maps.Values(s.rows))
	return b, nil
}

// ServeChanges returns the changes after a version for a follower. It waits up to
// wait for one. In another era than that of the version it returns no rows, and
// the follower has to read the whole table. Errors: *GapError, *NotCurrentError,
// or that of ctx.
func (w *Watcher) ServeChanges(ctx context.Context, after Version, wait time.Duration) (Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	expired := wait <= 0
	for {
		b, updated, err := w.changesAfter(after)
		if err != nil || len(b.Rows) > 0 || b.Era != after.Era || expired {
			return b, err
		}
		select {
		case <-updated:
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// changesAfter returns the changes after a version and a channel that is closed
// at the next update.
func (w *Watcher) changesAfter(after Version) (Batch, <-chan struct{}, error) {
	s := &w.served
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.current || after.Era > s.version.Era:
		return Batch{}, nil, &NotCurrentError{Table: w.options.Table}
	case after.Era < s.version.Era:
		return s.batch(time.Now()), s.updated, nil
	case after.Revision < s.completeTo:
		return Batch{}, nil, &GapError{Table: w.options.Table, After: after.Revision}
	}
	b := s.batch(time.Now())
	i := len(s.changes)
	for i > 0 && s.changes[i-1].Revision > after.Revision {
		i--
	}
	b.Rows = slices.Clone(s.changes[i:])
	return b, s.updated, nil
}
