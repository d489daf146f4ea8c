package attempt

import "time"

// Default expiry of records.
const (
	// DefaultEpoch is the shortest time between two epochs.
	DefaultEpoch = time.Hour
	// DefaultKeepEpochs is the number of whole epochs for which a record is
	// kept.
	DefaultKeepEpochs = 24
)

// Expired reports whether a record created in one epoch may be deleted in the
// current one. Two epochs are added: the instance that created the record may
// have seen an epoch that was one behind, and the first and the last epoch may
// count only in part.
func Expired(createdIn, current uint64, keepEpochs int) bool {
	return current >= createdIn+uint64(keepEpochs)+2
}

// EpochWatch decides when to advance the epoch without comparing two clocks.
// An instance advances it after it has itself seen the epoch unchanged for
// minLength, so an epoch is never shorter than that. If instances live for
// less time than that, epochs last longer and records are kept longer.
type EpochWatch struct {
	minLength   time.Duration
	epoch       uint64
	firstSeenAt time.Time
	known       bool
}

// NewEpochWatch returns a watch that has not seen an epoch yet.
func NewEpochWatch(length time.Duration) *EpochWatch { return &EpochWatch{minLength: length} }

// Observe records the epoch that was read; now is the time after the read.
func (w *EpochWatch) Observe(epoch uint64, now time.Time) {
	if w.known && epoch == w.epoch {
		return
	}
	w.epoch, w.firstSeenAt, w.known = epoch, now, true
}

// Epoch returns the epoch last read.
func (w *EpochWatch) Epoch() (epoch uint64, known bool) { return w.epoch, w.known }

// AdvanceDue reports whether the epoch is to be advanced; now is the time
// before the read that confirmed it.
func (w *EpochWatch) AdvanceDue(now time.Time) bool {
	return w.known && now.Sub(w.firstSeenAt) >= w.minLength
}
