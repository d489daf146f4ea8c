package attempts

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// maxUnansweredSends is the number of consecutive sends of a transaction
// without a response after which the store counts as unavailable.
const maxUnansweredSends = 3

// Run sends the group commits, tracks the epoch and deletes expired records
// until ctx ends. It then refuses new claims and returns once all outcomes are
// written or FlushTimeout has passed.
func (r *Recorder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.dispatch(ctx) })
	group.Go(func() error { return r.watchStore(ctx) })
	group.Go(func() error { return r.cleanUp(ctx) })
	return group.Wait()
}

// dispatch starts the transactions that become due, until ctx ends.
func (r *Recorder) dispatch(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		nextCheck := r.startDueTransactions()
		if !nextCheck.IsZero() {
			timer.Reset(time.Until(nextCheck))
		}
		select {
		case <-ctx.Done():
		case <-r.wakeup:
		case <-timer.C:
		}
	}
	r.flush()
	return nil
}

// startDueTransactions starts the transactions that are due and returns the
// time of the next check. The zero time means that the next wakeup triggers it.
func (r *Recorder) startDueTransactions() time.Time {
	for {
		if r.health.unavailable() {
			return time.Time{}
		}
		r.mu.Lock()
		changes, nextCheck := r.group.Next(time.Now())
		r.mu.Unlock()
		if changes == nil {
			return nextCheck
		}
		go r.runTransaction(changes)
	}
}

// flush refuses the queued claims and writes the queued outcomes within
// FlushTimeout.
func (r *Recorder) flush() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.refuseQueued(&UnavailableError{Reason: ReasonStopping})
	end := time.NewTimer(r.settings.FlushTimeout)
	defer end.Stop()
	for {
		nextCheck := r.startDueTransactions()
		r.mu.Lock()
		remaining := r.group.Len() + r.group.InFlight()
		r.mu.Unlock()
		if remaining == 0 {
			return
		}
		if nextCheck.IsZero() {
			nextCheck = time.Now().Add(r.settings.ProbeInterval)
		}
		select {
		case <-end.C:
			r.log.WithField("changes", remaining).Warn("Stopped before all outcomes were written.")
			return
		case <-r.wakeup:
		case <-time.After(time.Until(nextCheck)):
		}
	}
}

// runTransaction sends a transaction until its changes are resolved or the
// store is unavailable.
func (r *Recorder) runTransaction(changes []*attempt.Change) {
	tx := attempt.NewTransaction(changes)
	unanswered := 0
	firstSent := time.Now()
	for sends := 0; tx.NeedsSend(); sends++ {
		if sends > 0 {
			r.chargeResend()
		}
		if r.send(tx) {
			unanswered = 0
			continue
		}
		unanswered++
		timedOut := unanswered >= maxUnansweredSends || time.Since(firstSent) >= 2*r.settings.CommitTimeout
		if timedOut && r.health.markUnavailable(firstSent) {
			r.log.Warn("Store is unavailable; refusing claims until it responds.")
			break
		}
	}
	r.handleResults(tx.GiveUp())
	r.mu.Lock()
	r.group.TransactionDone()
	r.mu.Unlock()
	if r.health.unavailable() {
		r.refuseQueued(&UnavailableError{Reason: ReasonStoreUnavailable})
	}
	r.wake()
}

// send sends a transaction once and reports whether the store responded.
func (r *Recorder) send(tx *attempt.Transaction) bool {
	encoded, err := encodeWrites(tx.Changes())
	if err != nil {
		r.log.WithError(err).Error("Failed to encode attempt record.")
		tx.OnRefused()
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.CommitTimeout)
	defer cancel()
	r.metrics.countTransaction(len(encoded))
	_, err = r.table.Commit(ctx, encoded)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		r.health.recordResponse(time.Now())
		r.handleResults(tx.OnConflict(decodeRow(conflict.Actual)))
		r.readConflictingRows(tx)
		return true
	}
	var failure *storage.Error
	switch {
	case err == nil:
		r.health.recordResponse(time.Now())
		r.handleResults(tx.OnWritten())
		return true
	case errors.As(err, &failure) && failure.Effect == storage.EffectNone:
		tx.OnRefused()
	default:
		tx.OnUnknown()
	}
	r.metrics.countFailure()
	return false
}

// readConflictingRows reads the rows of a transaction concurrently if several
// of them conflict.
func (r *Recorder) readConflictingRows(tx *attempt.Transaction) {
	if !tx.NeedsRead() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.CommitTimeout)
	defer cancel()
	changes := tx.Changes()
	rows := make([]attempt.Row, len(changes))
	group, ctx := errgroup.WithContext(ctx)
	for i, c := range changes {
		group.Go(func() error {
			row, err := r.table.Get(ctx, c.Key)
			rows[i] = decodeRow(row)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return
	}
	r.handleResults(tx.OnRead(rows))
}

func (r *Recorder) chargeResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.ChargeResend(time.Now())
}
