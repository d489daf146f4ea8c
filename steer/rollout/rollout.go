// Package rollout moves a service to a new version within seconds, or takes the
// move back.
//
// The new version gets a small share at first and rises in steps of the time
// that the operator gave. Each instance counts what it sends, so the share
// holds for the sum over all instances. The judgement compares what both
// versions answered in the same time; whichever instance sees first that the
// new one is worse takes the move back for all. Package shift does the same
// for moves that take minutes or more, with tests of much less error.
//
// The package does no I/O and takes the time as an argument.
package rollout

import (
	"math"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	// minFailures is the number of failures from which the new version is
	// judged: fewer come by chance too often.
	minFailures = 4.5
	// failureMargin is by how much its share of failures must exceed the old one's.
	failureMargin = 0.05
	// recentHalfLife is the time in which half of the recentHalfLife evidence is forgotten. A
	// fault that shows late or under load is not hidden by good answers before.
	recentHalfLife = time.Second
	// minBaselineFailureShare is the least share of failures that the old version is taken
	// to have: its own may be unknown or by chance 0.
	minBaselineFailureShare = 0.03
	// overallDeviations is by how many standard overallDeviations the failures must exceed
	// those expected. Moves are judged some hundred times; at this bound a
	// few good moves of a thousand are taken back where a tenth of all answers
	// fail.
	overallDeviations = 4.5
	// recentDeviations is the same for late evidence, which is judged on ever new
	// answers and so has more chances to be wrong.
	recentDeviations = 5.5
	// minSlowSamples is the number of answers from which slowness is judged.
	minSlowSamples = 6
	// slowFactor is by how many times its answers must take longer.
	slowFactor = 2.2
)

// step is a share of the traffic from a part of the move's time on.
type step struct {
	after float64 // part of the time
	share float64
}

// steps stay under a tenth of the traffic until most of the time is over, since
// a fault that shows late or under load costs what was sent until then; the
// last one leaves a tenth of the time to say that the move is complete.
var steps = []step{{0, 0.05}, {0.7, 0.15}, {0.76, 0.4}, {0.82, 1}}

// From drainOldAt on requests find no way back to old endpoints, which end at the
// completion. completeAt is the part of the time at which a sound move is
// complete, if no request runs at an old endpoint any more; at forceCompleteAt it is so
// in any case. What is left bears an order that was heard of late and a slow
// store.
const (
	drainOldAt      = 0.86
	completeAt      = 0.9
	forceCompleteAt = 0.93
)

// An instance that meets a move late, as after a restart, has seen nothing of
// the new version. For a part of the move's time it sends no more than
// lateJoinShare there, the share before the last step, and does not complete the
// move.
const (
	lateJoinPeriod = 0.1
	lateJoinShare  = 0.4
)

// Tally counts how one version answered.
type Tally struct {
	// Answers is the number of tries that ended.
	Answers float64
	// Failures is how many of them failed.
	Failures float64
	// Slowness is the sum of the times of the others, each relative to what was
	// usual for its request at such an endpoint.
	Slowness float64
}

// add adds another tally.
func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Failures += o.Failures
	t.Slowness += o.Slowness
}

// scale multiplies all counts.
func (t *Tally) scale(factor float64) {
	t.Answers *= factor
	t.Failures *= factor
	t.Slowness *= factor
}

// failureShare returns the share of failures; a tally without answers has none.
func (t Tally) failureShare() float64 {
	if t.Answers == 0 {
		return 0
	}
	return t.Failures / t.Answers
}

// meanSlowness returns the mean of the good answers.
func (t Tally) meanSlowness() float64 {
	good := t.Answers - t.Failures
	if good <= 0 {
		return 0
	}
	return t.Slowness / good
}

// Evidence is what one instance, or all, saw of a move.
type Evidence struct {
	// Old is what the other versions answered since the move began.
	Old Tally
	// New is what the new version answered.
	New Tally
	// OldLate and NewLate are the same of late, with older answers forgotten.
	OldLate, NewLate Tally
	// OldRunning is how many requests run at old endpoints.
	OldRunning int
}

// Add adds what another instance saw.
func (e *Evidence) Add(o Evidence) {
	e.Old.add(o.Old)
	e.New.add(o.New)
	e.OldLate.add(o.OldLate)
	e.NewLate.add(o.NewLate)
	e.OldRunning += o.OldRunning
}

// decay forgets a part of the late evidence.
func (e *Evidence) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	e.OldLate.scale(factor)
	e.NewLate.scale(factor)
}

// Rollout is one service's move as one instance sees it.
type Rollout struct {
	order catalog.RolloutOrder

	mu             sync.Mutex
	startedAt      time.Time
	joinedAt       time.Time // when this instance met the move
	result         catalog.RolloutResult
	local          Evidence
	localDecayedAt time.Time // when the late evidence was last brought up to date
	peers          map[string]peerEvidence
	credit         float64
	sentToNew      float64
}

// peerEvidence is what others saw, and when they said so.
type peerEvidence struct {
	Evidence
	receivedAt time.Time
}

// New returns a move that this instance met at a moment, before which it may
// have begun.
func New(o catalog.RolloutOrder, joinedAt time.Time) *Rollout {
	return &Rollout{order: o, startedAt: joinedAt, joinedAt: joinedAt, localDecayedAt: joinedAt, peers: make(map[string]peerEvidence)}
}

// Order returns the operator's order.
func (r *Rollout) Order() catalog.RolloutOrder { return r.order }

// ObserveStart takes in an earlier beginning that another instance has seen or that is
// on record.
func (r *Rollout) ObserveStart(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.startedAt) {
		r.startedAt = at
	}
}

// StartTime returns when the move began.
func (r *Rollout) StartTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}

// Halt stops the new version's traffic until there is a record. A move that
// is over stays as it is.
func (r *Rollout) Halt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result == catalog.RolloutRunning {
		r.result = catalog.RolloutRolledBack
	}
}

// ApplyRecord takes in the recorded result, which goes before what this instance
// judged: operators act on the record.
func (r *Rollout) ApplyRecord(result catalog.RolloutResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result != catalog.RolloutRunning {
		r.result = result
	}
}

// Result returns how the move stands.
func (r *Rollout) Result() catalog.RolloutResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// UseNewVersion says whether the next request goes to the new version. Each request
// that is asked for earns the share of the moment, and one that goes to the new
// version spends one.
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
	if share >= 1 {
		return true
	}
	r.credit += share
	if r.credit-r.sentToNew < 1 {
		return false
	}
	r.sentToNew++
	return true
}

// DrainingOld says whether requests must not go to old endpoints any more while new
// ones are there.
func (r *Rollout) DrainingOld(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result == catalog.RolloutRunning && r.elapsedShare(now, r.startedAt) >= drainOldAt && r.elapsedShare(now, r.joinedAt) >= lateJoinPeriod
}

// share returns the new version's share at now.
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

// elapsedShare returns which elapsedShare of the move's time has passed since a moment.
func (r *Rollout) elapsedShare(now, start time.Time) float64 {
	return now.Sub(start).Seconds() / r.order.Duration.Seconds()
}

// AttemptStarted notes a try at a version.
func (r *Rollout) AttemptStarted(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version != r.order.To {
		r.local.OldRunning++
	}
}

// AttemptEnded takes in how a try at a version ended. Outcomes that say nothing about
// the version have neither ok nor failed. slowness is its time relative to what
// was usual: endpoints of a new version know no object yet, which is no fault.
func (r *Rollout) AttemptEnded(now time.Time, version string, ok, failed bool, slowness float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	total, recent := &r.local.New, &r.local.NewLate
	if version != r.order.To {
		r.local.OldRunning--
		total, recent = &r.local.Old, &r.local.OldLate
	}
	switch {
	case failed:
		total.add(Tally{Answers: 1, Failures: 1})
		recent.add(Tally{Answers: 1, Failures: 1})
	case ok:
		total.add(Tally{Answers: 1, Slowness: slowness})
		recent.add(Tally{Answers: 1, Slowness: slowness})
	}
}

// decayLocal brings the late evidence up to now. The caller holds mu.
func (r *Rollout) decayLocal(now time.Time) {
	if elapsed := now.Sub(r.localDecayedAt); elapsed > 0 {
		r.local.decay(elapsed)
		r.localDecayedAt = now
	}
}

// LocalEvidence returns what this instance saw.
func (r *Rollout) LocalEvidence(now time.Time) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocal(now)
	return r.local
}

// SetPeerEvidence takes in what another instance, or several together, saw at a moment.
func (r *Rollout) SetPeerEvidence(name string, e Evidence, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[name] = peerEvidence{Evidence: e, receivedAt: at}
}

// RemovePeer drops what an instance saw, where a sum holds it now.
func (r *Rollout) RemovePeer(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, name)
}

// Evaluation is what one instance holds of a move.
type Evaluation struct {
	// Worse says that the new version is worse than the old one.
	Worse bool
	// Complete says that the move may be recorded as complete.
	Complete bool
	// Expired says that the time for the move is over.
	Expired bool
	// Evidence is what all instances saw, as far as this one was told.
	Evidence Evidence
}

// Evaluate judges the move by what all instances saw.
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
	j := Evaluation{Worse: all.newIsWorse(), Expired: elapsed >= 1, Evidence: all}
	due := elapsed >= completeAt && all.OldRunning == 0 || elapsed >= forceCompleteAt
	due = due && r.elapsedShare(now, r.joinedAt) >= lateJoinPeriod
	j.Complete = r.result == catalog.RolloutRunning && !j.Worse && !j.Expired && due && all.New.Answers > all.New.Failures
	return j
}

// newIsWorse says whether the new version is worse than the old one, since the move
// began or of late.
func (e Evidence) newIsWorse() bool {
	return isWorse(e.New, e.Old, overallDeviations) || isWorse(e.NewLate, e.OldLate, recentDeviations)
}

// isWorse says whether a version that answered as fresh is worse than one that
// answered as old, by a number of standard deviations.
func isWorse(candidate, baseline Tally, deviations float64) bool {
	failureShare, expectedShare := candidate.failureShare(), max(baseline.failureShare(), minBaselineFailureShare)
	maxFailures := candidate.Answers*expectedShare + deviations*math.Sqrt(candidate.Answers*expectedShare*(1-expectedShare))
	if candidate.Failures >= minFailures && failureShare > expectedShare+failureMargin && candidate.Failures > maxFailures {
		return true
	}
	good := candidate.Answers - candidate.Failures
	return good >= minSlowSamples && baseline.meanSlowness() > 0 && candidate.meanSlowness() > slowFactor*baseline.meanSlowness()
}
