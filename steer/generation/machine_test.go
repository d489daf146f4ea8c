package generation

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

var fleet = []string{"kano-a", "kano-a", "kano-b", "kano-b", "kaduna-a", "kaduna-b"}

// checkStaleness fails if an instance that serves keyed requests follows a
// generation that was superseded more than StaleAfter ago.
func checkStaleness(t *rapid.T, sim *simulation) {
	for _, n := range sim.instances {
		head := n.tracker.Head()
		if head.Generation < n.highest {
			t.Fatalf("%v fell back from generation %d to %d", n.location, n.highest, head.Generation)
		}
		if !sim.isServing(n) {
			continue
		}
		for _, p := range sim.accepted {
			late := sim.now.Sub(p.at) > DefaultStaleAfter
			hidden := sim.storeDown && sim.hiddenByOutage(p)
			if late && !hidden && head.Generation < p.head.Generation {
				t.Fatalf("%v serves generation %d; %d was accepted %v ago", n.location, head.Generation, p.head.Generation, sim.now.Sub(p.at))
			}
		}
	}
}

func TestServingInstancesAreNeverFarBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(fleet...)
		sim.promote()
		drawInstance := func() *node { return rapid.SampledFrom(sim.instances).Draw(t, "instance") }
		check := func() { checkStaleness(t, sim) }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				sim.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*step, check)
			},
			"pass a moment": func(t *rapid.T) { sim.run(step, check) },
			"promote":       func(*rapid.T) { sim.promote() },
			"store":         func(*rapid.T) { sim.setStoreDown(!sim.storeDown) },
			"region":        func(*rapid.T) { sim.regionCut = !sim.regionCut },
			"domain":        func(*rapid.T) { sim.domainCut = !sim.domainCut },
			"freeze":        func(*rapid.T) { n := drawInstance(); n.frozen = !n.frozen },
			"restart":       func(*rapid.T) { sim.restart(drawInstance()) },
			"delay": func(t *rapid.T) {
				sim.delay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			},
			"cut one from the store": func(*rapid.T) {
				cut := drawInstance()
				for _, n := range sim.instances {
					n.storeCut = n == cut && !n.storeCut
				}
			},
		})
	})
}

// partitionCase is one kind of network partition or store outage. The operator
// documentation lists the same cases.
type partitionCase struct {
	desc   string
	cut    func(sim *simulation)
	serves map[string]bool // by failure domain, one minute after the cut
}

// TestPartitionsAndOutages checks which failure domains still serve during each
// kind of partition or outage, and that none serves an old generation once the
// store is back.
func TestPartitionsAndOutages(t *testing.T) {
	all := func(kano, kaduna bool) map[string]bool {
		return map[string]bool{"kano-a": kano, "kano-b": kano, "kaduna-a": kaduna, "kaduna-b": kaduna}
	}
	onlyDomain := all(true, true)
	onlyDomain["kano-a"] = false
	tests := []partitionCase{
		{"no partition", func(*simulation) {}, all(true, true)},
		{"store down for all", func(sim *simulation) { sim.setStoreDown(true) }, all(true, true)},
		{"one instance cut from the store", func(sim *simulation) { sim.instances[0].storeCut = true }, all(true, true)},
		{"region cut from the store's region", func(sim *simulation) { sim.regionCut = true }, all(true, false)},
		{"failure domain in the store's region cut", func(sim *simulation) { sim.domainCut = true }, onlyDomain},
		{"store down and region cut", func(sim *simulation) { sim.setStoreDown(true); sim.regionCut = true }, all(true, false)},
		{"store down and failure domain cut", func(sim *simulation) { sim.setStoreDown(true); sim.domainCut = true }, onlyDomain},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			sim := newSimulation(fleet...)
			sim.promote()
			sim.run(5*time.Second, func() {})
			tt.cut(sim)
			sim.run(time.Minute, func() {})
			for _, n := range sim.instances {
				if got := sim.isServing(n); got != tt.serves[n.location.FailureDomain] {
					t.Errorf("%v serves = %v, want %v", n.location, got, !got)
				}
			}
			checkOldGenerationWithdrawn(t, sim)
		})
	}
}

// checkOldGenerationWithdrawn ends the store outage, promotes a generation
// while the network is still partitioned and requires that no instance serves
// the old generation after StaleAfter.
func checkOldGenerationWithdrawn(t *testing.T, sim *simulation) {
	t.Helper()
	sim.setStoreDown(false)
	sim.promote()
	sim.run(DefaultStaleAfter, func() {})
	for _, n := range sim.instances {
		if sim.isServing(n) && n.tracker.Head() != sim.head() {
			t.Errorf("%v serves %v %v after %v", n.location, n.tracker.Head(), DefaultStaleAfter, sim.head())
		}
	}
}

func TestFreshInstanceWithStoreDown(t *testing.T) {
	tests := []struct {
		desc  string
		cut   func(sim *simulation)
		ready bool
	}{
		{"peers of two failure domains answer", func(*simulation) {}, true},
		{"peers of one failure domain answer", func(sim *simulation) { sim.domainCut = true }, false},
		{"no peer knows anything", func(sim *simulation) {
			for _, n := range sim.instances {
				sim.restart(n)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			sim := newSimulation(fleet...)
			sim.promote()
			sim.run(5*time.Second, func() {})
			sim.setStoreDown(true)
			tt.cut(sim)
			sim.run(20*time.Second, func() {})
			fresh := sim.instances[0]
			sim.restart(fresh)
			sim.run(10*time.Second, func() {})
			if got := fresh.tracker.Ready(sim.localTime(fresh)); got != tt.ready {
				t.Errorf("ready = %v, want %v", got, tt.ready)
			}
		})
	}
}
