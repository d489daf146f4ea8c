// Package storage gives access to the platform's service: its transactional
// table, its object store and its list of instances.
//
// The interfaces are the whole contract with the platform. Client implements
// them over HTTP; an adapter for another platform implements them instead.
package storage

import (
	"context"
	"time"
)

// Row is one row of the table.
type Row struct {
	// Key identifies the row. Keys are ordered bytewise; their segments are
	// separated by "/".
	Key string `json:"key"`
	// Version counts the writes of the row and starts at 1.
	Version uint64 `json:"version"`
	// Value is the row's content.
	Value []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Expected is the version that the row must have; 0 means that the row
	// must not exist.
	Expected uint64 `json:"expected"`
	// Value is the new content. It is ignored when Delete is set.
	Value []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Scan returns the rows whose keys start with prefix, in key order, from
	// one consistent read. Errors: *Error.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Get returns one row. If the row does not exist, it returns a row with
	// Version 0 and no error. Errors: *Error.
	Get(ctx context.Context, key string) (Row, error)
	// Commit applies all writes or none and returns the new versions in the
	// order of writes. Errors: *ConflictError if a row did not have the
	// expected version (nothing was written); otherwise *Error, whose Effect
	// says whether the writes may have taken effect.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the platform's object store. Objects are immutable and named by
// their digest, so a repeated PutObject is harmless.
type Objects interface {
	// PutObject stores content under its digest and returns the digest in the
	// form "sha256:<hex>". Errors: *Error.
	PutObject(ctx context.Context, content []byte) (digest string, err error)
	// GetObject returns the content after checking it against the digest.
	// Errors: *Error.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// ListedInstance is one entry of the platform's list of instances.
type ListedInstance struct {
	// Name is the instance's unique name, new for every process.
	Name string `json:"name"`
	// Leaving is set when the platform is about to stop the instance.
	Leaving bool `json:"leaving"`
	// ObservedAt is when the platform recorded the entry, on the platform's
	// clock.
	ObservedAt time.Time `json:"observedAt"`
}

// Instances is the platform's list of live and leaving instances. The list lags
// behind the actual state.
type Instances interface {
	// ListInstances returns the list. Errors: *Error.
	ListInstances(ctx context.Context) ([]ListedInstance, error)
}

// Service is the complete service of the platform.
type Service interface {
	Table
	Objects
	Instances
}
