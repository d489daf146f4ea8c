// Package registry keeps local copies of tables in a shared transactional
// store. A Watcher polls one table, reports each change to its owner, and keeps
// the last known rows through store outages, gaps in the store's change history,
// restores of the store from an older copy, and connections on which no response
// arrives.
package registry

import (
	"context"
	"fmt"
	"time"
)

// Version is a version of the store. A restore from an older copy begins a new
// era, in which revisions continue from that of the copy, so that revisions of
// the previous era are issued again.
type Version struct {
	// Era counts the restores. It is 0 for a store that does not report it.
	Era uint64
	// Revision grows with each change within an era.
	Revision uint64
}

// After reports whether v is later than o.
func (v Version) After(o Version) bool {
	if v.Era != o.Era {
		return v.Era > o.Era
	}
	return v.Revision > o.Revision
}

// Row is one row of a table.
type Row struct {
	// Key identifies the row in its table.
	Key string
	// Value is the row's content; empty for a removed row.
	Value []byte
	// Revision is the store's revision of the row's last change.
	Revision uint64
	// Era is the store's era when the row was read.
	Era uint64
	// Removed reports whether the row has been removed.
	Removed bool
}

// Version returns the version of the row's last change.
func (r Row) Version() Version { return Version{Era: r.Era, Revision: r.Revision} }

// Batch is the result of one read.
type Batch struct {
	// Rows are all rows of the table, or those that have changed.
	Rows []Row
	// Revision is the store's revision at the time of the read. The next call
	// for changes starts from it.
	Revision uint64
	// Era is the store's era at the time of the read.
	Era uint64
	// Age is how long ago the store confirmed the content. It is 0 for a read
	// from the store itself.
	Age time.Duration
	// SinceOutage is how long ago the source of a relayed read found that the
	// store was back after an outage; 0 if it has seen none.
	SinceOutage time.Duration
	// Clock is the store's monotonic clock at the time of the read. It
	// continues while instances restart.
	Clock time.Duration
}

// Version returns the store's version at the time of the read.
func (b Batch) Version() Version { return Version{Era: b.Era, Revision: b.Revision} }

// ByKey returns the rows by their keys.
func (b Batch) ByKey() map[string]Row {
	rows := make(map[string]Row, len(b.Rows))
	for _, row := range b.Rows {
		rows[row.Key] = row
	}
	return rows
}

// RowName identifies a row.
type RowName struct {
	// Table is the name of its table.
	Table string
	// Key identifies the row in the table.
	Key string
}

// Condition is a precondition of a change on one row.
type Condition struct {
	RowName
	// Revision is the revision that the row must have; 0 requires that the row
	// does not exist.
	Revision uint64
}

// NewRow is a row written by a change.
type NewRow struct {
	RowName
	// Value is the new content.
	Value []byte
}

// Change is applied atomically.
type Change struct {
	// Era is the era in which the revisions of the conditions were read.
	Era uint64
	// Conditions must all hold.
	Conditions []Condition
	// Rows are written.
	Rows []NewRow
}

// Store is a transactional store. Errors: *GapError, *ConflictError,
// *UnavailableError, *EraError, or network errors.
type Store interface {
	// Read returns a consistent snapshot of all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows of a table that have changed after a version. It
	// waits up to wait for a change.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Batch, error)
	// Write applies a change if its conditions hold. It returns the revision of the
	// written rows, or 0 if the store did not return it. After an error other than
	// *ConflictError and *UnavailableError the outcome is unknown: the change
	// may have been applied, or may be applied later. In particular, *EraError
	// reports that the conditions were checked against revisions of another era,
	// or that the change was not sent.
	Write(ctx context.Context, c Change) (revision uint64, err error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row unconditionally.
	Remove(ctx context.Context, table, key string) error
}

// GapError reports that the store no longer has the requested change history.
type GapError struct {
	// Table is the table's name.
	Table string
	// After is the revision that the changes were requested from.
	After uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("table %s: the store no longer has the changes after revision %d", e.Table, e.After)
}

// ConflictError reports that a condition of a change did not hold. Nothing was
// written.
type ConflictError struct {
	// Conditions are all conditions of the change.
	Conditions []Condition
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change not applied: a row does not have the expected revision: %v", e.Conditions)
}

// UnavailableError reports that the store rejected a call without any effect.
type UnavailableError struct {
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store rejected the call with status %d", e.Status)
}

// NotCurrentError reports that a watcher can't serve its table to others, since
// it does not reach the store itself.
type NotCurrentError struct {
	// Table is the table's name.
	Table string
}

// Error implements error.
func (e *NotCurrentError) Error() string {
	return fmt.Sprintf("table %s: the store is not reached", e.Table)
}

// EraError reports a response of another era than the one that the call was
// made for.
type EraError struct {
	// Expected is the era that the call was made for.
	Expected uint64
	// Actual is the era of the response.
	Actual uint64
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, the call was made for era %d", e.Actual, e.Expected)
}
