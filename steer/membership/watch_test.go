package membership

import (
	"fmt"
	"testing"
	"time"
)

func rowsOf(names ...string) []Row {
	rows := make([]Row, 0, len(names))
	for _, name := range names {
		rows = append(rows, Row{Version: 1, Record: Record{Name: name, Process: name, State: StateLive, Witnesses: []string{"w1", "w2", "w3"}}})
	}
	return rows
}

func TestWatchSilence(t *testing.T) {
	s := Settings{Heartbeat: time.Second, Lease: 3 * time.Second, Guard: 300 * time.Millisecond}
	start := time.Unix(1000, 0)
	tests := []struct {
		desc   string
		reads  []time.Duration
		silent bool
	}{
		{"one read", []time.Duration{0}, false},
		{"reads over less than the lease", []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}, false},
		{"reads over the lease and guard", []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}, true},
		{"an outage of the table between two reads", []time.Duration{0, time.Hour}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := NewWatch(s)
			for _, d := range tt.reads {
				w.Observe(start.Add(d), rowsOf("a"))
			}
			if got := w.Members()[0].Silent; got != tt.silent {
				t.Errorf("silent = %v, want %v", got, tt.silent)
			}
		})
	}
}

func TestWatchListingOnlyMarksLeaving(t *testing.T) {
	w := NewWatch(DefaultSettings())
	w.Observe(time.Unix(0, 0), rowsOf("a", "b"))
	w.ObserveListing([]string{"b", "unknown"})
	members := w.Members()
	if len(members) != 2 || !members[0].Usable() || members[1].Usable() {
		t.Errorf("members = %+v", members)
	}
}

func TestEvictionNeedsNoPromiseAfterTheLongLease(t *testing.T) {
	s := DefaultSettings()
	w := NewWatch(s)
	start := time.Unix(0, 0)
	needed := func() int {
		candidates := w.EvictionCandidates("self", w.lastRead)
		if len(candidates) != 1 {
			t.Fatalf("candidates = %+v, want one", candidates)
		}
		return candidates[0].PromisesNeeded
	}
	for d := time.Duration(0); d <= 4*time.Second; d += time.Second {
		w.Observe(start.Add(d), rowsOf("a"))
	}
	if got := needed(); got != 2 {
		t.Errorf("needed %d promises of 3, want 2", got)
	}
	for d := time.Duration(0); d <= 4*time.Second; d += time.Second {
		w.Observe(start.Add(s.LongLease+s.Guard+d), rowsOf("a"))
	}
	if got := needed(); got != 0 {
		t.Errorf("needed %d promises after the long lease, want 0", got)
	}
}

func TestMajoritiesOverlap(t *testing.T) {
	for n := range 8 {
		if Majority(n)+PromisesNeeded(n) <= n && n > 0 {
			t.Errorf("n=%d: a majority is left after %d promises", n, PromisesNeeded(n))
		}
	}
}

func TestNoRegionHoldsAMajorityOfWitnesses(t *testing.T) {
	var members []Member
	for i := range 10 {
		region := []string{"kano", "kaduna", "sokoto"}[i%3]
		members = append(members, Member{Record: Record{Name: fmt.Sprintf("i%d", i), Region: region, State: StateLive}})
	}
	for _, m := range members {
		perRegion := make(map[string]int)
		chosen := ChooseWitnesses(m.Name, members, 5)
		for _, name := range chosen {
			for _, o := range members {
				if o.Name == name {
					perRegion[o.Region]++
				}
			}
		}
		for region, n := range perRegion {
			if len(chosen) != 5 || n >= Majority(5) {
				t.Errorf("%s: %d of %d witnesses in %s", m.Name, n, len(chosen), region)
			}
		}
	}
}
