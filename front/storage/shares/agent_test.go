package shares

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

func TestSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(convergenceTime)
		refused := f.offer(f.nodes[1], "large", 30, 90*time.Second)
		refusedWard := f.offer(f.nodes[2], "ward-01", 3, 90*time.Second)
		time.Sleep(30 * time.Second)
		early := refused.Load() + refusedWard.Load()
		before := f.store.Counts()
		time.Sleep(60 * time.Second)
		after := f.store.Counts()
		if d := f.division("large"); d.Sum() != share.TotalUnits || d.UnitsOf("i1") < share.TotalUnits*6/10 {
			t.Errorf("large is divided as %v, want most at i1", d)
		}
		if d := f.division("ward-01"); d.UnitsOf("i2") != share.TotalUnits {
			t.Errorf("ward-01 is divided as %v, want all at i2", d)
		}
		if late := refused.Load() + refusedWard.Load() - early; late > 0 {
			t.Errorf("%d refusals at constant demand, want none", late)
		}
		writes := float64(after.Writes-before.Writes) / 60 / 4
		reads := float64(after.Reads-before.Reads) / 60 / 4
		t.Logf("each instance makes %.2f writes/s and %.2f reads/s; %d requests refused in the first 30 s", writes, reads, early)
		if writes > 1.6 || reads > 3 {
			t.Errorf("more calls than the heartbeat writes and the reads of instance rows, divisions and the instance list")
		}
	})
}

func TestRateAndBurstThroughFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		f.duplicateMessages.Store(true)
		time.Sleep(convergenceTime)
		for _, n := range f.nodes {
			f.offer(n, "large", 40, 3*time.Minute)
			f.offer(n, "ward-01", 6, 3*time.Minute)
		}
		steps := []func(){
			func() { f.store.SetFaults(standin.Faults{LoseResponses: 30}) },
			func() { f.nodes[0].kill() },
			func() { f.store.SetFaults(standin.Faults{Down: true}) },
			func() { f.store.SetFaults(standin.Faults{}) },
			func() { f.setPartition(func(a, b string) bool { return a != b }) },
			func() { f.store.SetFaults(standin.Faults{LoseResponses: 30}) },
			func() { f.setPartition(func(string, string) bool { return false }) },
			func() { f.nodes[2].kill() },
			func() { f.store.SetFaults(standin.Faults{Delay: 1200 * time.Millisecond}) },
			func() { f.store.SetFaults(standin.Faults{}) },
		}
		for _, step := range steps {
			step()
			time.Sleep(15 * time.Second)
		}
		for team, b := range f.buckets {
			f.mu.Lock()
			t.Logf("%s: %d admitted", team, b.admitted)
			if b.admitted < int(b.quota.Rate)*60 {
				t.Errorf("%s: only %d admitted", team, b.admitted)
			}
			f.mu.Unlock()
		}
	})
}

func TestSharesOfDeadInstanceAreReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(convergenceTime)
		f.offer(f.nodes[2], "ward-01", 3, 20*time.Second)
		time.Sleep(20 * time.Second)
		f.nodes[2].kill()
		time.Sleep(7 * time.Second)
		for _, team := range []string{"large", "ward-01"} {
			if d := f.division(team); d.UnitsOf("i2") != 0 || d.Sum() != share.TotalUnits {
				t.Errorf("%s is divided as %v, want nothing at i2 and all elsewhere", team, d)
			}
		}
	})
}

func TestLeavingTransfersSharesAndTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(convergenceTime)
		f.offer(f.nodes[2], "ward-01", 3, 20*time.Second)
		time.Sleep(20 * time.Second)
		n := f.nodes[2]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := n.keeper.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		if err := n.agent.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		if d := f.division("ward-01"); d.UnitsOf("i2") != 0 || d.Sum() != share.TotalUnits {
			t.Errorf("ward-01 is divided as %v", d)
		}
		time.Sleep(peerDelay)
		newHolder := f.division("ward-01").Holdings[0].Instance
		for _, o := range f.nodes {
			if name, _ := o.keeper.Identity(); name == newHolder {
				for i := range 3 {
					if d := o.limiter.Allow(time.Now(), "ward-01"); !d.Admitted() {
						t.Errorf("%s has no token for request %d, want the tokens transferred with the share", newHolder, i)
					}
				}
			}
		}
	})
}

// TestTransferWithLostResponseIsResolved checks that a transfer that was
// written, but whose response was lost, leaves the owner with exactly the units
// in the row.
func TestTransferWithLostResponseIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		time.Sleep(convergenceTime)
		f.offer(f.nodes[0], "large", 30, time.Minute)
		for range 30 {
			f.store.SetFaults(standin.Faults{LoseResponses: 5})
			time.Sleep(time.Second)
		}
		f.store.SetFaults(standin.Faults{})
		time.Sleep(20 * time.Second)
		name, _ := f.nodes[0].keeper.Identity()
		d := f.division("large")
		if got := f.nodes[0].limiter.Transferable(time.Now(), "large"); got != d.UnitsOf(name) || d.Sum() != share.TotalUnits {
			t.Errorf("%s may use %d units of the division %v", name, got, d)
		}
	})
}

// TestTransferThatNeverArrivedIsResolved checks that units reserved for a write
// that never reached the store become usable again.
func TestTransferThatNeverArrivedIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		time.Sleep(convergenceTime)
		for _, n := range f.nodes {
			n.lostCommits.Store(3)
		}
		f.offer(f.nodes[0], "large", 30, 20*time.Second)
		time.Sleep(20 * time.Second)
		f.offer(f.nodes[1], "large", 30, 40*time.Second)
		time.Sleep(60 * time.Second)
		for _, n := range f.nodes {
			name, _ := n.keeper.Identity()
			d := f.division("large")
			if got := n.limiter.Transferable(time.Now(), "large"); got != d.UnitsOf(name) || d.Sum() != share.TotalUnits || n.lostCommits.Load() > 2 {
				t.Errorf("%s may use %d of %v; %d commits left to lose", name, got, d, n.lostCommits.Load())
			}
		}
	})
}

// TestUnlistedMemberKeepsItsShare checks that an instance does not reassign the
// units of a holder that is missing in its list of members while the holder's
// row exists.
func TestUnlistedMemberKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, func(f *fleet) { f.hiddenMember = "i1" })
		time.Sleep(convergenceTime)
		f.offer(f.nodes[1], "ward-01", 3, 30*time.Second)
		time.Sleep(time.Second)
		key := Key(environment, "ward-01")
		row, _ := f.store.Get(context.Background(), key)
		value, _ := share.Division{Holdings: []share.Holding{{Instance: "i1", Units: share.TotalUnits}}}.Encode()
		if _, err := f.store.Commit(context.Background(), []storage.Write{{Key: key, Expected: row.Version, Value: value}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if d := f.division("ward-01"); d.UnitsOf("i1") != share.TotalUnits {
			t.Errorf("ward-01 is divided as %v, want all at i1 still", d)
		}
	})
}

func TestTableCallsInBurstAndAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 8
		f := newFleet(t, instances)
		time.Sleep(convergenceTime)
		// The write and the read of a heartbeat, the read of a pass, the read of
		// the instance list and, while units move, one write per second.
		const maxWrites, maxReads = 1.6 + 1, 1.6 + 1.2 + 0.3
		measure := func(desc string, d time.Duration) {
			before := f.store.Counts()
			time.Sleep(d)
			after := f.store.Counts()
			writes := float64(after.Writes-before.Writes) / d.Seconds() / instances
			reads := float64(after.Reads-before.Reads) / d.Seconds() / instances
			t.Logf("%s: each instance makes %.2f writes/s and %.2f reads/s", desc, writes, reads)
			if writes > maxWrites || reads > maxReads {
				t.Errorf("%s: %.2f writes/s and %.2f reads/s, want at most %.1f and %.1f", desc, writes, reads, maxWrites, maxReads)
			}
		}
		measure("without requests", 30*time.Second)
		for _, n := range f.nodes {
			f.offer(n, "large", 60, 2*time.Minute)
			f.offer(n, "ward-01", 10, 2*time.Minute)
		}
		measure("in a burst", 30*time.Second)
		f.store.SetFaults(standin.Faults{Down: true})
		measure("while the table is down", 30*time.Second)
		f.store.SetFaults(standin.Faults{})
		measure("after the outage", 5*time.Second)
	})
}
