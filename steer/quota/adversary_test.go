package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	syncInterval = 500 * time.Millisecond
	simStep      = 50 * time.Millisecond
)

// process is one instance's process, nil while it is down.
type process struct {
	*Limiter
	heard map[int]time.Time // when it last received a report of each peer
}

// network is a fleet whose instances exchange reports in pairs, as the gateways of
// a small fleet do. Links may be cut in one direction, and processes restart.
type network struct {
	quota     Quota
	processes []*process
	cut       map[[2]int]bool // direction from, to
	lost      float64         // share of exchanges that are lost
	r         *rand.Rand
	now       time.Duration
	admitted  []time.Time
	refused   int
	// parts are the sums of the shares of all processes, one for each step.
	parts []float64
}

func newNetwork(seed uint64, instances int, q Quota) *network {
	n := &network{quota: q, cut: map[[2]int]bool{}, r: rand.New(rand.NewPCG(seed, 8)), processes: make([]*process, instances)}
	for i := range n.processes {
		n.restart(i)
	}
	return n
}

// restart starts a process that knows nothing but the quota and the number of
// instances.
func (n *network) restart(i int) {
	l := New()
	l.SetFleet(len(n.processes), 0)
	l.SetQuotas(start.Add(n.now), map[string]Quota{"t": n.quota})
	for j, p := range n.processes {
		if p != nil && i != j {
			delete(p.heard, i)
		}
	}
	n.processes[i] = &process{Limiter: l, heard: map[int]time.Time{}}
}

// partition cuts all links between instances that are in different groups.
func (n *network) partition(group func(i int) int) {
	for i := range n.processes {
		for j := range n.processes {
			n.cut[[2]int{i, j}] = group(i) != group(j)
		}
	}
}

// deliver delivers the report of one instance to another.
func (n *network) deliver(from, to int) bool {
	a, b := n.processes[from], n.processes[to]
	if a == nil || b == nil || n.cut[[2]int{from, to}] {
		return false
	}
	now := start.Add(n.now)
	if _, known := b.heard[from]; !known {
		b.PeerRestarted(fmt.Sprint(from), now)
	}
	b.heard[from] = now
	d, at := a.ReportDemand(now)
	b.SetPeerDemand(fmt.Sprint(from), PeerReport{Demand: d, MeasuredAt: at, HeardAt: a.heard[to], Delay: reportDelay}, now)
	return true
}

// play plays the load, which pick spreads over the instances, until a time.
func (n *network) play(until time.Duration, rate float64, pick func() int) {
	for ; n.now < until; n.now += simStep {
		for i := range n.processes {
			for j := i + 1; j < len(n.processes); j++ {
				phase := time.Duration(i*len(n.processes)+j) * simStep % syncInterval
				if n.now%syncInterval == phase && n.r.Float64() >= n.lost && n.deliver(i, j) {
					n.deliver(j, i)
				}
			}
		}
		n.sumParts()
		for requests := rate * simStep.Seconds(); requests > 0; requests-- {
			if requests < 1 && n.r.Float64() >= requests {
				break
			}
			n.request(pick())
		}
	}
}

func (n *network) request(i int) {
	p := n.processes[i]
	if p == nil {
		return
	}
	if now := start.Add(n.now); p.Take("t", now).Allowed {
		n.admitted = append(n.admitted, now)
		return
	}
	n.refused++
}

// sumParts adds up the shares that all processes hold.
func (n *network) sumParts() {
	sum := 0.0
	for _, p := range n.processes {
		if p == nil {
			continue
		}
		p.mu.Lock()
		sum += p.division(start.Add(n.now)).share("t")
		p.mu.Unlock()
	}
	n.parts = append(n.parts, sum)
}

// maxParts returns the highest mean sum of the shares over a time.
func (n *network) maxParts(over time.Duration) float64 {
	steps, worst, sum := int(over/simStep), 0.0, 0.0
	for i, p := range n.parts {
		sum += p
		if i >= steps {
			sum -= n.parts[i-steps]
		}
		worst = max(worst, sum/float64(steps))
	}
	return worst
}

// check checks that no window exceeds the users' limit.
func (n *network) check(t rapid.TB, name string) {
	t.Helper()
	f := fleet{admitted: n.admitted}
	if w := f.maxExcess(n.quota); w > 0 {
		t.Errorf("%s: %.1f requests over the limit", name, w)
	}
}

// checkParts checks that the shares add up to one over a time, as far as the quota
// may be exceeded.
func (n *network) checkParts(t rapid.TB, name string, over time.Duration) {
	t.Helper()
	if parts := n.maxParts(over); parts > 1+excess {
		t.Errorf("%s: the shares add up to %.2f over %s", name, parts, over)
	}
}

// Guards against shares that add up to more than one while instances are cut off:
// a team becomes hot after the cut, so each side learns only of its own demand.
func TestQuotaHoldsWhileInstancesAreCutOff(t *testing.T) {
	q := Quota{Rate: 60, Burst: 60}
	groups := map[string]func(i int) int{
		"three alone":     func(i int) int { return min(i, 3) },
		"half from half":  func(i int) int { return i / 4 },
		"three from five": func(i int) int { return i / 5 },
		"all alone":       func(i int) int { return i },
	}
	for name, group := range groups {
		for _, length := range []time.Duration{12 * time.Second, 40 * time.Second} {
			for seed := range uint64(10) {
				n := newNetwork(seed, 8, q)
				any := func() int { return n.r.IntN(8) }
				n.play(4*time.Second, 37, any)
				n.partition(group)
				n.play(8*time.Second, 37, any)
				n.play(4*time.Second+length, 300, any)
				n.partition(func(int) int { return 0 })
				n.play(9*time.Second+length, 300, any)
				n.check(t, fmt.Sprintf("%s for %s, seed %d", name, length, seed))
				n.checkParts(t, fmt.Sprintf("%s for %s, seed %d", name, length, seed), simStep)
			}
		}
	}
}

// Callers of a side that is cut off are served up to the limit: together, the
// sides admit nearly all that the quota allows.
func TestCutOffCallersAreServed(t *testing.T) {
	q := Quota{Rate: 60, Burst: 60}
	for seed := range uint64(10) {
		n := newNetwork(seed, 8, q)
		any := func() int { return n.r.IntN(8) }
		n.play(6*time.Second, 37, any)
		n.partition(func(i int) int { return min(i, 3) })
		n.play(10*time.Second, 37, any)
		n.admitted, n.refused = nil, 0
		n.play(40*time.Second, 37, any)
		if served := float64(len(n.admitted)) / float64(len(n.admitted)+n.refused); served < 0.9 {
			t.Errorf("seed %d: %.2f of the requests within the quota admitted", seed, served)
		}
	}
}

// Guards against a quota that is given twice, by processes and by their
// successors: all are killed once and again while a team is hot.
func TestQuotaHoldsOverRestarts(t *testing.T) {
	q := Quota{Rate: 60, Burst: 60}
	for _, kills := range []int{1, 2} {
		for _, down := range []time.Duration{200 * time.Millisecond, time.Second} {
			for seed := range uint64(20) {
				n := newNetwork(seed, 8, q)
				any := func() int { return n.r.IntN(8) }
				n.play(8*time.Second, 37, any)
				n.play(10*time.Second, 300, any)
				for range kills {
					n.killAll(down)
					n.play(n.now+2*time.Second-down, 300, any)
				}
				n.play(20*time.Second, 300, any)
				n.check(t, fmt.Sprintf("%d kills, %s down, seed %d", kills, down, seed))
				n.checkParts(t, fmt.Sprintf("%d kills, %s down, seed %d", kills, down, seed), simStep)
			}
		}
	}
}

// killAll ends all processes and starts them again after a time.
func (n *network) killAll(down time.Duration) {
	clear(n.processes)
	n.play(n.now+down, 0, nil)
	for i := range n.processes {
		n.restart(i)
	}
}

// A team that asks for less than its quota is served soon after all processes
// were killed.
func TestRestartedInstancesServe(t *testing.T) {
	q := Quota{Rate: 60, Burst: 60}
	for seed := range uint64(10) {
		n := newNetwork(seed, 8, q)
		any := func() int { return n.r.IntN(8) }
		n.play(8*time.Second, 37, any)
		n.killAll(time.Second)
		n.admitted, n.refused = nil, 0
		n.play(n.now+5*time.Second, 37, any)
		if served := float64(len(n.admitted)) / float64(len(n.admitted)+n.refused); served < 0.9 {
			t.Errorf("seed %d: %.2f of the requests within the quota admitted", seed, served)
		}
	}
}

// drawNetwork returns a fleet of a size and a quota that are drawn.
func drawNetwork(t *rapid.T) *network {
	q := Quota{Rate: rapid.Float64Range(5, 200).Draw(t, "rate")}
	q.Burst = q.Rate * rapid.Float64Range(0.5, 2).Draw(t, "burst")
	size := rapid.SampledFrom([]int{1, 2, 3, 8, 10, 16}).Draw(t, "instances")
	return newNetwork(rapid.Uint64().Draw(t, "seed"), size, q)
}

// playEvents draws events of the given kinds and plays the load between them. The
// team's requests arrive at half of the instances.
func (n *network) playEvents(t *rapid.T, kinds ...string) {
	size := len(n.processes)
	hot, from := 0.6, 0
	pick := func() int { return (from + n.r.IntN(max(1, size/2))) % size }
	instance := rapid.IntRange(0, size-1)
	for range rapid.IntRange(3, 12).Draw(t, "events") {
		switch rapid.SampledFrom(kinds).Draw(t, "event") {
		case "cut":
			sides := rapid.IntRange(2, 4).Draw(t, "sides")
			n.partition(func(i int) int { return i % sides })
		case "one-way":
			n.cut[[2]int{instance.Draw(t, "from"), instance.Draw(t, "to")}] = true
		case "heal":
			n.partition(func(int) int { return 0 })
		case "restart":
			n.restart(instance.Draw(t, "instance"))
		case "lost":
			n.lost = rapid.Float64Range(0, 0.5).Draw(t, "share")
		case "hot":
			hot = rapid.Float64Range(2, 8).Draw(t, "times")
		case "calm":
			hot = 0.6
		case "move":
			from = instance.Draw(t, "first")
		}
		n.play(n.now+time.Duration(rapid.IntRange(1, 160).Draw(t, "steps"))*simStep, n.quota.Rate*hot, pick)
	}
}

// Whatever is cut, in one direction or both, lost or restarted, and wherever the
// team's requests arrive, no window exceeds the quota.
func TestQuotaHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNetwork(t)
		n.playEvents(t, "cut", "one-way", "heal", "restart", "lost", "hot", "calm", "move")
		n.check(t, "whatever happens")
	})
}

// The shares add up to one while sides are cut off from each other and reports are
// lost, wherever the team's requests arrive.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNetwork(t)
		n.play(3*time.Second, n.quota.Rate/2, func() int { return n.r.IntN(len(n.processes)) })
		sides := rapid.IntRange(1, 4).Draw(t, "sides of all cuts")
		n.partition(func(i int) int { return i % sides })
		n.playEvents(t, "lost", "hot", "calm", "move")
		n.partition(func(int) int { return 0 })
		n.playEvents(t, "lost", "hot", "calm", "move")
		n.checkParts(t, "sides cut off from each other", Window)
	})
}
