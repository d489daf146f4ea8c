// Package registry keeps local copies of tables in a shared transactional
// store. A Watcher polls one table, reports each change to its owner, and keeps
// the last known rows through store outages, gaps in the store's change history
// and connections on which no response arrives.
package registry

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table.
type Row struct {
	// Key identifies the row in its table.
	Key string
	// Value is the row's content; empty for a removed row.
	Value []byte
	// Revision is the store's version of the row. It grows with each change.
	Revision uint64
	// Removed reports whether the row has been removed.
	Removed bool
}

// Batch is the result of one read.
type Batch struct {
	// Rows are all rows of the table, or those that have changed.
	Rows []Row
	// Revision is the store's version at the time of the read. The next call
	// for changes starts from it.
	Revision uint64
	// Clock is the store's monotonic clock at the time of the read. It
	// continues while instances restart.
	Clock time.Duration
}

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
	// Conditions must all hold.
	Conditions []Condition
	// Rows are written.
	Rows []NewRow
}

// Store is a transactional store. Errors: *GapError, *ConflictError,
// *UnavailableError, or network errors.
type Store interface {
	// Read returns a consistent snapshot of all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows of a table that have changed after a revision.
	// It waits up to wait for a change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
	// Write applies a change if its conditions hold. After an error other than
	// *ConflictError and *UnavailableError the outcome is unknown: the change
	// may have been applied, or may be applied later.
	Write(ctx context.Context, c Change) error
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
