package attempts

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// maxUnanswered is how often a transaction is sent without an answer before
// the store counts as silent.
const maxUnanswered = 3

// Run carries out the group commits, watches the epoch and cleans up until the
// context ends; it then refuses claims, and returns when the outcomes are
// written or FlushTimeout is over.
func (r *Recorder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.dispatch(ctx) })
	group.Go(func() error { return r.watchStore(ctx) })
	group.Go(func() error { return r.cleanUp(ctx) })
	return group.Wait()
}

// dispatch starts a transaction whenever the group has one.
func (r *Recorder) dispatch(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wake := r.startDue()
		if !wake.IsZero() {
			timer.Reset(time.Until(wake))
		}
		select {
		case <-ctx.Done():
		case <-r.nudge:
		case <-timer.C:
		}
	}
	r.flush()
	return nil
}

// startDue starts the transactions that are due and returns when to look
// again; zero means at the next nudge.
func (r *Recorder) startDue() time.Time {
	for {
		if r.silence.silent() {
			return time.Time{}
		}
		r.mu.Lock()
		changes, wake := r.group.Next(time.Now())
		r.mu.Unlock()
		if changes == nil {
			return wake
		}
		go r.carryOut(changes)
	}
}

// flush writes the outcomes that wait, for a bounded time.
func (r *Recorder) flush() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.refuseQueued(&UnavailableError{Reason: ReasonStopping})
	end := time.NewTimer(r.settings.FlushTimeout)
	defer end.Stop()
	for {
		wake := r.startDue()
		r.mu.Lock()
		left := r.group.Len() + r.group.InFlight()
		r.mu.Unlock()
		if left == 0 {
			return
		}
		if wake.IsZero() {
			wake = time.Now().Add(r.settings.ProbeInterval)
		}
		select {
		case <-end.C:
			r.log.WithField("changes", left).Warn("Stopped before every outcome was written.")
			return
		case <-r.nudge:
		case <-time.After(time.Until(wake)):
		}
	}
}

// carryOut sends one transaction until its changes are settled, or the store
// is silent.
func (r *Recorder) carryOut(changes []*attempt.Change) {
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
		gone := unanswered >= maxUnanswered || time.Since(firstSent) >= 2*r.settings.CommitTimeout
		if gone && r.silence.begin(firstSent) {
			r.log.Warn("Store does not answer.")
			break
		}
	}
	r.settle(tx.GiveUp())
	r.mu.Lock()
	r.group.TransactionDone()
	r.mu.Unlock()
	if r.silence.silent() {
		r.refuseQueued(&UnavailableError{Reason: ReasonStoreUnavailable})
	}
	r.wake()
}

// send sends a transaction once and tells whether the store answered.
func (r *Recorder) send(tx *attempt.Transaction) bool {
	encoded, err := writes(tx.Changes())
	if err != nil {
		r.log.WithError(err).Error("Record can't be encoded.")
		tx.OnRefused()
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.CommitTimeout)
	defer cancel()
	r.metrics.sent(len(encoded))
	_, err = r.table.Commit(ctx, encoded)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		r.silence.heard(time.Now())
		r.settle(tx.OnConflict(standing(conflict.Actual)))
		r.readConflicting(tx)
		return true
	}
	var failure *storage.Error
	switch {
	case err == nil:
		r.silence.heard(time.Now())
		r.settle(tx.OnWritten())
		return true
	case errors.As(err, &failure) && failure.Effect == storage.EffectNone:
		tx.OnRefused()
	default:
		tx.OnUnknown()
	}
	r.metrics.unanswered()
	return false
}

// readConflicting reads the rows of a transaction of which several conflict,
// all at once.
func (r *Recorder) readConflicting(tx *attempt.Transaction) {
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
			rows[i] = standing(row)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return
	}
	r.settle(tx.OnRead(rows))
}

func (r *Recorder) chargeResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group.ChargeResend(time.Now())
}
