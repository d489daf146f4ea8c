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
	// leastFailures is the number of failures from which the new version is
	// judged: fewer come by chance too often.
	leastFailures = 4.5
	// worse is by how much its share of failures must exceed the old one's.
	worse = 0.05
	// recent is the time in which half of the recent evidence is forgotten. A
	// fault that shows late or under load is not hidden by good answers before.
	recent = time.Second
	// leastUsual is the least share of failures that the old version is taken
	// to have: its own may be unknown or by chance 0.
	leastUsual = 0.03
	// deviations is by how many standard deviations the failures must exceed
	// those expected. Moves are judged some hundred times; at this bound a
	// few good moves of a thousand are taken back where a tenth of all answers
	// fail.
	deviations = 4.5
	// lateDeviations is the same for late evidence, which is judged on ever new
	// answers and so has more chances to be wrong.
	lateDeviations = 5.5
	// slowSamples is the number of answers from which slowness is judged.
	slowSamples = 6
	// slowFactor is by how many times its answers must take longer.
	slowFactor = 2.2
)

// step is a share of the traffic from a part of the move's time on.
type step struct {
	from  float64 // part of the time
	share float64
}

// steps stay under a tenth of the traffic until most of the time is over, since
// a fault that shows late or under load costs what was sent until then; the
// last one leaves a tenth of the time to say that the move is complete.
var steps = []step{{0, 0.05}, {0.7, 0.15}, {0.76, 0.4}, {0.82, 1}}

// From closeAt on requests find no way back to old endpoints, which end at the
// completion. completeAt is the part of the time at which a sound move is
// complete, if no request runs at an old endpoint any more; at latestAt it is so
// in any case. What is left bears an order that was heard of late and a slow
// store.
const (
	closeAt    = 0.86
	completeAt = 0.9
	latestAt   = 0.93
)

// An instance that meets a move late, as after a restart, has seen nothing of
// the new version. For a part of the move's time it sends no more than
// shareUnseen there, the share before the last step, and does not complete the
// move.
const (
	unseenFor   = 0.1
	shareUnseen = 0.4
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
func (t *Tally) scale(by float64) {
	t.Answers *= by
	t.Failures *= by
	t.Slowness *= by
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

// forget forgets a part of the late evidence.
func (e *Evidence) forget(since time.Duration) {
	keep := math.Exp2(-since.Seconds() / recent.Seconds())
	e.OldLate.scale(keep)
	e.NewLate.scale(keep)
}

// Rollout is one service's move as one instance sees it.
type Rollout struct {
	order catalog.RolloutOrder

	mu      sync.Mutex
	begun   time.Time
	met     time.Time // when this instance met the move
	result  catalog.RolloutResult
	own     Evidence
	ownAt   time.Time // when the late evidence was last brought up to date
	others  map[string]heard
	sent    float64
	sentNew float64
}

// heard is what others saw, and when they said so.
type heard struct {
	Evidence
	at time.Time
}

// New returns a move that this instance met at a moment, before which it may
// have begun.
func New(o catalog.RolloutOrder, met time.Time) *Rollout {
	return &Rollout{order: o, begun: met, met: met, ownAt: met, others: make(map[string]heard)}
}

// Order returns the operator's order.
func (m *Rollout) Order() catalog.RolloutOrder { return m.order }

// ObserveStart takes in an earlier beginning that another instance has seen or that is
// on record.
func (m *Rollout) ObserveStart(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.begun) {
		m.begun = at
	}
}

// StartTime returns when the move began.
func (m *Rollout) StartTime() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// Halt stops the new version's traffic until there is a record. A move that
// is over stays as it is.
func (m *Rollout) Halt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.result == catalog.RolloutRunning {
		m.result = catalog.RolloutRolledBack
	}
}

// ApplyRecord takes in the recorded result, which goes before what this instance
// judged: operators act on the record.
func (m *Rollout) ApplyRecord(r catalog.RolloutResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r != catalog.RolloutRunning {
		m.result = r
	}
}

// Result returns how the move stands.
func (m *Rollout) Result() catalog.RolloutResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result
}

// UseNewVersion says whether the next request goes to the new version. Each request
// that is asked for earns the share of the moment, and one that goes to the new
// version spends one.
func (m *Rollout) UseNewVersion(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.result {
	case catalog.RolloutCompleted:
		return true
	case catalog.RolloutRolledBack:
		return false
	case catalog.RolloutRunning:
	}
	share := m.share(now)
	if share >= 1 {
		return true
	}
	m.sent += share
	if m.sent-m.sentNew < 1 {
		return false
	}
	m.sentNew++
	return true
}

// DrainingOld says whether requests must not go to old endpoints any more while new
// ones are there.
func (m *Rollout) DrainingOld(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result == catalog.RolloutRunning && m.part(now, m.begun) >= closeAt && m.part(now, m.met) >= unseenFor
}

// share returns the new version's share at now.
func (m *Rollout) share(now time.Time) float64 {
	part := m.part(now, m.begun)
	share := 0.0
	for _, s := range steps {
		if part >= s.from {
			share = s.share
		}
	}
	if m.part(now, m.met) < unseenFor {
		share = min(share, shareUnseen)
	}
	return share
}

// part returns which part of the move's time has passed since a moment.
func (m *Rollout) part(now, since time.Time) float64 {
	return now.Sub(since).Seconds() / m.order.Duration.Seconds()
}

// AttemptStarted notes a try at a version.
func (m *Rollout) AttemptStarted(version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.order.To {
		m.own.OldRunning++
	}
}

// AttemptEnded takes in how a try at a version ended. Outcomes that say nothing about
// the version have neither ok nor failed. slowness is its time relative to what
// was usual: endpoints of a new version know no object yet, which is no fault.
func (m *Rollout) AttemptEnded(now time.Time, version string, ok, failed bool, slowness float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	all, late := &m.own.New, &m.own.NewLate
	if version != m.order.To {
		m.own.OldRunning--
		all, late = &m.own.Old, &m.own.OldLate
	}
	switch {
	case failed:
		all.add(Tally{Answers: 1, Failures: 1})
		late.add(Tally{Answers: 1, Failures: 1})
	case ok:
		all.add(Tally{Answers: 1, Slowness: slowness})
		late.add(Tally{Answers: 1, Slowness: slowness})
	}
}

// refresh brings the late evidence up to now. The caller holds mu.
func (m *Rollout) refresh(now time.Time) {
	if since := now.Sub(m.ownAt); since > 0 {
		m.own.forget(since)
		m.ownAt = now
	}
}

// LocalEvidence returns what this instance saw.
func (m *Rollout) LocalEvidence(now time.Time) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	return m.own
}

// SetPeerEvidence takes in what another instance, or several together, saw at a moment.
func (m *Rollout) SetPeerEvidence(name string, e Evidence, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others[name] = heard{Evidence: e, at: at}
}

// RemovePeer drops what an instance saw, where a sum holds it now.
func (m *Rollout) RemovePeer(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, name)
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
func (m *Rollout) Evaluate(now time.Time) Evaluation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	all := m.own
	for _, h := range m.others {
		e := h.Evidence
		e.forget(max(0, now.Sub(h.at)))
		all.Add(e)
	}
	part := m.part(now, m.begun)
	j := Evaluation{Worse: all.bad(), Expired: part >= 1, Evidence: all}
	due := part >= completeAt && all.OldRunning == 0 || part >= latestAt
	due = due && m.part(now, m.met) >= unseenFor
	j.Complete = m.result == catalog.RolloutRunning && !j.Worse && !j.Expired && due && all.New.Answers > all.New.Failures
	return j
}

// bad says whether the new version is worse than the old one, since the move
// began or of late.
func (e Evidence) bad() bool {
	return worseThan(e.New, e.Old, deviations) || worseThan(e.NewLate, e.OldLate, lateDeviations)
}

// worseThan says whether a version that answered as fresh is worse than one that
// answered as old, by a number of standard deviations.
func worseThan(fresh, old Tally, deviations float64) bool {
	failing, usual := fresh.failureShare(), max(old.failureShare(), leastUsual)
	most := fresh.Answers*usual + deviations*math.Sqrt(fresh.Answers*usual*(1-usual))
	if fresh.Failures >= leastFailures && failing > usual+worse && fresh.Failures > most {
		return true
	}
	good := fresh.Answers - fresh.Failures
	return good >= slowSamples && old.meanSlowness() > 0 && fresh.meanSlowness() > slowFactor*old.meanSlowness()
}
