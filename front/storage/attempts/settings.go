// Package attempts keeps the attempt records of requests with an idempotency
// key in the platform's table, so that each runs at most once over all
// instances. The decisions are those of steer/attempt.
//
// Rows, below "<environment>/attempts/":
//
//	epoch                the current cleanup epoch
//	records/<3 hex>/<hash>  one record; the hash is of team, route and key
package attempts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// Settings bounds what the recorder asks of the store and of its callers.
type Settings struct {
	// Group bounds the group commits.
	Group attempt.GroupSettings
	// CommitTimeout bounds one send of a transaction.
	CommitTimeout time.Duration
	// ProbeInterval is how often a silent store is asked again.
	ProbeInterval time.Duration
	// EpochInterval is how often the epoch is read while the store answers.
	EpochInterval time.Duration
	// EpochLength is the least length of an epoch, and KeepEpochs for how many whole
	// ones a record is kept.
	EpochLength time.Duration
	KeepEpochs  int
	// CleanupInterval is how often one part of the records is cleaned, with
	// one write of at most CleanupRows rows.
	CleanupInterval time.Duration
	CleanupRows     int
	// FlushTimeout bounds how long outcomes are written after the end.
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

// DefaultSettings returns the defaults.
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
