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
	"math"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	// minFailures is the number of failures from which the new version is
	// judged. Fewer occur by chance too often.
	minFailures = 4.5
	// failureMargin is how far its share of failures must exceed the expected
	// share.
	failureMargin = 0.05
	// recentHalfLife is the half-life of recent evidence. Because of it, earlier
	// successful answers do not hide a fault that shows late or under load.
	recentHalfLife = time.Second
	// minBaselineFailureShare is the lowest share of failures assumed for the
	// old version. Its measured share may be unknown, or 0 by chance.
	minBaselineFailureShare = 0.03
	// maxErrorShare is the share of error responses that a version may give if the
	// old one gives too many itself to be a standard.
	maxErrorShare = 0.12
	// minSlowSamples is the number of successful answers from which slowness is
	// judged.
	minSlowSamples = 6
	// slowFactor is the factor by which the new version's answers must be
	// slower.
	slowFactor = 2.2
	// maxBaselineSlowness is the highest slowness of the old version that is a
	// standard for the new one.
	maxBaselineSlowness = 2
)

// bounds are the numbers of standard deviations by which failures must exceed
// the expected number.
type bounds struct {
	// comparison applies to the number expected from the old version. A rollout
	// is evaluated some hundred times; with 4.5, a few good rollouts in a
	// thousand are rolled back where a tenth of all answers fail.
	comparison float64
	// limit applies to the number expected at maxErrorShare. It is lower: a false
	// alarm costs little where the old version gives many errors itself.
	limit float64
}

// Each evaluation of recent evidence uses mostly new answers, which gives more
// chances of a false alarm, so its bounds are higher.
var (
	overallBounds = bounds{comparison: 4.5, limit: 2}
	recentBounds  = bounds{comparison: 5.5, limit: 3}
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

// Outcome is how an attempt ended, as far as it concerns the version.
type Outcome uint8

const (
	// OutcomeUnknown says nothing about the version.
	OutcomeUnknown Outcome = iota
	// OutcomeGood is a successful response.
	OutcomeGood
	// OutcomeError is an error response.
	OutcomeError
	// OutcomeTimedOut means that no response arrived in time.
	OutcomeTimedOut
	// OutcomeBroken is a response that was cut off or invalid.
	OutcomeBroken
)

// Failed reports whether the attempt failed.
func (o Outcome) Failed() bool {
	return o == OutcomeError || o == OutcomeTimedOut || o == OutcomeBroken
}

// tally returns the tally of one attempt with this outcome.
func (o Outcome) tally(slowness float64) Tally {
	switch o {
	case OutcomeGood:
		return Tally{Answers: 1, Slowness: slowness}
	case OutcomeError:
		return Tally{Answers: 1, Failures: 1, Errors: 1}
	case OutcomeTimedOut:
		return Tally{Answers: 1, Failures: 1, Timeouts: 1}
	case OutcomeBroken:
		return Tally{Answers: 1, Failures: 1}
	default:
		return Tally{}
	}
}

// Tally counts the answers of one version.
type Tally struct {
	// Answers is the number of attempts that ended with an answer or a failure.
	Answers float64
	// Failures is the number of them that failed.
	Failures float64
	// Errors is the number of failures that were error responses, Timeouts that
	// of missing responses. The others were cut off or invalid.
	Errors, Timeouts float64
	// Slowness is the sum of the response times of the others, each relative to
	// the usual time for its request at such an endpoint.
	Slowness float64
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Failures += o.Failures
	t.Errors += o.Errors
	t.Timeouts += o.Timeouts
	t.Slowness += o.Slowness
}

func (t *Tally) scale(factor float64) {
	t.Answers *= factor
	t.Failures *= factor
	t.Errors *= factor
	t.Timeouts *= factor
	t.Slowness *= factor
}

// meanSlowness returns the mean slowness of the successful answers, or 0
// without any.
func (t Tally) meanSlowness() float64 {
	good := t.Answers - t.Failures
	if good <= 0 {
		return 0
	}
	return t.Slowness / good
}

// Evidence is what one instance, or all together, observed during a rollout.
type Evidence struct {
	// Old counts the answers of all other versions since the rollout started.
	Old Tally
	// New counts the answers of the new version.
	New Tally
	// OldLate and NewLate count the same with a half-life, so that recent
	// answers dominate.
	OldLate, NewLate Tally
	// OldRunning is the number of requests that are running at old endpoints.
	OldRunning int
}

// Add adds the evidence of another instance.
func (e *Evidence) Add(o Evidence) {
	e.Old.add(o.Old)
	e.New.add(o.New)
	e.OldLate.add(o.OldLate)
	e.NewLate.add(o.NewLate)
	e.OldRunning += o.OldRunning
}

// decay reduces the recent evidence by the elapsed time.
func (e *Evidence) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	e.OldLate.scale(factor)
	e.NewLate.scale(factor)
}

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
	if version != r.order.To {
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
		p.OldRunning = 0
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

// newIsWorse reports whether the new version is worse than the old one, either
// since the rollout started or recently.
func (e Evidence) newIsWorse() bool {
	return isWorse(e.New, e.Old, overallBounds) || isWorse(e.NewLate, e.OldLate, recentBounds)
}

// isWorse reports whether the candidate version is worse than the baseline, or
// gives too many error responses beside a baseline that is no standard.
func isWorse(candidate, baseline Tally, b bounds) bool {
	baselineIsUnfit := baseline.Errors > (maxErrorShare+failureMargin)*baseline.Answers
	return baselineIsUnfit && exceeds(candidate.Errors, candidate.Answers, maxErrorShare, b.limit) ||
		failsMore(candidate, baseline, b.comparison) || isSlower(candidate, baseline)
}

// failsMore reports whether the candidate version fails more than the baseline,
// in sum or in one way: responses that the old version loses must not hide errors
// of the new one.
func failsMore(candidate, baseline Tally, deviations float64) bool {
	for _, kind := range []struct{ candidate, baseline float64 }{
		{candidate.Failures, baseline.Failures},
		{candidate.Errors, baseline.Errors},
		{candidate.Timeouts, baseline.Timeouts},
	} {
		expectedShare := max(kind.baseline/max(1, baseline.Answers), minBaselineFailureShare)
		if exceeds(kind.candidate, candidate.Answers, expectedShare, deviations) {
			return true
		}
	}
	return false
}

// exceeds reports whether more of a version's answers failed than expected, with
// a margin and a number of standard deviations.
func exceeds(failures, answers, expectedShare, deviations float64) bool {
	expected := answers * expectedShare
	return failures >= minFailures && failures > expected+answers*failureMargin &&
		failures > expected+deviations*math.Sqrt(expected*(1-expectedShare))
}

// isSlower reports whether the candidate version's successful answers take
// longer than those of the baseline.
func isSlower(candidate, baseline Tally) bool {
	good := candidate.Answers - candidate.Failures
	expected := min(baseline.meanSlowness(), maxBaselineSlowness)
	return good >= minSlowSamples && expected > 0 && candidate.meanSlowness() > slowFactor*expected
}
