package crash

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decision says whether a request may be sent.
type Decision struct {
	// Allowed reports whether it may be sent. If so, Finish must be called.
	Allowed bool
	// Once reports whether it may be sent to one endpoint only.
	Once bool
	// Trial reports whether it is refused but for this trial.
	Trial bool
	// Refused reports whether it is not allowed because it crashes endpoints, as
	// opposed to one that waits for the outcome of another.
	Refused bool
	// RetryAfter is when the caller may ask again if it is not allowed.
	RetryAfter time.Duration
}

// Begin decides whether a request may be sent.
func (d *Detector) Begin(now time.Time, f Fingerprint) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evaluate(now, f)
	decision := Decision{Allowed: true}
	switch r := d.refused[f]; {
	case r != nil:
		decision = d.decideRefused(now, f, r)
	case d.suspicious(now, f):
		decision = Decision{Allowed: d.running[f] == 0, Once: true, RetryAfter: suspectRetryAfter}
	}
	if decision.Allowed {
		d.running[f]++
	}
	return decision
}

// Finish records that a request that was allowed has ended. sent reports whether
// it was sent to an endpoint.
func (d *Detector) Finish(now time.Time, f Fingerprint, decision Decision, sent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[f]--; d.running[f] <= 0 {
		delete(d.running, f)
	}
	if r := d.refused[f]; r != nil && decision.Trial && !sent {
		r.trials--
		r.trialAt = now
	}
}

// MayRepeat reports whether a request that was sent to an endpoint may be sent to
// another one.
func (d *Detector) MayRepeat(now time.Time, f Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evaluate(now, f)
	return d.refused[f] == nil && !d.suspicious(now, f)
}

// decideRefused decides on a request that is refused: a trial, if one is due and
// it is this instance's turn.
func (d *Detector) decideRefused(now time.Time, f Fingerprint, r *refused) Decision {
	if r.trialAt.IsZero() {
		if left := d.rules.RefusedFor - now.Sub(r.since); left > 0 {
			return Decision{Refused: true, RetryAfter: max(minRefusedRetryAfter, left)}
		}
		delete(d.refused, f)
		return Decision{Allowed: true, Once: true}
	}
	if now.Before(r.trialAt) || !d.hasTurn(now, f, r) {
		return Decision{Refused: true, RetryAfter: max(minRefusedRetryAfter, r.trialAt.Sub(now))}
	}
	r.trials++
	r.trialAt = time.Time{}
	if r.trials < len(d.rules.TrialDelays) {
		r.trialAt = now.Add(d.rules.TrialDelays[r.trials])
	}
	r.since = now
	d.onEvent(Event{Kind: EventTrial, Fingerprint: f, Trials: r.trials})
	return Decision{Allowed: true, Once: true, Trial: true}
}

// hasTurn reports whether it is this instance's turn to start a due trial. Turns
// go around, since an instance may never get the request. In the second half of a
// turn no trial is started, so that the next instance knows of one in time.
func (d *Detector) hasTurn(now time.Time, f Fingerprint, r *refused) bool {
	overdue := now.Sub(r.trialAt)
	if overdue%d.rules.TrialTurn > d.rules.TrialTurn/2 {
		return false
	}
	turn := uint64(overdue / d.rules.TrialTurn)
	best, owner := uint64(0), d.self
	for _, name := range d.fleet {
		if weight := turnWeight(f, turn, name); weight > best {
			best, owner = weight, name
		}
	}
	return owner == d.self
}

// turnWeight returns the weight of an instance in a turn; the highest one has it.
func turnWeight(f Fingerprint, turn uint64, name string) uint64 {
	h := xxhash.NewWithSeed(uint64(f) + turn)
	_, _ = h.WriteString(name) // a hash returns no error
	return h.Sum64()
}
