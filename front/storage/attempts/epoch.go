package attempts

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// epochState is the cleanup epoch as last read by this instance.
type epochState struct {
	length time.Duration

	mu     sync.Mutex
	watch  *attempt.EpochWatch
	readAt time.Time
}

func newEpochState(length time.Duration) *epochState {
	return &epochState{length: length, watch: attempt.NewEpochWatch(length)}
}

// current returns the epoch and whether it is recent enough to use. If it was
// read longer ago than the length of an epoch, the epoch in the table may be
// ahead by more than one.
func (e *epochState) current(now time.Time) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, known := e.watch.Epoch()
	return epoch, known && now.Sub(e.readAt) < e.length
}

// observe records the epoch from a read that was sent at sentAt and reports
// whether the epoch is to be advanced.
func (e *epochState) observe(epoch uint64, sentAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readAt = sentAt
	e.watch.Observe(epoch, time.Now())
	return e.watch.AdvanceDue(sentAt)
}

// watchStore reads the epoch every EpochInterval, and every ProbeInterval while
// the epoch is unknown or the store is unavailable. The read is also the probe
// that detects that the store is available again.
func (r *Recorder) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		r.refreshEpoch(ctx)
		interval := r.settings.EpochInterval
		if _, known := r.epoch.current(time.Now()); !known || r.health.unavailable() {
			interval = r.settings.ProbeInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-r.health.wentDown:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (r *Recorder) refreshEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CommitTimeout)
	defer cancel()
	sentAt := time.Now()
	row, err := r.table.Get(ctx, r.keys.epoch())
	if err != nil {
		return
	}
	epoch := uint64(0)
	if row.Version > 0 {
		if epoch, err = decodeEpoch(row.Value); err != nil {
			r.log.WithError(err).Error("Failed to decode epoch row.")
			return
		}
	}
	if r.health.unavailable() {
		r.endOutage()
	}
	if row.Version > 0 && !r.epoch.observe(epoch, sentAt) {
		return
	}
	if err := r.advanceEpoch(ctx, row.Version, epoch+1); err != nil {
		r.log.WithError(err).Debug("Failed to advance epoch.")
		return
	}
	r.epoch.observe(epoch+1, sentAt)
}

// endOutage marks the store as available after a successful read. If outcomes
// are queued, a transaction of them must get a response first, because the
// store may respond to reads but not to writes.
func (r *Recorder) endOutage() {
	r.mu.Lock()
	outcomes := r.group.NextOutcomes()
	r.mu.Unlock()
	if outcomes == nil {
		r.health.recordResponse(time.Now())
	} else {
		r.runTransaction(outcomes)
	}
	if !r.health.unavailable() {
		r.log.Info("Store is available again.")
		r.wake()
	}
}

// advanceEpoch writes the next epoch. If another instance was faster or the
// response is lost, the next read returns the epoch that is in force.
func (r *Recorder) advanceEpoch(ctx context.Context, version, epoch uint64) error {
	value, err := json.Marshal(epochRow{Epoch: epoch})
	if err != nil {
		return err
	}
	_, err = r.table.Commit(ctx, []storage.Write{{Key: r.keys.epoch(), Expected: version, Value: value}})
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) && conflict.Actual.Version > 0 {
		if actual, decodeErr := decodeEpoch(conflict.Actual.Value); decodeErr == nil {
			r.epoch.observe(actual, time.Now())
		}
	}
	return err
}
