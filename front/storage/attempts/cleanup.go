package attempts

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// cleanUp deletes expired records, one part of the table at a time. Every
// instance does so, on parts drawn at random, with at most one write for each
// interval.
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
			r.log.WithError(err).WithField("records", partition).Debug("Part of the records not cleaned.")
		}
	}
}

// cleanPartition deletes the expired records of one part, at most CleanupRows.
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
		return nil // another instance was here; the part comes up again
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
