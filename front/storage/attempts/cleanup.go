package attempts

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// cleanUp deletes expired records until ctx ends. In each interval every
// instance cleans one partition of the table, drawn at random, with at most one
// write.
func (r *Recorder) cleanUp(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.CleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.health.unavailable() {
			continue
		}
		partition := rand.IntN(partitionCount)
		if err := r.cleanPartition(ctx, partition); err != nil {
			r.log.WithError(err).WithField("records", partition).Debug("Failed to clean partition of attempt records.")
		}
	}
}

// cleanPartition deletes up to CleanupRows expired records of one partition.
func (r *Recorder) cleanPartition(ctx context.Context, partition int) error {
	current, known := r.epoch.current(time.Now())
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CommitTimeout)
	defer cancel()
	rows, err := r.table.Scan(ctx, r.keys.partition(partition))
	if err != nil {
		return err
	}
	deletes := r.expiredDeletes(rows, current)
	if len(deletes) == 0 {
		return nil
	}
	_, err = r.table.Commit(ctx, deletes)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return nil // another instance changed a row; the partition will be drawn again
	}
	if err == nil {
		r.metrics.countDeleted(len(deletes))
	}
	return err
}

func (r *Recorder) expiredDeletes(rows []storage.Row, current uint64) []storage.Write {
	var deletes []storage.Write
	for _, row := range rows {
		record, err := attempt.DecodeRecord(row.Value)
		if err != nil || !attempt.Expired(record.Epoch, current, r.settings.KeepEpochs) {
			continue
		}
		deletes = append(deletes, storage.Write{Key: row.Key, Expected: row.Version, Delete: true})
		if len(deletes) == r.settings.CleanupRows {
			break
		}
	}
	return deletes
}
