package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// network carries calls between the instances of a test.
type network struct {
	mu          sync.Mutex
	instances   map[string]*mesh             // by address
	tables      map[string]*relayedStore     // by address, for tests that relay tables
	views       map[string]*storeView        // by address, for tests that exchange catalogs
	watchers    map[string]*registry.Watcher // by name, for the same tests
	down        map[string]bool
	calls       int
	crossRegion int // calls between regions
	sameRegion  int // calls inside them
}

var errUnreachable = errors.New("the instance did not respond")

// oneWayLatency is the one-way time of a call.
const oneWayLatency = 20 * time.Millisecond

// instanceCaller makes the calls of one instance over the network.
type instanceCaller struct {
	*network
	self, region string
}

func (l instanceCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	l.mu.Lock()
	m, tables, view, down := l.instances[addr], l.tables[addr], l.views[addr], l.down[addr] || l.down[l.self]
	l.mu.Unlock()
	time.Sleep(oneWayLatency)
	if down || m == nil || method == methodTable && tables == nil {
		<-ctx.Done()
		return errUnreachable
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	handle := m.handleSync
	switch method {
	case methodTable:
		handle = tables.handleQuery
	case methodCatalog:
		handle = view.handleCatalog
	}
	reply, err := handle(ctx, text)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	time.Sleep(oneWayLatency)
	l.mu.Lock()
	l.calls++
	if l.region != m.self.Region {
		l.crossRegion++
	} else {
		l.sameRegion++
	}
	l.mu.Unlock()
	return json.Unmarshal(encoded, result)
}

// reachableSince returns since when an instance has reached the store, in tests
// that relay tables.
func (n *network) reachableSince(name string) time.Time {
	n.mu.Lock()
	w := n.watchers[name]
	n.mu.Unlock()
	if w == nil {
		return time.Time{}
	}
	return w.ReachableSince()
}

// newNetwork starts instances in three regions that have read each other's
// rows.
func newNetwork(t *testing.T, perRegion int, quotas map[string]quota.Quota) (*network, []*mesh) {
	return newDomainNetwork(t, perRegion, 1, quotas)
}

// newDomainNetwork is newNetwork with several failure domains in each region. prepare
// is called for each instance before it runs.
func newDomainNetwork(t *testing.T, perRegion, domains int, quotas map[string]quota.Quota, prepare ...func(*network, *mesh)) (*network, []*mesh) {
	n := &network{instances: map[string]*mesh{}, tables: map[string]*relayedStore{}, views: map[string]*storeView{}, watchers: map[string]*registry.Watcher{}, down: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var all []*mesh
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, m := range all {
			m.background.Wait()
		}
	})
	rows := map[string]registry.Row{}
	for _, region := range []string{"east", "north", "west"} {
		for i := range perRegion {
			name := fmt.Sprintf("%s-%d", region, i)
			domain := fmt.Sprintf("%s-%d", region, 1+i%domains)
			s := &Settings{Name: name, Region: region, FailureDomain: domain, Listen: ListenSettings{Peers: name, Callers: "callers of " + name, Relay: "relay of " + name}}
			limiter := quota.New()
			limiter.SetQuotas(time.Now(), quotas)
			r := newRollouts(Adapters{}, log)
			view := &storeView{}
			placer := placing.New(placing.DefaultRules(), placing.Locality{Self: name, Region: region})
			reached := reachability.New(newReachMonitor(), nil, placer, log)
			m := newMesh(s, Adapters{}, placer, limiter, r, view, newCrashWatch(nil, placer, reached, log), reached, newRelayClient(), log)
			m.ready = func() bool { return true }
			m.storeReachableSince = func() time.Time { return n.reachableSince(name) }
			m.caller = instanceCaller{network: n, self: name, region: region}
			n.instances[name] = m
			for _, f := range prepare {
				f(n, m)
			}
			all = append(all, m)
			value, err := json.Marshal(Instance{Peers: name, Region: region, FailureDomain: domain})
			if err != nil {
				t.Fatal(err)
			}
			rows[name] = registry.Row{Key: name, Value: value}
		}
	}
	for _, m := range all {
		m.applyInstancesTable(ctx)(time.Now(), rows)
		wg.Go(func() { runEvery(ctx, syncInterval, m.refreshMembership) })
		wg.Go(func() { m.runSyncs(ctx) })
	}
	return n, all
}

// setDown sets whether an instance can neither make nor receive calls.
func (n *network) setDown(name string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = down
}

// takeCrossRegionCalls returns the number of calls between regions since the
// last time, and resets the counters.
func (n *network) takeCrossRegionCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.crossRegion
	n.crossRegion, n.sameRegion = 0, 0
	return calls
}

// sameRegionCalls returns the number of calls inside regions since the last
// reset.
func (n *network) sameRegionCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sameRegion
}

// checkMembership checks each live instance's view of the fleet.
func (n *network) checkMembership(all []*mesh, alive int) error {
	leaders := 0
	for _, m := range all {
		if n.down[m.self.Name] {
			continue
		}
		if m.size() != alive {
			return fmt.Errorf("%s has %d of %d instances", m.self.Name, m.size(), alive)
		}
		if m.isLeader() {
			leaders++
		}
		for _, a := range m.callerAddresses(CallerLocation{Region: "west"}) {
			if n.down[a[len("callers of "):]] {
				return fmt.Errorf("the directory of %s lists %s, which is down", m.self.Name, a)
			}
		}
	}
	if leaders != 1 {
		return fmt.Errorf("%d leaders, want 1", leaders)
	}
	return nil
}

// In a large fleet every instance knows all others, with few calls between
// regions, also after the hubs of a region have failed.
func TestLargeFleetMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perRegion = 15
		n, all := newNetwork(t, perRegion, nil)
		time.Sleep(5 * time.Second)
		if err := n.checkMembership(all, 3*perRegion); err != nil {
			t.Fatal(err)
		}
		n.takeCrossRegionCalls()
		time.Sleep(10 * time.Second)
		// Two hubs in each of three regions make twelve pairs.
		maxCalls := 12 * int(10*time.Second/syncInterval)
		if calls := n.takeCrossRegionCalls(); calls > maxCalls {
			t.Errorf("%d calls between regions in 10 s, want at most %d", calls, maxCalls)
		}
		west := all[2*perRegion]
		west.mu.Lock()
		hubs := slices.Clone(west.ownHubs)
		west.mu.Unlock()
		n.mu.Lock()
		for _, name := range hubs {
			n.down[name] = true
		}
		n.mu.Unlock()
		time.Sleep(10 * time.Second)
		if err := n.checkMembership(all, 3*perRegion-len(hubs)); err != nil {
			t.Error(err)
		}
	})
}

// An instance that has stopped is out of all directories within the time that the
// users allow, also in other failure domains and regions.
func TestStoppedInstanceLeavesTheDirectories(t *testing.T) {
	const maxListed = 7 * time.Second // with a stability time of 4 s
	synctest.Test(t, func(t *testing.T) {
		n, all := newDomainNetwork(t, 30, 3, nil)
		time.Sleep(5 * time.Second)
		for _, m := range all {
			m.mu.Lock()
			isHub := m.isHub
			m.mu.Unlock()
			if isHub {
				continue
			}
			n.mu.Lock()
			n.down[m.self.Name] = true
			n.mu.Unlock()
			break
		}
		time.Sleep(maxListed)
		for _, m := range all {
			for _, region := range []string{"east", "north", "west"} {
				for _, a := range m.callerAddresses(CallerLocation{Region: region}) {
					if name := a[len("callers of "):]; n.down[name] && !n.down[m.self.Name] {
						t.Errorf("the directory of %s lists %s, which stopped %s ago", m.self.Name, name, maxListed)
					}
				}
			}
		}
	})
}

// Quotas hold in a large fleet, where other regions are known by their
// summaries.
func TestQuotaHoldsInLargeFleet(t *testing.T) {
	for _, domains := range []int{1, 3} {
		t.Run(fmt.Sprint(domains, " domains in a region"), func(t *testing.T) { testQuotaInLargeFleet(t, 15*domains, domains) })
	}
}

func testQuotaInLargeFleet(t *testing.T, perRegion, domains int) {
	synctest.Test(t, func(t *testing.T) {
		q := quota.Quota{Rate: 60, Burst: 60}
		_, all := newDomainNetwork(t, perRegion, domains, map[string]quota.Quota{"t": q})
		time.Sleep(3 * time.Second)
		var admitted []time.Time
		sendRequests := func(rate float64, d time.Duration) {
			gap := time.Duration(float64(time.Second) / rate)
			for i := range int(d / gap) {
				if all[(i*7)%len(all)].limiter.Take("t", time.Now()).Allowed {
					admitted = append(admitted, time.Now())
				}
				time.Sleep(gap)
			}
		}
		sendRequests(36, 8*time.Second)
		if share := float64(len(admitted)) / (36 * 8); share < 0.99 {
			t.Errorf("%.3f of the requests within the quota were admitted", share)
		}
		sendRequests(300, 15*time.Second)
		bound := (q.Rate*5+q.Burst)*1.1 + 20 // the users' limit
		first, most := 0, 0
		for last, at := range admitted {
			for at.Sub(admitted[first]) >= 5*time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
		t.Logf("at most %d requests in 5 s, %.0f allowed", most, bound)
		if float64(most) > bound {
			t.Errorf("%d requests in 5 s, %.0f allowed", most, bound)
		}
	})
}

// Guards against a quota that is given twice while instances are cut off: the team
// becomes hot after the cut, so each side learns only of its own demand.
func TestQuotaHoldsWhileInstancesAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quota.Quota{Rate: 60, Burst: 60}
		n, all := newDomainNetwork(t, 3, 3, map[string]quota.Quota{"t": q})
		var admitted []time.Time
		sendRequests := func(rate float64, d time.Duration) {
			gap := time.Duration(float64(time.Second) / rate)
			for i := range int(d / gap) {
				if all[i%len(all)].limiter.Take("t", time.Now()).Allowed {
					admitted = append(admitted, time.Now())
				}
				time.Sleep(gap)
			}
		}
		time.Sleep(3 * time.Second)
		sendRequests(36, 4*time.Second)
		for _, m := range all[:3] {
			n.setDown(m.self.Name, true)
		}
		sendRequests(36, 4*time.Second)
		sendRequests(300, 30*time.Second)
		bound := (q.Rate*5+q.Burst)*1.1 + 20 // the users' limit
		first := 0
		for last, at := range admitted {
			for at.Sub(admitted[first]) >= 5*time.Second {
				first++
			}
			if got := last - first + 1; float64(got) > bound {
				t.Fatalf("%d requests in 5 s, %.0f allowed", got, bound)
			}
		}
	})
}

// A region's summary is removed once the fleet is small enough for a full mesh,
// or once none has arrived for long. Otherwise it would keep a share of each
// quota that no instance uses.
func TestRegionSummaryIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newNetwork(t, 1, map[string]quota.Quota{"t": {Rate: 100, Burst: 100}})
		m := all[0]
		time.Sleep(time.Second)
		m.receiveSummary(domainSummary{memberList: memberList{Domain: "gone", Region: "gone"}, Demand: quota.Demand{"t": {Rate: 900, Admitted: 4500}}}, time.Now())
		share := 0.0
		for range 100 {
			share = m.limiter.Take("t", time.Now()).Share
			time.Sleep(50 * time.Millisecond)
		}
		if share < 0.9 {
			t.Errorf("share %.2f of a quota that no other instance uses", share)
		}
	})
}

// An instance that is about to stop is no hub in its own view either, so that
// the region's summaries have two senders all the time.
func TestLeavingInstanceIsNoHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newNetwork(t, maxFullMesh, nil)
		time.Sleep(5 * time.Second)
		for _, m := range all {
			m.mu.Lock()
			isHub := m.isHub
			m.mu.Unlock()
			if !isHub {
				continue
			}
			m.announceLeaving()
			time.Sleep(2 * syncInterval)
			m.mu.Lock()
			hubs := slices.Clone(m.ownHubs)
			m.mu.Unlock()
			if slices.Contains(hubs, m.self.Name) || len(hubs) != relay.HubsPerDomain {
				t.Fatalf("%s is leaving, it takes %v as hubs", m.self.Name, hubs)
			}
			return
		}
		t.Fatal("no hub found")
	})
}

// The start of a rollout does not move as reports on it pass through hubs.
func TestRolloutStartStaysInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newDomainNetwork(t, 12, 2, nil)
		time.Sleep(5 * time.Second)
		ordered := time.Now()
		order := catalog.RolloutOrder{Service: "s", To: "v2", Duration: 12 * time.Second, Revision: 5}
		for _, m := range all {
			m.rollouts.SetOrders(time.Now(), map[string]catalog.RolloutOrder{"s": order}, 0)
			time.Sleep(10 * time.Millisecond)
		}
		for range 10 {
			time.Sleep(time.Second)
			for _, m := range all {
				if start := m.rollouts.Get("s").StartTime(); start.Before(ordered) {
					t.Fatalf("%s after the order, %s has a start %s before it", time.Since(ordered), m.self.Name, ordered.Sub(start))
				}
			}
		}
		for _, m := range all {
			if late := m.rollouts.Get("s").StartTime().Sub(ordered); late > 100*time.Millisecond {
				t.Errorf("%s has a start %s after the order", m.self.Name, late)
			}
		}
	})
}

// Guards against endpoints that look idle in a large fleet: an instance has to know the
// requests of other regions there, and of failure domains with a single one.
func TestLoadsOfAllRegionsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newDomainNetwork(t, 7, 1, nil)
		e := catalog.Endpoint{ID: "e", StartMS: 1, Service: "s", FailureDomain: all[0].self.FailureDomain, Slots: 2 * len(all)}
		for _, m := range all {
			m.placer.SetEndpoints(time.Now(), []catalog.Endpoint{e})
			if _, err := m.placer.Choose(time.Now(), placing.Query{Service: "s", Route: "r", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: time.Minute}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * maxSummaryAge)
		for _, m := range all {
			if got := m.placer.Usages(time.Now())[0].Running; got != len(all) {
				t.Errorf("%s knows %d of %d requests at the endpoint", m.self.Name, got, len(all))
			}
		}
	})
}
