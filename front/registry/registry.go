// Package registry follows tables of a shared store and keeps what they last
// held, through gaps of the store's history, outages and silent connections.
package registry

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table.
type Row struct {
	// Key names the row in its table.
	Key string
	// Value is what it holds; empty for a row that was removed.
	Value []byte
	// Revision is the store's version of the row. It grows with each change.
	Revision uint64
	// Removed says that the row is no longer there.
	Removed bool
}

// Batch is what one call has read.
type Batch struct {
	// Rows are the table's rows, or those that have changed.
	Rows []Row
	// Revision is the store's version at the reading, from which changes are
	// asked for next.
	Revision uint64
	// Clock is the store's steady clock at the reading. It goes on while
	// instances restart.
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

// RowName names a row.
type RowName struct {
	// Table is the name of its table.
	Table string
	// Key names it in the table.
	Key string
}

// Condition is what must hold of a row for a change to be made.
type Condition struct {
	RowName
	// Revision is the one that the row must have; 0 says that it must not
	// exist.
	Revision uint64
}

// NewRow is a row that a change writes.
type NewRow struct {
	RowName
	// Value is what it shall hold.
	Value []byte
}

// Change is made whole or not at all.
type Change struct {
	// Conditions must all hold.
	Conditions []Condition
	// Rows are written.
	Rows []NewRow
}

// Store is a transactional store. Errors: *GapError, *ConflictError,
// *UnavailableError, or the network's.
type Store interface {
	// Read returns all rows of a table as of one moment.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns what has changed in a table after a revision. It waits up
	// to wait for a change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
	// Write makes a change if its conditions hold. After an error other than
	// *ConflictError and *UnavailableError it may have been made, or may be
	// made later.
	Write(ctx context.Context, c Change) error
	// Put writes a row whatever it held.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row whatever it held.
	Remove(ctx context.Context, table, key string) error
}

// GapError says that the store no longer has the history that was asked for.
type GapError struct {
	// Table is the table's name.
	Table string
	// After is the revision that was asked from.
	After uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("table %s: the history after revision %d is gone", e.Table, e.After)
}

// ConflictError says that a condition of a change did not hold. Nothing was
// written.
type ConflictError struct {
	// Conditions are all that the change had.
	Conditions []Condition
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a row has another revision than expected: %v", e.Conditions)
}

// UnavailableError says that the store refused a call without doing anything.
type UnavailableError struct {
	// Status is the HTTP status of the refusal.
	Status int
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d", e.Status)
}
