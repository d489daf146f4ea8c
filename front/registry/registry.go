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
}

// Store is a transactional store. Errors: *GapError, *ConflictError,
// *UnavailableError, or the network's.
type Store interface {
	// Read returns all rows of a table as of one moment.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns what has changed in a table after a revision. It waits up
	// to wait for a change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
	// Write writes a row whose revision is expected to be revision; 0 means
	// that it does not exist.
	Write(ctx context.Context, table, key string, value []byte, revision uint64) error
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

// ConflictError says that a row did not have the expected revision. Nothing was
// written.
type ConflictError struct {
	// Table and Key name the row.
	Table, Key string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("table %s: row %s has another revision", e.Table, e.Key)
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
