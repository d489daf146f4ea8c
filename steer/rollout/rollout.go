// Package rollout moves a service to a new version within seconds, or rolls it
// back.
//
// The new version starts with a small share of the traffic, which rises in
// steps over the duration that the operator sets, but only as far as its judged
// attempts speak for it. Each instance applies the share to the requests that it
// sends, so the share holds for the sum over all instances. What the new version
// gets before its answers under load speak for it is bounded, whatever the
// evidence. A new version that is not known to be sound in time is rolled back, as
// is one that is found worse by any instance. Package shift does the same for
// rollouts that take minutes or more, with statistical tests that have a far lower
// error rate.
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

// steps are the new version's highest shares. samplingShare applies until its
// attempts speak for it: a fault that shows late or under load costs all requests
// sent until then. The last step starts early enough for answers under load to
// arrive.
var steps = []step{{0, samplingShare}, {0.68, 0.15}, {0.71, 0.4}, {rampedAt, 1}}

const (
	// samplingShare is below exposureShare.
	samplingShare = 0.05
	// rampedAt is the point from which on the new version may get all requests.
	rampedAt = 0.74
)

// Points of a rollout, as fractions of its duration. From drainOldAt on,
// requests no longer fall back to old endpoints, which are stopped at the
// completion. From completeAt on, a rollout whose new version is sound completes
// once no request runs at an old endpoint; from forceCompleteAt on it no longer
// waits for that. A version that is not known to be sound at abandonAt is rolled
// back. The remaining time absorbs an order that was received late and a slow
// store.
const (
	drainOldAt      = 0.86
	completeAt      = 0.9
	forceCompleteAt = 0.93
	abandonAt       = 0.96
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
	unjudged       []*Attempt
	sent           float64 // attempts so far
	exposure       exposure
	// suspicion and rampSuspicion are those of the last evaluation.
	suspicion, rampSuspicion float64
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

// SetFleet sets the number of instances that carry out the rollout, including
// this one. It may be too high, never too low.
func (r *Rollout) SetFleet(instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exposure.instances = instances
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
	if !r.mayExpose(now) {
		return false
	}
	share, credit := r.share(now), r.credit
	if r.suspicion > acceptBound {
		credit += r.exposure.samples(r.point(now))
	}
	return share >= 1 || credit+share-r.sentToNew >= 1
}

// MayFallBackToNew reports whether a request for which the old version has no
// headroom may go to the new one at now. Fallbacks are part of the new version's
// share; one of them may use it in advance.
func (r *Rollout) MayFallBackToNew(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentToNew <= r.credit && r.mayExpose(now)
}

// mayExpose reports whether the new version may get one more request. The caller
// holds mu.
func (r *Rollout) mayExpose(now time.Time) bool {
	return r.isUnlimited() || r.sentToNew+1 <= r.exposure.limit(r.point(now), r.sent)
}

// isUnlimited reports whether the new version may get any number of requests, which
// takes the same verdict on its attempts under load as on all of them. The caller holds
// mu.
func (r *Rollout) isUnlimited() bool {
	return r.suspicion <= acceptBound && r.rampSuspicion <= acceptBound
}

// point returns where in the rollout now is. The caller holds mu.
func (r *Rollout) point(now time.Time) point {
	return point{elapsed: r.elapsedShare(now, r.startedAt), joined: r.elapsedShare(r.joinedAt, r.startedAt)}
}

// DrainingOld reports whether requests must no longer go to old endpoints while
// new ones are available.
func (r *Rollout) DrainingOld(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result == catalog.RolloutRunning && r.elapsedShare(now, r.startedAt) >= drainOldAt && r.share(now) >= 1 && r.isUnlimited()
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
	return min(share, earnedShare(r.suspicion))
}

// earnedShare returns the highest share of a new version by the evidence so far.
func earnedShare(suspicion float64) float64 {
	switch {
	case suspicion <= acceptBound:
		return 1
	case suspicion <= leanBound:
		return lateJoinShare
	}
	return samplingShare
}

// elapsedShare returns the time since start as a fraction of the rollout's
// duration.
func (r *Rollout) elapsedShare(now, start time.Time) float64 {
	return now.Sub(start).Seconds() / r.order.Duration.Seconds()
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
	// Abandoned reports that the evidence is too thin for a verdict and that no
	// time is left for more.
	Abandoned bool
	// Expired reports that the duration of the rollout is over.
	Expired bool
	// Evidence is what all instances observed, as far as their reports were
	// received.
	Evidence Evidence
	// Suspicion is how much the judged attempts of the new version speak against
	// it, negative if they speak for it; RampSuspicion is the same for its attempts
	// under load.
	Suspicion, RampSuspicion float64
}

// Evaluate evaluates the rollout by the evidence of all instances.
func (r *Rollout) Evaluate(now time.Time) Evaluation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	r.judge(now)
	all := r.local
	for _, p := range r.peers {
		e := p.Evidence
		e.decay(max(0, now.Sub(p.receivedAt)))
		all.Add(e)
	}
	e := Evaluation{
		Expired: r.elapsedShare(now, r.startedAt) >= 1, Evidence: all,
		Suspicion: suspicion(all.NewJudged, all.OldJudged), RampSuspicion: suspicion(all.RampJudged, all.OldJudged),
	}
	r.suspicion, r.rampSuspicion = e.Suspicion, e.RampSuspicion
	e.Worse = all.newIsWorse() || e.Suspicion >= rejectBound || e.RampSuspicion >= rejectBound
	if r.result == catalog.RolloutRunning && !e.Worse && !e.Expired {
		e.Complete = r.mayComplete(now, e)
		e.Abandoned = !e.Complete && r.elapsedShare(now, r.startedAt) >= abandonAt
	}
	return e
}

// mayComplete reports whether a version that is not worse may be recorded as
// complete. The caller holds mu.
func (r *Rollout) mayComplete(now time.Time, e Evaluation) bool {
	if e.Suspicion > acceptBound || r.elapsedShare(now, r.joinedAt) < lateJoinPeriod {
		return false
	}
	elapsed := r.elapsedShare(now, r.startedAt)
	return elapsed >= completeAt && e.Evidence.OldRunning == 0 && e.RampSuspicion <= leanBound ||
		elapsed >= forceCompleteAt && e.RampSuspicion <= -leanBound
}
