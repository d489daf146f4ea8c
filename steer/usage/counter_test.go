package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const length = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

// passOn sends a delta as JSON.
func passOn(t *rapid.T, now time.Time, to *Counter, d Delta) {
	data, err := json.Marshal(d)
	var received Delta
	if err == nil {
		err = json.Unmarshal(data, &received)
	}
	if err != nil {
		t.Fatal(err)
	}
	to.Merge(now, received)
}

// Guards against counts that are lost or counted twice, whichever instance passes
// them on, in which order and how often, and after restarts.
func TestTotalsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Instances 0 to 2 are in domain a, the others in b; 0 and 3 are hubs.
		counters := make([]*Counter, 6)
		source := func(i int, started int64) Source {
			return Source{Instance: fmt.Sprint(i), Started: started, Domain: []string{"a", "b"}[i/3]}
		}
		for i := range counters {
			counters[i] = NewCounter(source(i, 1), length)
		}
		known := map[[3]int]uint64{}
		truth := map[int64]Counts{}
		send := func(i, j int, scope Scope) {
			d, change := counters[i].Since(known[[3]int{i, j, int(scope)}], scope)
			known[[3]int{i, j, int(scope)}] = change
			passOn(t, start.Add(4*length), counters[j], d)
		}
		index := rapid.IntRange(0, 5)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, j := index.Draw(t, "i"), index.Draw(t, "j")
			switch rapid.SampledFrom([]string{"add", "add", "send", "sums", "repeat", "restart"}).Draw(t, "step") {
			case "add":
				at := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "atMS")) * time.Millisecond)
				team := rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team")
				counters[i].Add(at, team)
				if truth[Window(at, length)] == nil {
					truth[Window(at, length)] = Counts{}
				}
				truth[Window(at, length)][team]++
			case "send":
				send(i, j, All)
			case "sums":
				send(i, j, Sums)
			case "repeat":
				d, _ := counters[i].Since(0, Domain)
				passOn(t, start.Add(4*length), counters[j], d)
			case "restart":
				// Its hub has all that the process has counted.
				d, _ := counters[i].Since(0, Own)
				passOn(t, start.Add(4*length), counters[i/3*3], d)
				if i%3 != 0 {
					counters[i] = NewCounter(source(i, int64(n+2)), length)
					maps.DeleteFunc(known, func(k [3]int, _ uint64) bool { return k[0] == i || k[1] == i })
				}
			}
		}
		for i := range counters {
			send(i, i/3*3, Own)
		}
		send(0, 3, Sums)
		send(3, 0, Sums)
		for k := Window(start, length); k <= Window(start.Add(4*length), length); k++ {
			for _, hub := range []int{0, 3} {
				if total := counters[hub].Total(k); !maps.Equal(total, truth[k]) {
					t.Fatalf("window %d at %d: %v, want %v", k, hub, total, truth[k])
				}
			}
		}
		for _, c := range counters {
			if c.Late()+c.Ignored() != 0 {
				t.Fatalf("%d late, %d ignored", c.Late(), c.Ignored())
			}
		}
	})
}

// Guards against merges whose result depends on order or repetition.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	counts := rapid.MapOfN(rapid.SampledFrom([]string{"t", "u"}), rapid.Int64Range(-1, 9), 0, 2)
	windows := rapid.MapOfN(rapid.SampledFrom([]int64{Window(start, length), Window(start, length) + 2, Window(start, length) - 12}), rapid.Custom(func(t *rapid.T) Counts {
		return counts.Draw(t, "counts")
	}), 0, 3)
	delta := rapid.Custom(func(t *rapid.T) Delta {
		name := rapid.SampledFrom([]string{"x", "y", "own"})
		s := Source{Instance: name.Draw(t, "instance"), Started: rapid.Int64Range(1, 2).Draw(t, "started"), Domain: "a"}
		return Delta{
			Sources: []SourceCounts{{Source: s, Windows: windows.Draw(t, "of the source")}},
			Domains: []DomainCounts{{Domain: name.Draw(t, "domain"), Windows: windows.Draw(t, "of the domain")}},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		deltas := rapid.SliceOfN(delta, 1, 5).Draw(t, "deltas")
		merged := func(deltas ...Delta) []Counts {
			c := NewCounter(Source{Instance: "own", Started: 1, Domain: "a"}, length)
			c.Add(start, "t")
			for _, d := range deltas {
				passOn(t, start, c, d)
			}
			var totals []Counts
			for k := Window(start, length) - 14; k < Window(start, length)+5; k++ {
				totals = append(totals, c.Total(k))
			}
			return totals
		}
		want := merged(deltas...)
		if got := merged(rapid.Permutation(deltas).Draw(t, "order")...); !reflect.DeepEqual(got, want) {
			t.Fatalf("in another order: %v, want %v", got, want)
		}
		if got := merged(append(deltas, deltas...)...); !reflect.DeepEqual(got, want) {
			t.Fatalf("repeated: %v, want %v", got, want)
		}
	})
}

// Guards against memory that a peer fills, and against counts for closed windows.
func TestBounds(t *testing.T) {
	c := NewCounter(Source{Instance: "own", Started: 1, Domain: "a"}, length)
	k := Window(start, length)
	teams := Counts{"negative": -1, "huge": maxCount + 1}
	for i := range maxTeams + 5 {
		teams[fmt.Sprint(i)] = 1
	}
	for i := range maxSources + 3 {
		c.Merge(start, Delta{Sources: []SourceCounts{{Source{fmt.Sprint(i), 1, "b"}, map[int64]Counts{k: {"t": 1}}}}})
	}
	c.Merge(start, Delta{Domains: []DomainCounts{{"c", map[int64]Counts{k - 1: teams, k + 2: {"t": 1}, k - 9: {"t": 1}}}}})
	if c.Ignored() != 3+7+2 || len(c.Total(k-1)) != maxTeams || c.Total(k)["t"] != maxSources || len(c.windows) != 2 {
		t.Fatalf("%d ignored, %d teams, %d sources, %d windows", c.Ignored(), len(c.Total(k-1)), c.Total(k)["t"], len(c.windows))
	}
	c.Close(k - 1)
	if c.Add(start.Add(-time.Second), "t") || c.Late() != 1 || !c.Add(start, "t") || len(c.windows) != 1 {
		t.Fatalf("a closed window takes counts, or an open one doesn't; %d late", c.Late())
	}
	c.Forget(start.Add(20 * length))
	if len(c.windows) != 0 {
		t.Fatalf("%d windows after they were forgotten", len(c.windows))
	}
}

// Guards against memory that one peer fills with long names or with all that single
// bounds allow, and against own counts that are refused since others take the room.
func TestMemoryOfOtherInstancesIsBounded(t *testing.T) {
	c := NewCounter(Source{Instance: "own", Started: 1, Domain: "a"}, length)
	k := Window(start, length)
	long := strings.Repeat("x", maxNameBytes+1)
	c.Merge(start, Delta{
		Sources: []SourceCounts{{Source{long, 1, "b"}, map[int64]Counts{k: {"t": 1}}}, {Source{"i", 1, long}, map[int64]Counts{k: {"t": 1}}}},
		Domains: []DomainCounts{{long, map[int64]Counts{k: {"t": 1}}}},
	})
	if c.Ignored() != 3 || c.bytes != 0 {
		t.Errorf("%d of 3 long names ignored, %d bytes kept", c.Ignored(), c.bytes)
	}
	names := make(Counts, maxTeams)
	for i := range maxTeams {
		names[fmt.Sprintf("%0*d", maxTeamBytes, i)] = 1
	}
	for i := range 40 {
		c.Merge(start, Delta{Sources: []SourceCounts{{Source{fmt.Sprint(i), 1, "b"}, map[int64]Counts{k: names, k - 1: names}}}})
	}
	if c.bytes > maxBytes || c.bytes < maxBytes/2 || c.Ignored() < 1000 {
		t.Errorf("%d bytes kept, %d counts ignored", c.bytes, c.Ignored())
	}
	if !c.Add(start, "t") {
		t.Error("an own count is refused")
	}
	c.Close(k)
	if c.bytes != 0 {
		t.Errorf("%d bytes without windows", c.bytes)
	}
}

// Guards against counts that are left out where a delta is limited.
func TestLimitedDeltasTellAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := NewCounter(Source{Instance: "x", Started: 1, Domain: "a"}, length), NewCounter(Source{Instance: "y", Started: 1, Domain: "a"}, length)
		scope := rapid.SampledFrom([]Scope{Own, Domain, DomainSum, Sums, All}).Draw(t, "scope")
		change := uint64(0)
		send := func() {
			var d Delta
			d, change = from.SinceLimited(change, scope, rapid.IntRange(1, 4).Draw(t, "limit"))
			passOn(t, start, to, d)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from.Add(start, rapid.SampledFrom([]string{"t", "u", "v", "w", "x", "y"}).Draw(t, "team"))
			if rapid.Bool().Draw(t, "send") {
				send()
			}
		}
		for range 6 {
			send()
		}
		if got, want := to.Total(Window(start, length)), from.Total(Window(start, length)); !maps.Equal(got, want) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}

// Guards against reports of windows that are too old after an outage of the store,
// and against records that are sent again although they were delivered.
func TestPlanSkipsOldWindows(t *testing.T) {
	p := NewPlan(length)
	total := func(w int64) Counts { return Counts{"t": w} }
	s, _ := p.Prepare(start.Add(5*time.Second), State{}, time.Time{}, total)
	k := Window(start, length)
	if s.Next != k || len(s.Records) != 1 || s.Records[0].Window != k-1 {
		t.Fatalf("first state %+v, want the record of window %d", s, k-1)
	}
	p.Confirmed(start, s, time.Time{})
	p.Delivered(k - 1)
	if pending := p.Pending(s, time.Time{}); len(pending) != 0 {
		t.Fatalf("pending after the delivery: %v", pending)
	}
	s, _ = p.Prepare(start.Add(20*length+5*time.Second), s, time.Time{}, total)
	if s.Next != k+20 || s.Skipped != 9 || len(s.Records) != 11 || s.Records[0].Window != k+9 {
		t.Fatalf("%+v, want 9 windows skipped and 11 recorded", s)
	}
}

// Guards against windows that are recorded or sent again with other counts when the
// row has lost what an earlier holder recorded, or has a record of a late write.
func TestPlanAfterARestore(t *testing.T) {
	k := Window(start, length)
	restored := State{Next: k, Records: []Record{{k - 2, Counts{"t": 1}}, {k - 1, Counts{"t": 2}}}}
	p := NewPlan(length)
	p.Confirmed(start, State{Next: k, Records: []Record{{k - 1, Counts{"t": 3}}}}, time.Time{})
	// Window k is due just before the restore is known, k+1 within the error of clocks.
	restoredAt := p.due(k + 1).Add(-clockError / 2)
	if pending := p.Pending(restored, restoredAt); len(pending) != 1 || pending[0].Counts["t"] != 3 {
		t.Fatalf("pending after a restore: %v, want the counts that this instance knows", pending)
	}
	s, _ := p.Prepare(restoredAt, restored, restoredAt, func(int64) Counts { return Counts{"t": 4} })
	if s.Next != k+2 || s.Skipped != 2 || len(s.Records) != 1 || s.Records[0].Counts["t"] != 3 {
		t.Fatalf("%+v, want the known record, and 2 windows skipped", s)
	}
	s, _ = p.Prepare(restoredAt.Add(2*length), restored, restoredAt, func(int64) Counts { return Counts{"t": 4} })
	if s.Next != k+3 || s.Skipped != 2 || len(s.Records) != 2 {
		t.Fatalf("%+v, want window %d recorded anew", s, k+2)
	}
}
