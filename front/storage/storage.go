// Package storage is the way to the platform's service: its transactional
// table, its object store and its list of instances.
//
// The interfaces here are the whole contract. Client speaks them over HTTP; an
// adapter for another platform replaces this package.
package storage

import (
	"context"
	"time"
)

// Row is one row of the table.
type Row struct {
	// Key names the row. Keys sort bytewise; parts are parted by "/".
	Key string `json:"key"`
	// Version counts the writes of the row and starts at 1.
	Version uint64 `json:"version"`
	// Value is the row's content.
	Value []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	// Key names the row.
	Key string `json:"key"`
	// Expected is the version that the row must have; 0 means that it must
	// not exist.
	Expected uint64 `json:"expected"`
	// Value is the new content. It is ignored when Delete is set.
	Value []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Scan returns the rows whose keys start with prefix, in key order, as one
	// consistent read. Errors: *Error.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Get returns one row; a row that does not exist has Version 0 and no
	// error. Errors: *Error.
	Get(ctx context.Context, key string) (Row, error)
	// Commit carries out all writes or none and returns the new versions in
	// the order of writes. Errors: *ConflictError when a row had another
	// version (nothing was written); *Error otherwise, whose Effect says
	// whether the writes may have taken effect.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the platform's object store. Objects are immutable and named by
// their digest, so a repeated Put is harmless.
type Objects interface {
	// PutObject stores content under its digest and returns the digest in the
	// form "sha256:<hex>". Errors: *Error.
	PutObject(ctx context.Context, content []byte) (digest string, err error)
	// GetObject returns the content after checking it against the digest.
	// Errors: *Error.
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// ListedInstance is one entry of the platform's list, which lags.
type ListedInstance struct {
	// Name is the instance's unique name, new for every process.
	Name string `json:"name"`
	// Leaving says that the platform is about to stop the instance.
	Leaving bool `json:"leaving"`
	// ObservedAt is when the platform took the entry down, on its own clock.
	ObservedAt time.Time `json:"observedAt"`
}

// Instances is the platform's lagging list of live and leaving instances.
type Instances interface {
	// ListInstances returns the list. Errors: *Error.
	ListInstances(ctx context.Context) ([]ListedInstance, error)
}

// Service is everything that the platform gives.
type Service interface {
	Table
	Objects
	Instances
}
