package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// convergenceTime is the time after which all keepers know each other.
const convergenceTime = 5 * time.Second

// maxEvictionTime is the longest time from the death of an instance until all
// others know of the eviction: one read interval with jitter, the lease as the
// peers measure it, and the messages.
func maxEvictionTime() time.Duration {
	s := membership.DefaultSettings()
	return s.Lease + s.Guard + time.Duration(float64(s.Heartbeat)*(1+jitter)) + 400*time.Millisecond
}

func usable(n *node) int {
	count := 0
	for _, m := range n.Members() {
		if m.Usable() {
			count++
		}
	}
	return count
}

func (f *fleet) wantAll(t *testing.T, desc string, want int) {
	t.Helper()
	for _, n := range f.live() {
		if !n.valid() || usable(n) != want {
			t.Errorf("%s: %s: lease valid: %v, %d usable members, want %d", desc, n.Name(), n.valid(), usable(n), want)
		}
	}
}

func TestKeepersAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		time.Sleep(convergenceTime)
		f.wantAll(t, "at rest", 10)
		before, calls := f.store.Counts(), f.calls.Load()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		after := f.store.Counts()
		writes := float64(after.Writes-before.Writes) / seconds / 10
		reads := float64(after.Reads-before.Reads) / seconds / 10
		t.Logf("at rest each instance makes %.2f writes/s and %.2f reads/s, %d messages in all", writes, reads, f.calls.Load()-calls)
		if writes > 1.6 || reads > 1.9 || f.calls.Load() != calls {
			t.Errorf("more calls than one write and one read per heartbeat and the reads of the list, or any message")
		}
	})
}

func TestDeadInstanceIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		time.Sleep(convergenceTime)
		f.nodes[4].kill()
		time.Sleep(maxEvictionTime())
		f.wantAll(t, "after one death", 9)
		rows, _ := f.store.Scan(context.Background(), InstancesPrefix("trial"))
		if len(rows) != 9 {
			t.Errorf("%d rows are left, want 9", len(rows))
		}
		for _, n := range []*node{f.nodes[0], f.nodes[3], f.nodes[6]} { // all but one of the four nodes in one region
			n.kill()
		}
		time.Sleep(2 * maxEvictionTime())
		f.wantAll(t, "after three more", 6)
	})
}

func TestAnHourWithoutTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(convergenceTime)
		f.store.SetFaults(standin.Faults{Freeze: true})
		for range 3600 {
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				if !n.valid() {
					t.Fatalf("%s has no lease while the table is unavailable", n.Name())
				}
			}
		}
		f.store.SetFaults(standin.Faults{})
		before := f.store.Counts()
		const seconds = 5
		time.Sleep(seconds * time.Second)
		after := f.store.Counts()
		f.wantAll(t, "after the outage", 4)
		perSecond := float64(after.Writes+after.Reads-before.Writes-before.Reads) / seconds / 4
		t.Logf("just after the outage each instance makes %.2f calls/s", perSecond)
		if perSecond > 3.5 {
			t.Errorf("%.2f calls/s, want no more than at rest", perSecond)
		}
		for _, n := range f.nodes {
			if n.Name() != n.settings.Process {
				t.Errorf("%s lost its lease over the outage", n.Name())
			}
		}
	})
}

func TestCutRegionLosesItsLeasesAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(convergenceTime)
		f.partition(func(a, b string) bool { return (a == "kaduna") != (b == "kaduna") })
		time.Sleep(2 * maxEvictionTime())
		for _, n := range f.nodes {
			if want := n.region != "kaduna"; n.valid() != want {
				t.Errorf("%s in %s: lease %v, want %v", n.Name(), n.region, n.valid(), want)
			}
		}
		if got := usable(f.nodes[0]); got != 4 {
			t.Errorf("%d are usable, want 4", got)
		}
		time.Sleep(time.Hour)
		f.partition(func(string, string) bool { return false })
		time.Sleep(convergenceTime)
		f.wantAll(t, "after the partition", 6)
		if n := f.nodes[1]; n.Name() != "i1~2" || n.resetCount() != 2 {
			t.Errorf("%s rejoined with %d resets, want a new name and one more reset", n.Name(), n.resetCount())
		}
	})
}

func TestRegionOfTheTableCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		time.Sleep(convergenceTime)
		f.partition(func(a, b string) bool { return (a == storeRegion) != (b == storeRegion) })
		time.Sleep(10 * time.Minute)
		for _, n := range f.nodes {
			if !n.valid() || n.Name() != n.settings.Process {
				t.Errorf("%s in %s: lease %v", n.Name(), n.region, n.valid())
			}
		}
		if rows, _ := f.store.Scan(context.Background(), InstancesPrefix("trial")); len(rows) != 10 {
			t.Errorf("%d rows are left, want 10: live instances were evicted", len(rows))
		}
	})
}

func TestLostAnswersCostNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(convergenceTime)
		for range 20 {
			f.store.SetFaults(standin.Faults{LoseResponses: 2})
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				if !n.valid() || n.Name() != n.settings.Process {
					t.Fatalf("%s: lease %v", n.Name(), n.valid())
				}
			}
		}
	})
}

func TestLeavingIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(convergenceTime)
		n := f.nodes[2]
		if err := n.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(minReadInterval + peerDelay)
		for _, o := range f.nodes {
			if usable(o) != 3 {
				t.Errorf("%s sees %d usable, want 3", o.Name(), usable(o))
			}
		}
		if err := n.RemoveRow(context.Background()); err != nil {
			t.Fatal(err)
		}
		if n.valid() {
			t.Error("the lease is still valid after the row was removed")
		}
	})
}

func TestOneInstanceCutFromTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(convergenceTime)
		f.nodes[4].tableUnreachable.Store(true)
		for range 600 {
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				if !n.valid() || n.Name() != n.settings.Process {
					t.Fatalf("%s: lease %v", n.Name(), n.valid())
				}
			}
		}
		if rows, _ := f.store.Scan(context.Background(), InstancesPrefix("trial")); len(rows) != 6 {
			t.Errorf("%d rows are left, want 6: a live instance was evicted", len(rows))
		}
	})
}

func TestDeathWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(convergenceTime)
		f.store.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Second)
		f.wantAll(t, "table down", 6)
		f.nodes[3].kill()
		time.Sleep(unreachableAfter + 2*time.Second)
		f.wantAll(t, "one instance dead during the outage", 5)
		f.store.SetFaults(standin.Faults{})
		time.Sleep(convergenceTime)
		f.wantAll(t, "after the outage", 5)
	})
}

func TestDeathAtAnyMomentOfTheHeartbeat(t *testing.T) {
	const deaths = 200
	for i := range deaths {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			time.Sleep(convergenceTime + time.Duration(i)*membership.DefaultSettings().Heartbeat/deaths)
			f.nodes[i%4].kill()
			time.Sleep(maxEvictionTime())
			f.wantAll(t, "after a death", 3)
		})
	}
}
