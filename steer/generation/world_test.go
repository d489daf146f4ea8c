package generation

import (
	"fmt"
	"time"
)

// Timing of the simulated instances.
const (
	step        = 100 * time.Millisecond
	readPeriod  = time.Second
	readTimeout = time.Second
)

// promotion is one accepted write of the head row.
type promotion struct {
	head Head
	at   time.Time
}

// world simulates a store in region kano and instances in two regions. It
// advances in fixed steps; messages are delivered after a delay.
type world struct {
	now       time.Time
	delay     time.Duration // one-way latency between instances
	storeDown bool
	downSince time.Time
	accepted  []promotion
	instances []*node
	regionCut bool
	domainCut bool // kano-a is partitioned from all other failure domains
	names     int
}

// node is one simulated instance.
type node struct {
	location Location
	tracker  *Tracker
	offset   time.Duration // offset of its clock from the simulated time
	storeCut bool
	frozen   bool
	nextRead time.Time
	pending  []delivery
	highest  uint64 // highest generation that it has followed
}

// delivery is a message in transit to a node.
type delivery struct {
	at    time.Time
	apply func()
}

func newWorld(domains ...string) *world {
	w := &world{now: time.Unix(1_000_000, 0), delay: 20 * time.Millisecond}
	for i, domain := range domains {
		n := &node{offset: time.Duration(i) * time.Hour}
		n.location.FailureDomain = domain
		w.instances = append(w.instances, n)
		w.restart(n)
	}
	return w
}

// restart replaces the process of n by a new one without any state.
func (w *world) restart(n *node) {
	w.names++
	domain := n.location.FailureDomain
	n.location = Location{
		Instance:      fmt.Sprintf("i-%d", w.names),
		Region:        domain[:len(domain)-2],
		FailureDomain: domain,
	}
	n.tracker = NewTracker(n.location, DefaultSettings("kano"))
	n.pending, n.highest, n.frozen, n.nextRead = nil, 0, false, w.now
}

func (w *world) localTime(n *node) time.Time { return w.now.Add(n.offset) }

func (w *world) head() Head {
	if len(w.accepted) == 0 {
		return Head{}
	}
	return w.accepted[len(w.accepted)-1].head
}

// promote accepts a new generation unless the store is down.
func (w *world) promote() {
	if w.storeDown {
		return
	}
	g := w.head().Generation + 1
	w.accepted = append(w.accepted, promotion{Head{g, fmt.Sprint("d", g)}, w.now})
}

func (w *world) setStoreDown(down bool) {
	switch {
	case down && !w.storeDown:
		w.downSince = w.now
	case !down && w.storeDown:
		w.restartHiddenDeadlines()
	}
	w.storeDown = down
}

// restartHiddenDeadlines restarts the time limit of promotions that the outage
// which ends now may have hidden from every instance.
func (w *world) restartHiddenDeadlines() {
	for i := range w.accepted {
		if w.hiddenByOutage(w.accepted[i]) {
			w.accepted[i].at = w.now
		}
	}
}

// hiddenByOutage reports whether the latest outage began so soon after the
// promotion that possibly no instance has read it. In production the
// operators' tool covers this case: it sends the new head to the instances
// itself.
func (w *world) hiddenByOutage(p promotion) bool {
	return !p.at.After(w.downSince) && w.downSince.Sub(p.at) < DefaultMaxReadGap+readTimeout
}

func (w *world) storeReachable(n *node) bool {
	cut := n.storeCut || w.regionCut && n.location.Region != "kano" || w.domainCut && n.location.FailureDomain == "kano-a"
	return !w.storeDown && !cut
}

func (w *world) connected(a, b *node) bool {
	if w.regionCut && a.location.Region != b.location.Region {
		return false
	}
	apart := (a.location.FailureDomain == "kano-a") != (b.location.FailureDomain == "kano-a")
	return !w.domainCut || !apart
}

// run advances the simulation by d.
func (w *world) run(d time.Duration, check func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, n := range w.instances {
			if !n.frozen {
				w.stepNode(n)
			}
		}
		check()
	}
}

func (w *world) stepNode(n *node) {
	due := n.pending
	n.pending = nil
	for _, d := range due {
		if d.at.After(w.now) {
			n.pending = append(n.pending, d)
			continue
		}
		d.apply()
		n.highest = max(n.highest, n.tracker.Head().Generation)
	}
	if !n.nextRead.After(w.now) {
		n.nextRead = w.now.Add(readPeriod)
		w.read(n)
	}
}

// read starts a read of the store. If the store is unreachable, the read fails
// after the timeout and reports are requested from the peers.
func (w *world) read(n *node) {
	started, head := w.localTime(n), w.head()
	if w.storeReachable(n) {
		w.deliver(n, w.delay, func() {
			if n.tracker.StoreReadSucceeded(started, head) == Newer {
				w.loadDocument(n, func() { n.tracker.Adopt(head, started, true) })
			}
		})
		return
	}
	w.deliver(n, readTimeout, func() {
		n.tracker.StoreReadFailed(started)
		for _, peer := range w.instances {
			if peer != n && w.connected(n, peer) {
				w.requestReport(n, peer)
			}
		}
	})
}

// requestReport exchanges one report. The peer makes the report when the
// request arrives; a freeze of n may delay the response.
func (w *world) requestReport(n, peer *node) {
	if peer.frozen {
		return
	}
	asked := w.localTime(n)
	statement := peer.tracker.Report(w.localTime(peer))
	w.deliver(n, 2*w.delay, func() {
		if n.tracker.PeerReported(asked, w.localTime(n), statement) == Newer {
			w.loadDocument(n, func() { n.tracker.Adopt(statement.Head, statement.AsOf(asked), false) })
		}
	})
}

// loadDocument adopts a head after the time it takes to load its document.
func (w *world) loadDocument(n *node, adopt func()) { w.deliver(n, w.delay, adopt) }

func (w *world) deliver(n *node, after time.Duration, apply func()) {
	tracker := n.tracker
	n.pending = append(n.pending, delivery{at: w.now.Add(after), apply: func() {
		if n.tracker == tracker {
			apply()
		}
	}})
}

// isServing reports whether n accepts a keyed request now.
func (w *world) isServing(n *node) bool {
	now := w.localTime(n)
	return !n.frozen && n.tracker.Ready(now) && now.Before(n.tracker.FreshUntil())
}
