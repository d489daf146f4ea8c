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
	leastFailures = 5
	// worse is by how much its share of failures must exceed the old one's.
	worse = 0.12
	// leastUsual is the least share of failures that the old version is taken
	// to have: its own may be unknown or by chance 0.
	leastUsual = 0.03
	// deviations is by how many standard deviations the failures must exceed
	// those expected. Moves are judged some hundred times; at this bound one
	// good move of a hundred is taken back where a tenth of all answers fail.
	deviations = 4
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
var steps = []step{{0, 0.07}, {0.62, 0.2}, {0.7, 0.45}, {0.78, 1}}

// completeAt is the part of the time at which a sound move is complete.
const completeAt = 0.9

// Tally counts how one version answered.
type Tally struct {
	// Answers is the number of tries that ended.
	Answers int
	// Failures is how many of them failed.
	Failures int
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

// failureShare returns the share of failures; a tally without answers has none.
func (t Tally) failureShare() float64 {
	if t.Answers == 0 {
		return 0
	}
	return float64(t.Failures) / float64(t.Answers)
}

// meanSlowness returns the mean of the good answers.
func (t Tally) meanSlowness() float64 {
	good := t.Answers - t.Failures
	if good <= 0 {
		return 0
	}
	return t.Slowness / float64(good)
}

// Evidence is what one instance, or all, saw of a move.
type Evidence struct {
	// Old is what the other versions answered since the move began.
	Old Tally
	// New is what the new version answered.
	New Tally
}

// Add adds what another instance saw.
func (e *Evidence) Add(o Evidence) {
	e.Old.add(o.Old)
	e.New.add(o.New)
}

// Move is one service's move as one instance sees it.
type Move struct {
	order catalog.Order

	mu       sync.Mutex
	begun    time.Time
	result   catalog.Result
	own      Evidence
	others   map[string]Evidence
	sent     float64
	sentNew  float64
	oldInUse int
}

// New returns a move that began at begun.
func New(o catalog.Order, begun time.Time) *Move {
	return &Move{order: o, begun: begun, others: make(map[string]Evidence)}
}

// Order returns the operator's order.
func (m *Move) Order() catalog.Order { return m.order }

// Begun takes in an earlier beginning that another instance has seen.
func (m *Move) Begun(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.begun) {
		m.begun = at
	}
}

// Beginning returns when the move began.
func (m *Move) Beginning() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// Suspect stops the new version's traffic until there is a record. A move that
// is over stays as it is.
func (m *Move) Suspect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.result == catalog.ResultRunning {
		m.result = catalog.ResultTakenBack
	}
}

// Record takes in the recorded result, which goes before what this instance
// judged: operators act on the record.
func (m *Move) Record(r catalog.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r != catalog.ResultRunning {
		m.result = r
	}
}

// Result returns how the move stands.
func (m *Move) Result() catalog.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result
}

// TakesNew says whether the next request goes to the new version. Each request
// that is asked for earns the share of the moment, and one that goes to the new
// version spends one.
func (m *Move) TakesNew(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.result {
	case catalog.ResultCompleted:
		return true
	case catalog.ResultTakenBack:
		return false
	case catalog.ResultRunning:
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

// share returns the new version's share at now.
func (m *Move) share(now time.Time) float64 {
	part := now.Sub(m.begun).Seconds() / m.order.Duration.Seconds()
	share := 0.0
	for _, s := range steps {
		if part >= s.from {
			share = s.share
		}
	}
	return share
}

// Started notes a try at a version.
func (m *Move) Started(version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.order.To {
		m.oldInUse++
	}
}

// Ended takes in how a try at a version ended. Outcomes that say nothing about
// the version have neither ok nor failed. slowness is its time relative to what
// was usual: endpoints of a new version know no object yet, which is no fault.
func (m *Move) Ended(version string, ok, failed bool, slowness float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.own.New
	if version != m.order.To {
		m.oldInUse--
		t = &m.own.Old
	}
	switch {
	case failed:
		t.Answers++
		t.Failures++
	case ok:
		t.Answers++
		t.Slowness += slowness
	}
}

// Own returns what this instance saw.
func (m *Move) Own() Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own
}

// SetOther takes in what another instance, or several together, saw.
func (m *Move) SetOther(name string, e Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others[name] = e
}

// Forget drops what an instance saw, where a sum holds it now.
func (m *Move) Forget(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, name)
}

// Judgement is what one instance holds of a move.
type Judgement struct {
	// Bad says that the new version is worse than the old one.
	Bad bool
	// Complete says that the move may be recorded as complete.
	Complete bool
	// Expired says that the time for the move is over.
	Expired bool
	// Evidence is what all instances saw, as far as this one was told.
	Evidence Evidence
}

// Judge judges the move by what all instances saw.
func (m *Move) Judge(now time.Time) Judgement {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.own
	for _, e := range m.others {
		all.Add(e)
	}
	part := now.Sub(m.begun).Seconds() / m.order.Duration.Seconds()
	j := Judgement{Bad: all.bad(), Expired: part >= 1, Evidence: all}
	j.Complete = m.result == catalog.ResultRunning && !j.Bad && !j.Expired && part >= completeAt && m.oldInUse == 0 && all.New.Answers > all.New.Failures
	return j
}

// bad says whether the new version is worse than the old one.
func (e Evidence) bad() bool {
	failing, usual := e.New.failureShare(), max(e.Old.failureShare(), leastUsual)
	n := float64(e.New.Answers)
	most := n*usual + deviations*math.Sqrt(n*usual*(1-usual))
	if e.New.Failures >= leastFailures && failing > usual+worse && float64(e.New.Failures) > most {
		return true
	}
	good := e.New.Answers - e.New.Failures
	return good >= slowSamples && e.Old.meanSlowness() > 0 && e.New.meanSlowness() > slowFactor*e.Old.meanSlowness()
}
