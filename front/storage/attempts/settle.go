package attempts

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// settle passes results on to those who wait for them.
func (r *Recorder) settle(settled []attempt.ChangeResult) {
	for _, s := range settled {
		if s.Change.Kind == attempt.KindClaim {
			r.settleClaim(s)
		} else {
			r.settleOutcome(s)
		}
	}
}

func (r *Recorder) settleClaim(s attempt.ChangeResult) {
	switch s.Result {
	case attempt.ResultWritten:
		r.answerClaim(s.Change, claimResult{version: s.Version})
	case attempt.ResultConflict:
		r.known.put(s.Change.Key, s.Current, time.Now())
		r.running.remove(s.Change.Key)
		r.answerClaim(s.Change, claimResult{err: taken(s.Current, s.Change.Record.RequestDigest)})
	case attempt.ResultNotWritten:
		r.running.remove(s.Change.Key)
		r.answerClaim(s.Change, claimResult{err: &UnavailableError{Reason: r.failedReason()}})
	case attempt.ResultUnknown:
		r.release(s.Change, s.Change.Expected)
		r.answerClaim(s.Change, claimResult{err: &UnavailableError{Reason: r.failedReason()}})
	}
}

// failedReason is the reason of a claim that a transaction gave up.
func (r *Recorder) failedReason() Reason {
	if r.silence.silent() {
		return ReasonStoreUnavailable
	}
	return ReasonContended
}

// answerClaim gives a claim's result to the one who waits. Where nobody does, a
// claim that stands is released.
func (r *Recorder) answerClaim(c *attempt.Change, result claimResult) {
	r.mu.Lock()
	waiting := r.waiting[c]
	delete(r.waiting, c)
	left := waiting.left
	if !left {
		waiting.result <- result
	}
	r.mu.Unlock()
	if left && result.err == nil {
		r.release(c, result.version)
	}
}

// release queues the release of a claim whose request has not been sent.
func (r *Recorder) release(c *attempt.Change, expected uint64) {
	record := c.Record
	record.State = attempt.StateReleased
	r.enqueueOutcome(&attempt.Change{Kind: attempt.KindRelease, Key: c.Key, Expected: expected, Record: record})
}

func (r *Recorder) settleOutcome(s attempt.ChangeResult) {
	switch s.Result {
	case attempt.ResultWritten:
		r.known.put(s.Change.Key, s.Change.Record, time.Now())
		r.running.remove(s.Change.Key)
	case attempt.ResultConflict:
		r.running.remove(s.Change.Key)
		if s.Change.Kind == attempt.KindFinish {
			r.log.WithField("row", s.Change.Key).Error("An outcome found another record.")
		}
	case attempt.ResultNotWritten, attempt.ResultUnknown:
		r.mu.Lock()
		_ = r.group.Add(s.Change, time.Now()) // only a claim can be refused
		r.mu.Unlock()
	}
}

// refuseQueued answers the claims that no transaction has taken up.
func (r *Recorder) refuseQueued(err *UnavailableError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.group.DropClaims() {
		waiting := r.waiting[c]
		delete(r.waiting, c)
		r.running.remove(c.Key)
		waiting.result <- claimResult{err: err}
	}
}
