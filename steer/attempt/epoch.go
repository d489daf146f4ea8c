package attempt

import "time"

// Defaults of the expiry of records.
const (
	// DefaultEpoch is the least time between two epochs.
	DefaultEpoch = time.Hour
	// DefaultKeepEpochs is for how many whole epochs a record is kept.
	DefaultKeepEpochs = 24
)

// Expired tells whether a record made in an epoch may be deleted in the
// current one. The instance that made it may have known an epoch that was one
// behind, and both epochs may have been partly over, hence the two on top.
func Expired(createdIn, current uint64, keepEpochs int) bool {
	return current >= createdIn+uint64(keepEpochs)+2
}

// EpochWatch paces the epochs without comparing two clocks: an instance moves
// the epoch on when it has itself seen it unchanged for the epoch's length. So
// an epoch is never shorter than that; it is longer when instances live
// shorter, and then records are kept longer.
type EpochWatch struct {
	minLength   time.Duration
	epoch       uint64
	firstSeenAt time.Time
	known       bool
}

// NewEpochWatch returns a watch that knows no epoch.
func NewEpochWatch(length time.Duration) *EpochWatch { return &EpochWatch{minLength: length} }

// Observe notes the epoch that was read; now is the time after the read.
func (w *EpochWatch) Observe(epoch uint64, now time.Time) {
	if w.known && epoch == w.epoch {
		return
	}
	w.epoch, w.firstSeenAt, w.known = epoch, now, true
}

// Epoch returns the epoch last seen.
func (w *EpochWatch) Epoch() (epoch uint64, known bool) { return w.epoch, w.known }

// AdvanceDue tells whether the epoch is to be moved on; now is the time before the
// read that confirmed it.
func (w *EpochWatch) AdvanceDue(now time.Time) bool {
	return w.known && now.Sub(w.firstSeenAt) >= w.minLength
}
