package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation simulates a store with one row per instance, and instances with
// unrelated clocks. Sending, arrival and answer of each message are drawn
// separately, so that freezes, losses, delays and reordering all occur.
type simulation struct {
	settings Settings
	now      time.Duration
	nodes    []*node
	store    map[string]stored
	writes   []*write
	probes   []*probe
	promises []*promise
}

type stored struct {
	version uint64
	record  Record
}

type node struct {
	name     string
	epoch    int
	offset   time.Duration
	lease    *Lease
	witness  *Witness
	watch    *Watch
	promises map[string]map[string]bool // by eviction candidate: the witnesses that promised
}

type write struct {
	from      *node
	expected  uint64
	sentAt    time.Time
	witnesses []string
	arrived   bool
	version   uint64 // committed version; 0 means a conflict
}

type probe struct {
	from   *node
	sentAt time.Time
	msg    Probe
	done   bool
	answer ProbeAnswer
}

type promise struct {
	from *node
	msg  PromiseRequest
}

func (sim *simulation) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(sim.now + n.offset)
}

func (sim *simulation) valid(n *node) bool {
	return sim.clock(n).Before(n.lease.ValidUntil())
}

func (sim *simulation) byName(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func pick[T any](t *rapid.T, from []T, label string) T {
	if len(from) == 0 {
		t.Skip("nothing to pick")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, label)]
}

func (sim *simulation) evict(t *rapid.T, evictor *node) {
	for _, c := range evictor.watch.EvictionCandidates(evictor.name, sim.clock(evictor)) {
		promised := len(evictor.promises[candidateKey(c.Holder, c.Version)])
		if promised < c.PromisesNeeded || sim.store[c.Holder].version != c.Version {
			continue
		}
		holder := sim.byName(c.Holder)
		if holder != nil && sim.valid(holder) {
			t.Fatalf("%s evicts %s at version %d while its lease is still valid for %v", evictor.name, c.Holder, c.Version,
				holder.lease.ValidUntil().Sub(sim.clock(holder)))
		}
		delete(sim.store, c.Holder)
	}
}

func candidateKey(holder string, version uint64) string { return fmt.Sprintf("%s@%d", holder, version) }

// TestEvictionNeverMeetsAValidHolder checks that no instance removes the row
// of a holder whose lease is still valid on the holder's own clock.
func TestEvictionNeverMeetsAValidHolder(t *testing.T) {
	evictions := 0
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Heartbeat: time.Second, Lease: 3 * time.Second, Guard: 300 * time.Millisecond, WitnessLease: 2 * time.Second, LongLease: 40 * time.Second, Witnesses: 3}
		sim := &simulation{settings: s, store: make(map[string]stored)}
		for i := range 4 {
			sim.nodes = append(sim.nodes, sim.newNode(i, 0))
		}
		sim.registerAll()
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths"))*100*time.Millisecond, drawSet(t, len(sim.nodes), "readers"))
			},
			"pass long": func(t *rapid.T) {
				readers := drawSet(t, len(sim.nodes), "readers")
				for range rapid.IntRange(2, 25).Draw(t, "steps") {
					sim.advance(2*time.Second, readers)
				}
			},
			"send renewal": func(t *rapid.T) {
				n := pick(t, sim.nodes, "n")
				sim.sendRenewal(n, sim.drawWitnesses(t, n))
			},
			"renewal arrives":   func(t *rapid.T) { sim.renewalArrives(pick(t, sim.writes, "write")) },
			"renewal answered":  func(t *rapid.T) { sim.renewalAnswered(pick(t, sim.writes, "write"), true) },
			"renewal times out": func(t *rapid.T) { sim.renewalAnswered(pick(t, sim.writes, "write"), false) },
			"reads own row": func(t *rapid.T) {
				sim.readOwn(rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "n"))
			},
			"renew": func(t *rapid.T) {
				n := pick(t, sim.nodes, "n")
				sim.sendRenewal(n, sim.drawWitnesses(t, n))
				last := sim.writes[len(sim.writes)-1]
				sim.renewalArrives(last)
				sim.renewalAnswered(last, rapid.Bool().Draw(t, "received"))
			},
			"probe round": func(t *rapid.T) {
				n := pick(t, sim.nodes, "n")
				fates := rapid.SliceOfN(rapid.IntRange(0, 3), 8, 8).Draw(t, "fates")
				for i, name := range n.lease.WitnessesToProbe() {
					p := &probe{from: n, sentAt: sim.clock(n), msg: Probe{Holder: n.name, Version: n.lease.Version(), Witness: name}}
					sim.probes = append(sim.probes, p)
					if fates[i] > 0 {
						sim.probeArrives(p)
					}
					if fates[i] > 1 {
						sim.probeAnswered(p)
					}
				}
			},
			"probe arrives":  func(t *rapid.T) { sim.probeArrives(pick(t, sim.probes, "p")) },
			"probe answered": func(t *rapid.T) { sim.probeAnswered(pick(t, sim.probes, "p")) },
			"take over": func(t *rapid.T) {
				evictor := pick(t, sim.nodes, "taker")
				reached := drawSet(t, len(sim.nodes), "reached")
				for _, c := range evictor.watch.EvictionCandidates(evictor.name, sim.clock(evictor)) {
					for i, o := range sim.nodes {
						if reached[i] && slices.Contains(c.Witnesses, o.name) {
							sim.requestPromise(&promise{from: evictor, msg: PromiseRequest{Holder: c.Holder, Version: c.Version, Witness: o.name}})
						}
					}
				}
				before := len(sim.store)
				sim.evict(t, evictor)
				evictions += before - len(sim.store)
			},
			"ask promises": func(t *rapid.T) {
				n := pick(t, sim.nodes, "n")
				for _, c := range n.watch.EvictionCandidates(n.name, sim.clock(n)) {
					for _, name := range c.Witnesses {
						sim.promises = append(sim.promises, &promise{from: n, msg: PromiseRequest{Holder: c.Holder, Version: c.Version, Witness: name}})
					}
				}
			},
			"promise": func(t *rapid.T) { sim.requestPromise(pick(t, sim.promises, "p")) },
			"evict": func(t *rapid.T) {
				before := len(sim.store)
				sim.evict(t, pick(t, sim.nodes, "taker"))
				evictions += before - len(sim.store)
			},
		})
	})
	if evictions == 0 {
		t.Fatal("no run evicted an instance, so the property was not exercised")
	}
	t.Logf("%d evictions", evictions)
}

// newNode returns the node at index. Its name contains the index and the epoch.
func (sim *simulation) newNode(index, epoch int) *node {
	name := fmt.Sprintf("i%d.%d", index, epoch)
	return &node{
		name: name, epoch: epoch, offset: time.Duration(index*index) * 977 * time.Hour,
		lease: NewLease(sim.settings), witness: NewWitness(name, sim.settings), watch: NewWatch(sim.settings), promises: make(map[string]map[string]bool),
	}
}

// readOwn reads the row of the node at index. An evicted node registers under
// a new name at its next renewal.
func (sim *simulation) readOwn(index int) {
	n := sim.nodes[index]
	if row, ok := sim.store[n.name]; ok {
		n.lease.RowObserved(row.version)
	} else if n.lease.Version() > 0 {
		n.lease.RowRemoved()
	}
}

// advance lets time pass, after which the readers read the rows.
func (sim *simulation) advance(d time.Duration, readers []bool) {
	sim.now += d
	for i, n := range sim.nodes {
		if readers[i] {
			sim.read(n)
		}
	}
}

func (sim *simulation) probeArrives(p *probe) {
	if witness := sim.byName(p.msg.Witness); !p.done && witness != nil {
		p.done, p.answer = true, witness.witness.Answer(sim.clock(witness), p.msg)
	}
}

func (sim *simulation) probeAnswered(p *probe) {
	if p.answer.Answered {
		p.from.lease.ProbeAnswered(p.msg.Witness, p.msg.Version, p.sentAt)
	}
}

func (sim *simulation) requestPromise(p *promise) {
	witness := sim.byName(p.msg.Witness)
	if witness == nil || !witness.witness.Promise(sim.clock(witness), p.msg).Promised {
		return
	}
	key := candidateKey(p.msg.Holder, p.msg.Version)
	if p.from.promises[key] == nil {
		p.from.promises[key] = make(map[string]bool)
	}
	p.from.promises[key][witness.name] = true
}

func drawSet(t *rapid.T, n int, label string) []bool {
	return rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, label)
}

// registerAll registers every instance and lets all of them read the rows.
func (sim *simulation) registerAll() {
	for _, n := range sim.nodes {
		var others []string
		for _, o := range sim.nodes {
			if o != n && len(others) < sim.settings.Witnesses {
				others = append(others, o.name)
			}
		}
		sim.sendRenewal(n, others)
		last := sim.writes[len(sim.writes)-1]
		sim.renewalArrives(last)
		sim.renewalAnswered(last, true)
	}
	for _, n := range sim.nodes {
		sim.read(n)
	}
}

func (sim *simulation) sendRenewal(n *node, witnesses []string) {
	if n.lease.RenewalPending() {
		n.lease.RenewalUncertain()
	}
	if n.lease.NeedsNewName() {
		index := slices.Index(sim.nodes, n)
		n = sim.newNode(index, n.epoch+1)
		sim.nodes[index] = n
	}
	sentAt := sim.clock(n)
	names := n.lease.BeginRenewal(sentAt, witnesses)
	sim.writes = append(sim.writes, &write{from: n, expected: n.lease.Version(), sentAt: sentAt, witnesses: names})
}

func (sim *simulation) drawWitnesses(t *rapid.T, n *node) []string {
	var others []string
	for _, o := range sim.nodes {
		if o != n && len(others) < sim.settings.Witnesses && rapid.Bool().Draw(t, "witness") {
			others = append(others, o.name)
		}
	}
	return others
}

func (sim *simulation) renewalArrives(x *write) {
	if x.arrived {
		return
	}
	x.arrived = true
	if sim.store[x.from.name].version != x.expected {
		return
	}
	x.version = x.expected + 1
	sim.store[x.from.name] = stored{version: x.version, record: Record{Name: x.from.name, State: StateLive, Witnesses: x.witnesses}}
}

func (sim *simulation) renewalAnswered(x *write, received bool) {
	sim.writes = slices.DeleteFunc(sim.writes, func(o *write) bool { return o == x && x.arrived })
	switch {
	case x.from.lease.Version() != x.expected || x.from.lease.NeedsNewName():
	case !received || !x.arrived:
		x.from.lease.RenewalUncertain()
	case x.version > 0:
		x.from.lease.RenewalCommitted(x.version, x.sentAt)
	}
}

func (sim *simulation) read(n *node) {
	rows := make([]Row, 0, len(sim.store))
	for _, r := range sim.store {
		rows = append(rows, Row{Record: r.record, Version: r.version})
	}
	n.watch.Observe(sim.clock(n), rows)
}
