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

// simulation simulates a store in region kano and instances in two regions. It
// advances in fixed steps; messages are delivered after a delay.
type simulation struct {
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

func newSimulation(domains ...string) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), delay: 20 * time.Millisecond}
	for i, domain := range domains {
		n := &node{offset: time.Duration(i) * time.Hour}
		n.location.FailureDomain = domain
		sim.instances = append(sim.instances, n)
		sim.restart(n)
	}
	return sim
}

// restart replaces the process of n by a new one without any state.
func (sim *simulation) restart(n *node) {
	sim.names++
	domain := n.location.FailureDomain
	n.location = Location{
		Instance:      fmt.Sprintf("i-%d", sim.names),
		Region:        domain[:len(domain)-2],
		FailureDomain: domain,
	}
	n.tracker = NewTracker(n.location, DefaultSettings("kano"))
	n.pending, n.highest, n.frozen, n.nextRead = nil, 0, false, sim.now
}

func (sim *simulation) localTime(n *node) time.Time { return sim.now.Add(n.offset) }

func (sim *simulation) head() Head {
	if len(sim.accepted) == 0 {
		return Head{}
	}
	return sim.accepted[len(sim.accepted)-1].head
}

// promote accepts a new generation unless the store is down.
func (sim *simulation) promote() {
	if sim.storeDown {
		return
	}
	g := sim.head().Generation + 1
	sim.accepted = append(sim.accepted, promotion{Head{g, fmt.Sprint("d", g)}, sim.now})
}

func (sim *simulation) setStoreDown(down bool) {
	switch {
	case down && !sim.storeDown:
		sim.downSince = sim.now
	case !down && sim.storeDown:
		sim.restartHiddenDeadlines()
	}
	sim.storeDown = down
}

// restartHiddenDeadlines restarts the time limit of promotions that the outage
// which ends now may have hidden from every instance.
func (sim *simulation) restartHiddenDeadlines() {
	for i := range sim.accepted {
		if sim.hiddenByOutage(sim.accepted[i]) {
			sim.accepted[i].at = sim.now
		}
	}
}

// hiddenByOutage reports whether the latest outage began so soon after the
// promotion that possibly no instance has read it. In production the
// operators' tool covers this case: it sends the new head to the instances
// itself.
func (sim *simulation) hiddenByOutage(p promotion) bool {
	return !p.at.After(sim.downSince) && sim.downSince.Sub(p.at) < DefaultMaxReadGap+readTimeout
}

func (sim *simulation) storeReachable(n *node) bool {
	cut := n.storeCut || sim.regionCut && n.location.Region != "kano" || sim.domainCut && n.location.FailureDomain == "kano-a"
	return !sim.storeDown && !cut
}

func (sim *simulation) connected(a, b *node) bool {
	if sim.regionCut && a.location.Region != b.location.Region {
		return false
	}
	apart := (a.location.FailureDomain == "kano-a") != (b.location.FailureDomain == "kano-a")
	return !sim.domainCut || !apart
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration, check func()) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		for _, n := range sim.instances {
			if !n.frozen {
				sim.stepNode(n)
			}
		}
		check()
	}
}

func (sim *simulation) stepNode(n *node) {
	due := n.pending
	n.pending = nil
	for _, d := range due {
		if d.at.After(sim.now) {
			n.pending = append(n.pending, d)
			continue
		}
		d.apply()
		n.highest = max(n.highest, n.tracker.Head().Generation)
	}
	if !n.nextRead.After(sim.now) {
		n.nextRead = sim.now.Add(readPeriod)
		sim.read(n)
	}
}

// read starts a read of the store. If the store is unreachable, the read fails
// after the timeout and reports are requested from the peers.
func (sim *simulation) read(n *node) {
	started, head := sim.localTime(n), sim.head()
	if sim.storeReachable(n) {
		sim.deliver(n, sim.delay, func() {
			if n.tracker.StoreReadSucceeded(started, head) == Newer {
				sim.loadDocument(n, func() { n.tracker.Adopt(head, started, true) })
			}
		})
		return
	}
	sim.deliver(n, readTimeout, func() {
		n.tracker.StoreReadFailed(started)
		for _, peer := range sim.instances {
			if peer != n && sim.connected(n, peer) {
				sim.requestReport(n, peer)
			}
		}
	})
}

// requestReport exchanges one report. The peer makes the report when the
// request arrives; a freeze of n may delay the response.
func (sim *simulation) requestReport(n, peer *node) {
	if peer.frozen {
		return
	}
	sentAt := sim.localTime(n)
	report := peer.tracker.Report(sim.localTime(peer))
	sim.deliver(n, 2*sim.delay, func() {
		if n.tracker.PeerReported(sentAt, sim.localTime(n), report) == Newer {
			sim.loadDocument(n, func() { n.tracker.Adopt(report.Head, report.AsOf(sentAt), false) })
		}
	})
}

// loadDocument adopts a head after the time it takes to load its document.
func (sim *simulation) loadDocument(n *node, adopt func()) { sim.deliver(n, sim.delay, adopt) }

func (sim *simulation) deliver(n *node, after time.Duration, apply func()) {
	tracker := n.tracker
	n.pending = append(n.pending, delivery{at: sim.now.Add(after), apply: func() {
		if n.tracker == tracker {
			apply()
		}
	}})
}

// isServing reports whether n accepts a keyed request now.
func (sim *simulation) isServing(n *node) bool {
	now := sim.localTime(n)
	return !n.frozen && n.tracker.Ready(now) && now.Before(n.tracker.FreshUntil())
}
