package admission

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	loadSlots    = 15
	loadService  = 50 * time.Millisecond // mean
	loadDeadline = time.Second
	loadTime     = 60 * time.Second
	// callerRetries is how often a caller retries after a refusal.
	callerRetries = 3
)

// teamRates holds three large teams and five small ones, in requests per second.
var teamRates = map[string]float64{
	"imams-office": 120, "mosque-central": 100, "ward-committee-union": 80,
	"ward-01": 6, "ward-02": 6, "ward-03": 4, "ward-04": 3, "ward-05": 2,
}

// loadSimulation is an event loop with one queue and its slots.
type loadSimulation struct {
	now    time.Time
	rng    *rand.Rand
	queue  *Queue[int]
	free   int
	events loadEvents
	jobs   []loadJob
	counts map[string]*teamCount
	serial int
}

type loadJob struct {
	team     string
	deadline time.Time
	retries  int
}

// teamCount counts a team's requests without retries, and its responses before
// the deadline, including those to retries.
type teamCount struct{ sent, inTime int }

type loadEvent struct {
	at     time.Time
	serial int
	run    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (l *loadSimulation) after(d time.Duration, run func()) {
	l.serial++
	heap.Push(&l.events, loadEvent{l.now.Add(d), l.serial, run})
}

// newLoadSimulation returns a simulation in which the teams together send scale
// times the capacity, in proportion to their rates. One team sends burst times
// its share.
func newLoadSimulation(seed uint64, scale float64, bursting string, burst float64) *loadSimulation {
	l := &loadSimulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 2)), free: loadSlots,
		queue:  NewQueue[int](func(team string) float64 { return teamRates[team] }),
		counts: make(map[string]*teamCount),
	}
	l.queue.SetSlots(loadSlots)
	sum := 0.0
	for _, r := range teamRates {
		sum += r
	}
	capacity := loadSlots / loadService.Seconds()
	for _, team := range sortedTeams() {
		l.counts[team] = &teamCount{}
		rate := teamRates[team] / sum * capacity * scale
		if team == bursting {
			rate *= burst
		}
		l.arrivals(team, rate)
	}
	return l
}

func sortedTeams() []string {
	return []string{
		"imams-office", "mosque-central", "ward-01", "ward-02", "ward-03", "ward-04", "ward-05",
		"ward-committee-union",
	}
}

// arrivals lets a team send requests until the load ends.
func (l *loadSimulation) arrivals(team string, rate float64) {
	gap := time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
	if l.now.Add(gap).After(start.Add(loadTime)) {
		return
	}
	l.after(gap, func() {
		l.counts[team].sent++
		l.arrive(loadJob{team: team, deadline: l.now.Add(loadDeadline)})
		l.arrivals(team, rate)
	})
}

func (l *loadSimulation) arrive(j loadJob) {
	key := len(l.jobs)
	l.jobs = append(l.jobs, j)
	err := l.queue.Push(l.now, Item[int]{Key: key, Team: j.team, Deadline: j.deadline}, l.free)
	if err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			l.retryLater(j, refusal.Wait)
		}
		return
	}
	l.serve()
}

// retryLater makes a caller retry after wait, with a new deadline.
func (l *loadSimulation) retryLater(j loadJob, wait time.Duration) {
	if j.retries >= callerRetries {
		return
	}
	l.after(wait, func() {
		l.arrive(loadJob{team: j.team, deadline: l.now.Add(loadDeadline), retries: j.retries + 1})
	})
}

func (l *loadSimulation) serve() {
	for l.free > 0 {
		item, ok, late := l.queue.Pop(l.now)
		for _, x := range late {
			l.retryLater(l.jobs[x.Key], l.queue.MeanHoldTime())
		}
		if !ok {
			return
		}
		l.free--
		held := time.Duration(l.rng.ExpFloat64() * float64(loadService))
		j := l.jobs[item.Key]
		l.after(held, func() {
			l.free++
			l.queue.ObserveHoldTime(held)
			if !l.now.After(j.deadline) {
				l.counts[j.team].inTime++
			}
			l.serve()
		})
	}
}

func (l *loadSimulation) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(loadEvent)
		l.now = e.at
		e.run()
	}
}

func (l *loadSimulation) goodput() int {
	n := 0
	for _, c := range l.counts {
		n += c.inTime
	}
	return n
}

// TestBurstingTeamHurtsOnlyItself lets one team send five times its rate, with
// callers that retry after refusals. Of the requests of every other team, 99 %
// must finish in time.
func TestBurstingTeamHurtsOnlyItself(t *testing.T) {
	const inTime = 0.99
	for _, bursting := range []string{"imams-office", "ward-committee-union", "ward-01"} {
		for seed := range uint64(3) {
			l := newLoadSimulation(seed+1, 0.85, bursting, 5)
			l.run()
			for _, team := range sortedTeams() {
				c := l.counts[team]
				share := float64(c.inTime) / float64(c.sent)
				t.Logf("seed %d, %s bursts: %s has %.4f of %d in time", seed+1, bursting, team, share, c.sent)
				if team != bursting && share < inTime {
					t.Errorf("seed %d, %s bursts: %s has %.4f in time, want %.2f", seed+1, bursting, team, share, inTime)
				}
			}
		}
	}
}

// TestGoodputUnderOverload compares the responses in time at 3 times the capacity
// with those at the capacity. Callers retry after refusals.
func TestGoodputUnderOverload(t *testing.T) {
	const atLeast = 0.9
	for seed := range uint64(3) {
		full := newLoadSimulation(seed+1, 1, "", 1)
		full.run()
		over := newLoadSimulation(seed+1, 3, "", 1)
		over.run()
		ratio := float64(over.goodput()) / float64(full.goodput())
		t.Logf("seed %d: %d in time at capacity, %d at 3 times, ratio %.3f", seed+1, full.goodput(), over.goodput(), ratio)
		if ratio < atLeast {
			t.Errorf("seed %d: goodput ratio %.3f, want %.1f", seed+1, ratio, atLeast)
		}
	}
}
