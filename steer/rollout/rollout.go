// Package rollout moves a service to a new version within seconds, or rolls it
// back.
//
// The new version starts with a small share of the traffic, which rises in
// steps over the duration that the operator sets. Each instance applies the
// share to the requests that it sends, so the share holds for the sum over all
// instances. The evaluation compares what both versions answered over the same
// period; the first instance that finds the new version worse rolls it back for
// all. Package shift does the same for rollouts that take minutes or more, with
// statistical tests that have a far lower error rate.
//
// The package does no I/O and takes the time as an argument.
package rollout

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// step is the new version's share of the traffic from a point of the rollout
// on.
type step struct {
	after float64 // fraction of the duration
	share float64
}

// steps keep the share below a tenth of the traffic for most of the duration,
// because a fault that shows late or under load costs all requests sent until
// then. The last step starts early enough to leave a tenth of the duration for
// recording the completion.
var steps = []step{{0, 0.05}, {0.7, 0.15}, {0.76, 0.4}, {0.82, 1}}

// Points of a rollout, as fractions of its duration. From drainOldAt on,
// requests no longer fall back to old endpoints, which are stopped at the
// completion. From completeAt on, a sound rollout completes once no request
// runs at an old endpoint; from forceCompleteAt on it no longer waits for that.
// The remaining time absorbs an order that was received late and a slow store.
const (
	drainOldAt      = 0.86
	completeAt      = 0.9
	forceCompleteAt = 0.93
)

// An instance that joins a rollout late, for example after a restart, has no
// evidence about the new version. For lateJoinPeriod, a fraction of the
// duration, it sends at most lateJoinShare of its requests there, which is the
// share before the last step, and does not complete the rollout.
const (
	lateJoinPeriod = 0.1
	lateJoinShare  = 0.4
)

// Rollout is the state of one service's rollout at one instance.
type Rollout struct {
	mu             sync.Mutex
	order          catalog.RolloutOrder
	startedAt      time.Time
	joinedAt       time.Time // when this instance learned of the rollout
	result         catalog.RolloutResult
	local          Evidence
	localDecayedAt time.Time // when the recent local evidence was last decayed
	peers          map[string]peerEvidence
	credit         float64 // sum of the shares at the start of each attempt so far
	sentToNew      float64 // attempts at the new version so far
}

// peerEvidence is the evidence in the last report of a peer.
type peerEvidence struct {
	Evidence
	receivedAt time.Time
}

// New returns a rollout that this instance learned of at joinedAt. It may have
// started earlier; see ObserveStart.
func New(o catalog.RolloutOrder, joinedAt time.Time) *Rollout {
	return &Rollout{order: o, startedAt: joinedAt, joinedAt: joinedAt, localDecayedAt: joinedAt, peers: make(map[string]peerEvidence)}
}

// Order returns the operator's order.
func (r *Rollout) Order() catalog.RolloutOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order
}

// Rebase replaces the order with the same order at another version of its row.
// Evidence, start and result stay.
func (r *Rollout) Rebase(o catalog.RolloutOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = o
}

// ObserveStart records a start that a peer reported or that is stored. The
// earliest start counts.
func (r *Rollout) ObserveStart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.startedAt) {
		r.startedAt = at
	}
}

// StartTime returns when the rollout started.
func (r *Rollout) StartTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}

// Halt stops traffic to the new version until a result is recorded. A rollout
// that has already ended is left unchanged.
func (r *Rollout) Halt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result == catalog.RolloutRunning {
		r.result = catalog.RolloutRolledBack
	}
}

// ApplyRecord sets the recorded result. It overrides what this instance found
// itself, because operators act on the record.
func (r *Rollout) ApplyRecord(result catalog.RolloutResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result != catalog.RolloutRunning {
		r.result = result
	}
}

// Result returns the current result.
func (r *Rollout) Result() catalog.RolloutResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// UseNewVersion reports whether the next request goes to the new version. Each
// attempt that starts adds the current share to a credit, and each one at the new
// version uses up 1 of it.
func (r *Rollout) UseNewVersion(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.result {
	case catalog.RolloutCompleted:
		return true
	case catalog.RolloutRolledBack:
		return false
	case catalog.RolloutRunning:
	}
	share := r.share(now)
	return share >= 1 || r.credit+share-r.sentToNew >= 1
}

// MayFallBackToNew reports whether a request for which the old version has no
// headroom may go to the new one. Fallbacks are part of the new version's share;
// one of them may use it in advance.
func (r *Rollout) MayFallBackToNew() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentToNew <= r.credit
}

// DrainingOld reports whether requests must no longer go to old endpoints while
// new ones are available.
func (r *Rollout) DrainingOld(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result == catalog.RolloutRunning && r.elapsedShare(now, r.startedAt) >= drainOldAt && r.elapsedShare(now, r.joinedAt) >= lateJoinPeriod
}

// share returns the new version's current share of the traffic.
func (r *Rollout) share(now time.Time) float64 {
	elapsed := r.elapsedShare(now, r.startedAt)
	share := 0.0
	for _, s := range steps {
		if elapsed >= s.after {
			share = s.share
		}
	}
	if r.elapsedShare(now, r.joinedAt) < lateJoinPeriod {
		share = min(share, lateJoinShare)
	}
	return share
}

// elapsedShare returns the time since start as a fraction of the rollout's
// duration.
func (r *Rollout) elapsedShare(now, start time.Time) float64 {
	return now.Sub(start).Seconds() / r.order.Duration.Seconds()
}

// AttemptStarted records the start of an attempt at a version.
func (r *Rollout) AttemptStarted(now time.Time, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit += r.share(now)
	if version == r.order.To {
		r.sentToNew++
		r.local.NewSent++
		r.local.NewRunning++
		return
	}
	r.local.OldRunning++
}

// AttemptEnded records how an attempt at a version ended. slowness is the
// response time relative to the usual time for such a request at such an
// endpoint. Endpoints of a new version have not handled any object yet, which
// must not count as slowness of the version.
func (r *Rollout) AttemptEnded(now time.Time, version string, outcome Outcome, slowness float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	total, recent := &r.local.New, &r.local.NewLate
	if version == r.order.To {
		r.local.NewRunning--
	} else {
		r.local.OldRunning--
		total, recent = &r.local.Old, &r.local.OldLate
	}
	t := outcome.tally(slowness)
	total.add(t)
	recent.add(t)
}

// decayLocal decays the recent local evidence to now. The caller holds mu.
func (r *Rollout) decayLocal(now time.Time) {
	if elapsed := now.Sub(r.localDecayedAt); elapsed > 0 {
		r.local.decay(elapsed)
		r.localDecayedAt = now
	}
}

// LocalEvidence returns what this instance observed.
func (r *Rollout) LocalEvidence(now time.Time) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	return r.local
}

// SetPeerEvidence replaces the evidence of a peer, or of several peers
// together. at is when their report was received; the recent evidence decays
// from then on.
func (r *Rollout) SetPeerEvidence(name string, e Evidence, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[name] = peerEvidence{Evidence: e, receivedAt: at}
}

// RemovePeer drops the evidence of a peer that is now part of a region's sum.
func (r *Rollout) RemovePeer(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, name)
}

// PeerStopped records that a peer is gone. What it observed stays, but none of
// its requests runs any more.
func (r *Rollout) PeerStopped(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.peers[name]; ok {
		p.OldRunning, p.NewRunning = 0, 0
		r.peers[name] = p
	}
}

// Evaluation is the result of evaluating a rollout at one instance.
type Evaluation struct {
	// Worse reports that the new version is worse than the old one.
	Worse bool
	// Complete reports that the rollout may be recorded as complete.
	Complete bool
	// Expired reports that the duration of the rollout is over.
	Expired bool
	// Evidence is what all instances observed, as far as their reports were
	// received.
	Evidence Evidence
}

// Evaluate evaluates the rollout by the evidence of all instances.
func (r *Rollout) Evaluate(now time.Time) Evaluation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	all := r.local
	for _, p := range r.peers {
		e := p.Evidence
		e.decay(max(0, now.Sub(p.receivedAt)))
		all.Add(e)
	}
	elapsed := r.elapsedShare(now, r.startedAt)
	evaluation := Evaluation{Worse: all.newIsWorse(), Expired: elapsed >= 1, Evidence: all}
	due := elapsed >= completeAt && all.OldRunning == 0 || elapsed >= forceCompleteAt
	due = due && r.elapsedShare(now, r.joinedAt) >= lateJoinPeriod
	evaluation.Complete = r.result == catalog.RolloutRunning && !evaluation.Worse && !evaluation.Expired && due && all.New.Answers > all.New.Failures
	return evaluation
}
