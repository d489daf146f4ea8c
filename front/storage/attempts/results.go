package attempts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// handleResults updates the local state for each result and passes the results
// of claims to their callers.
func (r *Recorder) handleResults(results []attempt.ChangeResult) {
	for _, result := range results {
		if result.Change.Kind == attempt.KindClaim {
			r.handleClaimResult(result)
		} else {
			r.handleOutcomeResult(result)
		}
	}
}

func (r *Recorder) handleClaimResult(result attempt.ChangeResult) {
	switch result.Result {
	case attempt.ResultWritten:
		r.deliverClaimResult(result.Change, claimResult{version: result.Version})
	case attempt.ResultConflict:
		r.cache.put(result.Change.Key, result.Current, time.Now())
		r.inFlight.remove(result.Change.Key)
		r.deliverClaimResult(result.Change, claimResult{err: newConflictError(result.Current, result.Change.Record.RequestDigest)})
	case attempt.ResultNotWritten:
		r.inFlight.remove(result.Change.Key)
		r.deliverClaimResult(result.Change, claimResult{err: &UnavailableError{Reason: r.giveUpReason()}})
	case attempt.ResultUnknown:
		r.enqueueRelease(result.Change, result.Change.Expected)
		r.deliverClaimResult(result.Change, claimResult{err: &UnavailableError{Reason: r.giveUpReason()}})
	}
}

// giveUpReason returns the reason for a claim whose transaction was given up.
func (r *Recorder) giveUpReason() Reason {
	if r.health.unavailable() {
		return ReasonStoreUnavailable
	}
	return ReasonContended
}

// deliverClaimResult sends the result of a claim to its caller. If the caller
// has abandoned the claim and it was written, the claim is released.
func (r *Recorder) deliverClaimResult(c *attempt.Change, result claimResult) {
	r.mu.Lock()
	waiting := r.waiting[c]
	delete(r.waiting, c)
	abandoned := waiting.abandoned
	if !abandoned {
		waiting.result <- result
	}
	r.mu.Unlock()
	if abandoned && result.err == nil {
		r.enqueueRelease(c, result.version)
	}
}

// enqueueRelease queues the release of a claim whose request has not been sent.
func (r *Recorder) enqueueRelease(c *attempt.Change, expected uint64) {
	record := c.Record
	record.State = attempt.StateReleased
	r.enqueueOutcome(&attempt.Change{Kind: attempt.KindRelease, Key: c.Key, Expected: expected, Record: record})
}

func (r *Recorder) handleOutcomeResult(result attempt.ChangeResult) {
	switch result.Result {
	case attempt.ResultWritten:
		r.cache.put(result.Change.Key, result.Change.Record, time.Now())
		r.inFlight.remove(result.Change.Key)
	case attempt.ResultConflict:
		r.inFlight.remove(result.Change.Key)
		if result.Change.Kind == attempt.KindFinish {
			r.log.WithField("row", result.Change.Key).Error("Outcome was not recorded: the row holds another record.")
		}
	case attempt.ResultNotWritten, attempt.ResultUnknown:
		r.mu.Lock()
		_ = r.group.Add(result.Change, time.Now()) // only claims can be rejected
		r.mu.Unlock()
	}
}

// refuseQueued fails the claims that are not part of a transaction yet.
func (r *Recorder) refuseQueued(err *UnavailableError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.group.DropClaims() {
		waiting := r.waiting[c]
		delete(r.waiting, c)
		r.inFlight.remove(c.Key)
		waiting.result <- claimResult{err: err}
	}
}
