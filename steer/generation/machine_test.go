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
func checkStaleness(t *rapid.T, w *world) {
	for _, n := range w.instances {
		head := n.tracker.Head()
		if head.Generation < n.highest {
			t.Fatalf("%v fell back from generation %d to %d", n.location, n.highest, head.Generation)
		}
		if !w.isServing(n) {
			continue
		}
		for _, p := range w.accepted {
			late := w.now.Sub(p.at) > DefaultStaleAfter
			hidden := w.storeDown && w.hiddenByOutage(p)
			if late && !hidden && head.Generation < p.head.Generation {
				t.Fatalf("%v serves generation %d; %d was accepted %v ago", n.location, head.Generation, p.head.Generation, w.now.Sub(p.at))
			}
		}
	}
}

func TestServingInstancesAreNeverFarBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(fleet...)
		w.promote()
		drawInstance := func() *node { return rapid.SampledFrom(w.instances).Draw(t, "instance") }
		check := func() { checkStaleness(t, w) }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*step, check)
			},
			"pass a moment": func(t *rapid.T) { w.run(step, check) },
			"promote":       func(*rapid.T) { w.promote() },
			"store":         func(*rapid.T) { w.setStoreDown(!w.storeDown) },
			"region":        func(*rapid.T) { w.regionCut = !w.regionCut },
			"domain":        func(*rapid.T) { w.domainCut = !w.domainCut },
			"freeze":        func(*rapid.T) { n := drawInstance(); n.frozen = !n.frozen },
			"restart":       func(*rapid.T) { w.restart(drawInstance()) },
			"delay": func(t *rapid.T) {
				w.delay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			},
			"cut one from the store": func(*rapid.T) {
				cut := drawInstance()
				for _, n := range w.instances {
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
	cut    func(w *world)
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
		{"no partition", func(*world) {}, all(true, true)},
		{"store down for all", func(w *world) { w.setStoreDown(true) }, all(true, true)},
		{"one instance cut from the store", func(w *world) { w.instances[0].storeCut = true }, all(true, true)},
		{"region cut from the store's region", func(w *world) { w.regionCut = true }, all(true, false)},
		{"failure domain in the store's region cut", func(w *world) { w.domainCut = true }, onlyDomain},
		{"store down and region cut", func(w *world) { w.setStoreDown(true); w.regionCut = true }, all(true, false)},
		{"store down and failure domain cut", func(w *world) { w.setStoreDown(true); w.domainCut = true }, onlyDomain},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := newWorld(fleet...)
			w.promote()
			w.run(5*time.Second, func() {})
			tt.cut(w)
			w.run(time.Minute, func() {})
			for _, n := range w.instances {
				if got := w.isServing(n); got != tt.serves[n.location.FailureDomain] {
					t.Errorf("%v serves = %v, want %v", n.location, got, !got)
				}
			}
			checkOldGenerationWithdrawn(t, w)
		})
	}
}

// checkOldGenerationWithdrawn ends the store outage, promotes a generation
// while the network is still partitioned and requires that no instance serves
// the old generation after StaleAfter.
func checkOldGenerationWithdrawn(t *testing.T, w *world) {
	t.Helper()
	w.setStoreDown(false)
	w.promote()
	w.run(DefaultStaleAfter, func() {})
	for _, n := range w.instances {
		if w.isServing(n) && n.tracker.Head() != w.head() {
			t.Errorf("%v serves %v %v after %v", n.location, n.tracker.Head(), DefaultStaleAfter, w.head())
		}
	}
}

func TestFreshInstanceWithStoreDown(t *testing.T) {
	tests := []struct {
		desc  string
		cut   func(w *world)
		ready bool
	}{
		{"peers of two failure domains answer", func(*world) {}, true},
		{"peers of one failure domain answer", func(w *world) { w.domainCut = true }, false},
		{"no peer knows anything", func(w *world) {
			for _, n := range w.instances {
				w.restart(n)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := newWorld(fleet...)
			w.promote()
			w.run(5*time.Second, func() {})
			w.setStoreDown(true)
			tt.cut(w)
			w.run(20*time.Second, func() {})
			fresh := w.instances[0]
			w.restart(fresh)
			w.run(10*time.Second, func() {})
			if got := fresh.tracker.Ready(w.localTime(fresh)); got != tt.ready {
				t.Errorf("ready = %v, want %v", got, tt.ready)
			}
		})
	}
}
