package shift

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	machineStep = time.Second
	maxSkew     = time.Second
)

// node is one instance of the state machine.
type node struct {
	name                     string
	c                        *Controller
	skew                     time.Duration
	paused, noStore, noPeers bool
	highest                  Record
	pending                  []Proposal // delayed writes
	secondsWithStore         int        // consecutive seconds in which the store answered
}

// machine is a fleet and its table, with injected failures of the store, the
// network and the instances.
type machine struct {
	cfg          Config
	now          time.Time
	nodes        []*node
	row          Record
	version      uint64
	storeDown    bool
	startedNodes int
	bad          bool
}

func newMachine() *machine {
	m := &machine{cfg: testConfig(), now: epoch}
	m.cfg.WatchPeriod = time.Minute
	return m
}

// start adds an instance without a record.
func (m *machine) start(t *rapid.T) {
	m.startedNodes++
	skew := rapid.SampledFrom([]time.Duration{-maxSkew, 0, maxSkew / 2, maxSkew}).Draw(t, "skew")
	n := &node{name: fmt.Sprintf("i%d", m.startedNodes), skew: skew}
	c, err := New(m.cfg, n.name, m.now.Add(skew))
	if err != nil {
		t.Fatal(err)
	}
	n.c = c
	m.nodes = append(m.nodes, n)
	m.updateLiveInstances()
}

// updateLiveInstances sets the list of live instances on all nodes.
func (m *machine) updateLiveInstances() {
	var names []string
	for _, n := range m.nodes {
		names = append(names, n.name)
	}
	for _, n := range m.nodes {
		n.c.SetLiveInstances(names)
	}
}

// advanceSecond simulates one second on all nodes.
func (m *machine) advanceSecond(t *rapid.T) {
	m.now = m.now.Add(machineStep)
	for _, n := range m.nodes {
		if n.paused {
			continue
		}
		now := m.now.Add(n.skew)
		m.requests(t, n, now)
		n.c.Tick(now)
		m.exchange(n)
		if !m.storeDown && !n.noStore {
			n.c.ObserveRecord(now, m.row, m.version)
		}
		m.write(t, n, now)
		m.check(t, n)
	}
}

// requests sends some requests through an instance.
func (m *machine) requests(t *rapid.T, n *node, now time.Time) {
	for i := range 30 {
		isNew := n.c.ChooseNew(now)
		if isNew && !now.Before(m.cfg.Deadline) && !n.c.view.Settled() {
			t.Fatalf("%s sends to the new version after the deadline in phase %v", n.name, n.c.view.Phase)
		}
		o := Outcome{Route: "read", Domain: "kano-a", New: isNew, Sent: now, Latency: 20 * time.Millisecond}
		o.Failed = isNew && m.bad && i%3 == 0
		n.c.RecordOutcome(o)
	}
}

// exchange sends an instance's report to the peers that it reaches.
func (m *machine) exchange(from *node) {
	s := from.c.Report(m.now.Add(from.skew))
	for _, to := range m.nodes {
		if to != from && !from.noPeers && !to.noPeers && !to.paused {
			to.c.ReceiveReport(m.now.Add(to.skew), s)
		}
	}
}

// write tries the instance's proposal. Some writes are delayed.
func (m *machine) write(t *rapid.T, n *node, now time.Time) {
	p, ok := n.c.Propose(now)
	tooLate := m.now.After(m.cfg.Deadline.Add(maxSkew - m.cfg.Guard))
	if ok && p.Step && p.Record.Phase == Watching && tooLate {
		t.Fatalf("%s proposes completion %v before the deadline", n.name, m.cfg.Deadline.Sub(m.now))
	}
	if !ok || m.storeDown || n.noStore {
		return
	}
	if rapid.IntRange(0, 19).Draw(t, "held up") == 0 {
		n.pending = append(n.pending, p)
		return
	}
	if m.commit(t, p) {
		n.c.ObserveRecord(now, m.row, m.version)
	}
}

// commit simulates the compare-and-set of the table.
func (m *machine) commit(t *rapid.T, p Proposal) bool {
	if p.ExpectedVersion != m.version {
		return false
	}
	if m.row.supersedes(&p.Record) {
		t.Fatalf("record went back from %v %d to %v %d", m.row.Phase, m.row.Stage, p.Record.Phase, p.Record.Stage)
	}
	if p.Record.Stage > m.row.Stage+1 || p.Record.Phase < RolledBack && p.Record.Phase > m.row.Phase+1 {
		t.Fatalf("record skipped from %v %d to %v %d", m.row.Phase, m.row.Stage, p.Record.Phase, p.Record.Stage)
	}
	m.row = p.Record
	m.version++
	return true
}

// check checks the invariants of one instance.
func (m *machine) check(t *rapid.T, n *node) {
	view := n.c.View()
	if n.highest.supersedes(&view) {
		t.Fatalf("%s went back from %v to %v", n.name, n.highest.Phase, view.Phase)
	}
	n.highest = view
	n.secondsWithStore++
	if m.storeDown || n.noStore {
		n.secondsWithStore = 0
	}
	if n.secondsWithStore > 1 && m.now.After(m.cfg.Deadline.Add(2*maxSkew+machineStep)) && !view.Settled() {
		t.Fatalf("%s is in phase %v after the deadline", n.name, view.Phase)
	}
}

// heal ends all failures, advances time and checks that all instances agree
// with the record.
func (m *machine) heal(t *rapid.T) {
	m.storeDown = false
	for _, n := range m.nodes {
		n.paused, n.noStore, n.noPeers = false, false, false
		for _, p := range n.pending {
			m.commit(t, p)
		}
		n.pending = nil
	}
	end := m.cfg.Deadline.Add(m.cfg.WatchPeriod + 30*time.Second)
	for range 30 {
		m.advanceSecond(t)
	}
	for m.now.Before(end) {
		m.advanceSecond(t)
	}
	for _, n := range m.nodes {
		if view := n.c.View(); view.Phase != m.row.Phase || view.Phase < Done {
			t.Fatalf("%s ended %v, want %v as in the record", n.name, view.Phase, m.row.Phase)
		}
	}
}

// TestFleetAgrees runs a fleet through partitions, pauses, instance failures,
// store outages, delayed writes and bad versions, and checks that all instances
// end with the same outcome.
func TestFleetAgrees(t *testing.T) {
	var done, rolledBack int
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		for range 3 {
			m.start(t)
		}
		anyNode := func() *node { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "instance")] }
		pass := func(t *rapid.T) {
			for range rapid.IntRange(1, 25).Draw(t, "seconds") {
				m.advanceSecond(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":         pass,
			"pass on":      pass,
			"pass further": pass,
			"store":        func(t *rapid.T) { m.storeDown = !m.storeDown },
			"pause":        func(t *rapid.T) { n := anyNode(); n.paused = !n.paused },
			"cut store":    func(t *rapid.T) { n := anyNode(); n.noStore = !n.noStore },
			"cut peers":    func(t *rapid.T) { n := anyNode(); n.noPeers = !n.noPeers },
			"turn bad":     func(t *rapid.T) { m.bad = rapid.IntRange(0, 3).Draw(t, "bad") == 0 },
			"replace": func(t *rapid.T) {
				m.nodes = m.nodes[1:]
				m.start(t)
			},
			"deliver held-up writes": func(t *rapid.T) {
				n := anyNode()
				for _, p := range n.pending {
					m.commit(t, p)
				}
				n.pending = nil
			},
		})
		m.heal(t)
		if m.row.Phase == Done {
			done++
		} else {
			rolledBack++
		}
	})
	t.Logf("%d done, %d rolled back", done, rolledBack)
}
