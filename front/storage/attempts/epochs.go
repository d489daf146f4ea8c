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

// epochs is the cleanup epoch as this instance knows it.
type epochs struct {
	length time.Duration

	mu     sync.Mutex
	watch  *attempt.EpochWatch
	readAt time.Time
}

func newEpochs(length time.Duration) *epochs {
	return &epochs{length: length, watch: attempt.NewEpochWatch(length)}
}

// current returns the epoch, unless it was read longer ago than an epoch's
// length: then the table's may be more than one ahead.
func (e *epochs) current(now time.Time) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, known := e.watch.Epoch()
	return epoch, known && now.Sub(e.readAt) < e.length
}

// observe notes a read that started at a time, and tells whether the epoch is
// to be moved on.
func (e *epochs) observe(epoch uint64, started time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readAt = started
	e.watch.Observe(epoch, time.Now())
	return e.watch.AdvanceDue(started)
}

// watchStore reads the epoch now and then, and often while the store is
// silent: the read is also the probe that ends the silence.
func (r *Recorder) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		r.readEpoch(ctx)
		interval := r.settings.EpochInterval
		if _, known := r.epochs.current(time.Now()); !known || r.silence.silent() {
			interval = r.settings.ProbeInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-r.silence.started:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (r *Recorder) readEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CommitTimeout)
	defer cancel()
	started := time.Now()
	row, err := r.table.Get(ctx, r.rows.epoch())
	if err != nil {
		return
	}
	epoch := uint64(0)
	if row.Version > 0 {
		if epoch, err = decodeEpoch(row.Value); err != nil {
			r.log.WithError(err).Error("Epoch can't be read.")
			return
		}
	}
	if r.silence.silent() {
		r.endSilence()
	}
	if row.Version > 0 && !r.epochs.observe(epoch, started) {
		return
	}
	if err := r.moveEpoch(ctx, row.Version, epoch+1); err != nil {
		r.log.WithError(err).Debug("Epoch not moved on.")
		return
	}
	r.epochs.observe(epoch+1, started)
}

// endSilence ends the silence after an answered read. Where outcomes wait, the
// store must take some of them first: it may answer reads and no writes.
func (r *Recorder) endSilence() {
	r.mu.Lock()
	outcomes := r.group.NextOutcomes()
	r.mu.Unlock()
	if outcomes == nil {
		r.silence.heard(time.Now())
	} else {
		r.carryOut(outcomes)
	}
	if !r.silence.silent() {
		r.log.Info("Store answers again.")
		r.wake()
	}
}

// moveEpoch writes the next epoch. Another instance may have been faster, and
// an answer may be lost; the next read tells.
func (r *Recorder) moveEpoch(ctx context.Context, version, epoch uint64) error {
	value, err := json.Marshal(epochRow{Epoch: epoch})
	if err != nil {
		return err
	}
	_, err = r.table.Commit(ctx, []storage.Write{{Key: r.rows.epoch(), Expected: version, Value: value}})
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) && conflict.Actual.Version > 0 {
		if actual, decodeErr := decodeEpoch(conflict.Actual.Value); decodeErr == nil {
			r.epochs.observe(actual, time.Now())
		}
	}
	return err
}
