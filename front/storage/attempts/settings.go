// Package attempts stores the attempt records of requests with an idempotency
// key in the platform's table, so that each request runs at most once across
// all instances. Package steer/attempt makes the decisions; this package sends
// the group commits, caches records and deletes expired ones.
//
// The rows, below "<environment>/attempts/", are:
//
//	epoch                   the current cleanup epoch
//	records/<3 hex>/<hash>  a record; the hash covers team, route and key
package attempts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// Settings limits the recorder's load on the store and its queues.
type Settings struct {
	// Group limits the group commits.
	Group attempt.GroupSettings
	// CommitTimeout bounds one send of a transaction.
	CommitTimeout time.Duration
	// ProbeInterval is the time between two probes while the store is
	// unavailable.
	ProbeInterval time.Duration
	// EpochInterval is the time between two reads of the epoch while the store
	// is available.
	EpochInterval time.Duration
	// EpochLength is the minimum length of an epoch. KeepEpochs is the number of
	// whole epochs for which a record is kept.
	EpochLength time.Duration
	KeepEpochs  int
	// CleanupInterval is the time between two cleanups. Each cleans one
	// partition with one write of at most CleanupRows rows.
	CleanupInterval time.Duration
	CleanupRows     int
	// FlushTimeout bounds how long outcomes are written during shutdown.
	FlushTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultCommitTimeout   = 500 * time.Millisecond
	DefaultProbeInterval   = 250 * time.Millisecond
	DefaultEpochInterval   = 30 * time.Second
	DefaultCleanupInterval = 15 * time.Second
	DefaultCleanupRows     = 256
	DefaultFlushTimeout    = 2 * time.Second
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Group:           attempt.DefaultGroupSettings(),
		CommitTimeout:   DefaultCommitTimeout,
		ProbeInterval:   DefaultProbeInterval,
		EpochInterval:   DefaultEpochInterval,
		EpochLength:     attempt.DefaultEpoch,
		KeepEpochs:      attempt.DefaultKeepEpochs,
		CleanupInterval: DefaultCleanupInterval,
		CleanupRows:     DefaultCleanupRows,
		FlushTimeout:    DefaultFlushTimeout,
	}
}
