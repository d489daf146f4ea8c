package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world simulates a store with one row per instance, and instances with
// unrelated clocks. Sending, arrival and answer of each message are drawn
// separately, so that freezes, losses, delays and reordering all occur.
type world struct {
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

func (w *world) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(w.now + n.offset)
}

func (w *world) valid(n *node) bool {
	return w.clock(n).Before(n.lease.ValidUntil())
}

func (w *world) byName(name string) *node {
	for _, n := range w.nodes {
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

func (w *world) evict(t *rapid.T, evictor *node) {
	for _, c := range evictor.watch.EvictionCandidates(evictor.name, w.clock(evictor)) {
		promised := len(evictor.promises[candidateKey(c.Holder, c.Version)])
		if promised < c.PromisesNeeded || w.store[c.Holder].version != c.Version {
			continue
		}
		holder := w.byName(c.Holder)
		if holder != nil && w.valid(holder) {
			t.Fatalf("%s evicts %s at version %d while its lease is still valid for %v", evictor.name, c.Holder, c.Version,
				holder.lease.ValidUntil().Sub(w.clock(holder)))
		}
		delete(w.store, c.Holder)
	}
}

func candidateKey(holder string, version uint64) string { return fmt.Sprintf("%s@%d", holder, version) }

// TestEvictionNeverMeetsAValidHolder checks that no instance removes the row
// of a holder whose lease is still valid on the holder's own clock.
func TestEvictionNeverMeetsAValidHolder(t *testing.T) {
	evictions := 0
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Heartbeat: time.Second, Lease: 3 * time.Second, Guard: 300 * time.Millisecond, WitnessLease: 2 * time.Second, LongLease: 40 * time.Second, Witnesses: 3}
		w := &world{settings: s, store: make(map[string]stored)}
		for i := range 4 {
			w.nodes = append(w.nodes, w.newNode(i, 0))
		}
		w.registerAll()
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths"))*100*time.Millisecond, drawSet(t, len(w.nodes), "readers"))
			},
			"pass long": func(t *rapid.T) {
				readers := drawSet(t, len(w.nodes), "readers")
				for range rapid.IntRange(2, 25).Draw(t, "steps") {
					w.advance(2*time.Second, readers)
				}
			},
			"send renewal": func(t *rapid.T) {
				n := pick(t, w.nodes, "n")
				w.sendRenewal(n, w.drawWitnesses(t, n))
			},
			"renewal arrives":   func(t *rapid.T) { w.renewalArrives(pick(t, w.writes, "write")) },
			"renewal answered":  func(t *rapid.T) { w.renewalAnswered(pick(t, w.writes, "write"), true) },
			"renewal times out": func(t *rapid.T) { w.renewalAnswered(pick(t, w.writes, "write"), false) },
			"reads own row": func(t *rapid.T) {
				w.readOwn(rapid.IntRange(0, len(w.nodes)-1).Draw(t, "n"))
			},
			"renew": func(t *rapid.T) {
				n := pick(t, w.nodes, "n")
				w.sendRenewal(n, w.drawWitnesses(t, n))
				last := w.writes[len(w.writes)-1]
				w.renewalArrives(last)
				w.renewalAnswered(last, rapid.Bool().Draw(t, "received"))
			},
			"probe round": func(t *rapid.T) {
				n := pick(t, w.nodes, "n")
				fates := rapid.SliceOfN(rapid.IntRange(0, 3), 8, 8).Draw(t, "fates")
				for i, name := range n.lease.WitnessesToProbe() {
					p := &probe{from: n, sentAt: w.clock(n), msg: Probe{Holder: n.name, Version: n.lease.Version(), Witness: name}}
					w.probes = append(w.probes, p)
					if fates[i] > 0 {
						w.probeArrives(p)
					}
					if fates[i] > 1 {
						w.probeAnswered(p)
					}
				}
			},
			"probe arrives":  func(t *rapid.T) { w.probeArrives(pick(t, w.probes, "p")) },
			"probe answered": func(t *rapid.T) { w.probeAnswered(pick(t, w.probes, "p")) },
			"take over": func(t *rapid.T) {
				evictor := pick(t, w.nodes, "taker")
				reached := drawSet(t, len(w.nodes), "reached")
				for _, c := range evictor.watch.EvictionCandidates(evictor.name, w.clock(evictor)) {
					for i, o := range w.nodes {
						if reached[i] && slices.Contains(c.Witnesses, o.name) {
							w.requestPromise(&promise{from: evictor, msg: PromiseRequest{Holder: c.Holder, Version: c.Version, Witness: o.name}})
						}
					}
				}
				before := len(w.store)
				w.evict(t, evictor)
				evictions += before - len(w.store)
			},
			"ask promises": func(t *rapid.T) {
				n := pick(t, w.nodes, "n")
				for _, c := range n.watch.EvictionCandidates(n.name, w.clock(n)) {
					for _, name := range c.Witnesses {
						w.promises = append(w.promises, &promise{from: n, msg: PromiseRequest{Holder: c.Holder, Version: c.Version, Witness: name}})
					}
				}
			},
			"promise": func(t *rapid.T) { w.requestPromise(pick(t, w.promises, "p")) },
			"evict": func(t *rapid.T) {
				before := len(w.store)
				w.evict(t, pick(t, w.nodes, "taker"))
				evictions += before - len(w.store)
			},
		})
	})
	if evictions == 0 {
		t.Fatal("no run evicted an instance, so the property was not exercised")
	}
	t.Logf("%d evictions", evictions)
}

// newNode returns the node at index. Its name contains the index and the epoch.
func (w *world) newNode(index, epoch int) *node {
	name := fmt.Sprintf("i%d.%d", index, epoch)
	return &node{
		name: name, epoch: epoch, offset: time.Duration(index*index) * 977 * time.Hour,
		lease: NewLease(w.settings), witness: NewWitness(name, w.settings), watch: NewWatch(w.settings), promises: make(map[string]map[string]bool),
	}
}

// readOwn reads the row of the node at index. An evicted node registers under
// a new name at its next renewal.
func (w *world) readOwn(index int) {
	n := w.nodes[index]
	if row, ok := w.store[n.name]; ok {
		n.lease.RowObserved(row.version)
	} else if n.lease.Version() > 0 {
		n.lease.RowRemoved()
	}
}

// advance lets time pass, after which the readers read the rows.
func (w *world) advance(d time.Duration, readers []bool) {
	w.now += d
	for i, n := range w.nodes {
		if readers[i] {
			w.read(n)
		}
	}
}

func (w *world) probeArrives(p *probe) {
	if witness := w.byName(p.msg.Witness); !p.done && witness != nil {
		p.done, p.answer = true, witness.witness.Answer(w.clock(witness), p.msg)
	}
}

func (w *world) probeAnswered(p *probe) {
	if p.answer.Answered {
		p.from.lease.ProbeAnswered(p.msg.Witness, p.msg.Version, p.sentAt)
	}
}

func (w *world) requestPromise(p *promise) {
	witness := w.byName(p.msg.Witness)
	if witness == nil || !witness.witness.Promise(w.clock(witness), p.msg).Promised {
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
func (w *world) registerAll() {
	for _, n := range w.nodes {
		var others []string
		for _, o := range w.nodes {
			if o != n && len(others) < w.settings.Witnesses {
				others = append(others, o.name)
			}
		}
		w.sendRenewal(n, others)
		last := w.writes[len(w.writes)-1]
		w.renewalArrives(last)
		w.renewalAnswered(last, true)
	}
	for _, n := range w.nodes {
		w.read(n)
	}
}

func (w *world) sendRenewal(n *node, witnesses []string) {
	if n.lease.RenewalPending() {
		n.lease.RenewalUncertain()
	}
	if n.lease.NeedsNewName() {
		index := slices.Index(w.nodes, n)
		n = w.newNode(index, n.epoch+1)
		w.nodes[index] = n
	}
	sentAt := w.clock(n)
	names := n.lease.BeginRenewal(sentAt, witnesses)
	w.writes = append(w.writes, &write{from: n, expected: n.lease.Version(), sentAt: sentAt, witnesses: names})
}

func (w *world) drawWitnesses(t *rapid.T, n *node) []string {
	var others []string
	for _, o := range w.nodes {
		if o != n && len(others) < w.settings.Witnesses && rapid.Bool().Draw(t, "witness") {
			others = append(others, o.name)
		}
	}
	return others
}

func (w *world) renewalArrives(x *write) {
	if x.arrived {
		return
	}
	x.arrived = true
	if w.store[x.from.name].version != x.expected {
		return
	}
	x.version = x.expected + 1
	w.store[x.from.name] = stored{version: x.version, record: Record{Name: x.from.name, State: StateLive, Witnesses: x.witnesses}}
}

func (w *world) renewalAnswered(x *write, received bool) {
	w.writes = slices.DeleteFunc(w.writes, func(o *write) bool { return o == x && x.arrived })
	switch {
	case x.from.lease.Version() != x.expected || x.from.lease.NeedsNewName():
	case !received || !x.arrived:
		x.from.lease.RenewalUncertain()
	case x.version > 0:
		x.from.lease.RenewalCommitted(x.version, x.sentAt)
	}
}

func (w *world) read(n *node) {
	rows := make([]Row, 0, len(w.store))
	for _, r := range w.store {
		rows = append(rows, Row{Record: r.record, Version: r.version})
	}
	n.watch.Observe(w.clock(n), rows)
}
