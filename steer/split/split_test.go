package split

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// workTime is the mean time of work in the tests.
const workTime = 300 * time.Millisecond

// unequal are regions of equal demand, of which the first one has few slots.
func unequal() []Region {
	return []Region{
		{Name: "a", Slots: 30, Endpoints: 10, Demand: 1},
		{Name: "b", Slots: 162, Endpoints: 54, Demand: 1, RoundTrip: 40 * time.Millisecond},
		{Name: "c", Slots: 132, Endpoints: 44, Demand: 1, RoundTrip: 40 * time.Millisecond},
	}
}

// sum returns the sum of all fractions.
func sum(s *Split) float64 {
	total := 0.0
	for _, r := range s.regions {
		total += r.fraction
	}
	return total
}

// moved returns the part of the requests whose region differs.
func moved(before, after map[string]float64) float64 {
	part := 0.0
	for name, f := range after {
		part += max(0, f-before[name])
	}
	return part
}

// fractions returns all fractions.
func fractions(s *Split) map[string]float64 {
	all := make(map[string]float64)
	for _, r := range s.regions {
		all[r.Name] = r.fraction
	}
	return all
}

func TestFractionsBeforeAnyRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		home    string
		regions []Region
		want    map[string]float64
	}{
		{"few slots at home", "a", unequal(), map[string]float64{"a": 0.28, "b": 0.5, "c": 0.22}},
		{"enough slots at home", "b", unequal(), map[string]float64{"b": 1}},
		{"no endpoint at home", "d", unequal(), map[string]float64{"b": 0.7, "c": 0.3}},
		{"one region", "a", unequal()[:1], map[string]float64{"a": 1}},
		{"demand unknown", "a", []Region{{Name: "a", Slots: 1, Endpoints: 1}, {Name: "b", Slots: 3, Endpoints: 1}}, map[string]float64{"a": 0.25, "b": 0.75}},
	} {
		s := New(c.home)
		s.Update(epoch, workTime, c.regions)
		for _, r := range c.regions {
			if got := s.Fraction(r.Name); math.Abs(got-c.want[r.Name]) > 0.1 {
				t.Errorf("%s: %.2f in %s, want about %.2f", c.name, got, r.Name, c.want[r.Name])
			}
		}
	}
}

// Whatever the loads do, the fractions change by no more than MaxChange per second.
func TestFractionsChangeSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, regions, now := New("a"), unequal(), epoch
		s.Update(now, workTime, regions)
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			before := fractions(s)
			step := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			for _, r := range regions {
				if rapid.Bool().Draw(t, "observed") {
					s.Observe(now, r.Name, rapid.Float64Range(0, 5).Draw(t, "load"))
				}
			}
			s.Update(now, workTime, regions)
			if part := moved(before, fractions(s)); part > MaxChange*step.Seconds()+1e-9 {
				t.Fatalf("%.3f moved in %v", part, step)
			}
			if total := sum(s); math.Abs(total-1) > 1e-9 {
				t.Fatalf("the fractions sum up to %v", total)
			}
		}
	})
}

// With a load that follows from the fractions, a region keeps as many requests as its
// endpoints run without a queue, and gets back what fits when demand falls.
func TestFractionsFollowTheDemand(t *testing.T) {
	s, regions, now := New("a"), unequal(), epoch
	settle := func(demand float64) float64 {
		for range 800 {
			now = now.Add(50 * time.Millisecond)
			s.Observe(now, "a", demand*s.Fraction("a"))
			s.Observe(now, "b", 0.2)
			s.Observe(now, "c", 0.2)
			s.Update(now, workTime, regions)
		}
		return s.Fraction("a")
	}
	if f := settle(2); f < 0.2 || f > 0.4 {
		t.Errorf("%.2f stays at twice the slots' capacity", f)
	}
	if f := settle(0.3); f < 0.95 {
		t.Errorf("%.2f stays at a third of the slots' capacity", f)
	}
}

// A region keeps the requests that wait there for less time than the round trip to
// another region takes.
func TestRequestsDoNotLeaveForAShortWait(t *testing.T) {
	far := 110 * time.Millisecond
	regions := []Region{{Name: "a", Slots: 48, Endpoints: 12, Demand: 1}, {Name: "b", Slots: 48, Endpoints: 12, Demand: 1, RoundTrip: far}}
	s, now := New("a"), epoch
	s.Update(now, workTime/2, regions)
	s.Follow(now, "b")
	for range 800 {
		now = now.Add(50 * time.Millisecond)
		s.Observe(now, "a", 0.75*s.Fraction("a"))
		s.Observe(now, "b", 0.3+0.75*s.Fraction("b"))
		s.Update(now, workTime/2, regions)
	}
	if f := s.Fraction("a"); f < 0.95 {
		t.Errorf("%.2f of the requests run at home", f)
	}
}

// Requests need not keep to the fractions while a region has lost slots.
func TestLossOfSlotsIsUrgent(t *testing.T) {
	s, now := New("b"), epoch
	s.Update(now, workTime, unequal())
	for _, c := range []struct {
		slots  int
		urgent bool
	}{{162, false}, {130, false}, {100, true}, {0, true}} {
		regions := unequal()
		regions[1].Slots = c.slots
		now = now.Add(time.Second)
		s.Update(now, workTime, regions)
		if s.Urgent(now) != c.urgent {
			t.Errorf("%d of 162 slots: urgent %v", c.slots, !c.urgent)
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		regions := unequal()
		regions[1].Slots = 0
		s.Update(now, workTime, regions)
	}
	if f := s.Fraction("b"); f > 0.5 {
		t.Errorf("%.2f of the requests for a region without slots", f)
	}
}

// everywhere allows all regions.
func everywhere(string) bool { return true }

// A fleet whose instances all want another region at the same moment does not move a
// region's requests at once, in either direction.
func TestFleetKeepsToTheFractions(t *testing.T) {
	const perInstance, maxMoved = 2.7, 0.15
	for _, instances := range []int{23, 88} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			splits, balances := make([]*Split, instances), make([]*Balance, instances)
			for i := range instances {
				splits[i], balances[i] = New("a"), NewBalance()
				balances[i].Expect(instances, perInstance)
			}
			var counts []map[string]float64
			totals := []float64{}
			for at := time.Duration(0); at < 30*time.Second; at += time.Duration(r.ExpFloat64() / (perInstance * float64(instances)) * float64(time.Second)) {
				now, i := epoch.Add(at), r.IntN(instances)
				crowded := at/(5*time.Second)%2 == 1
				load, best := 0.0, "a"
				if crowded {
					load, best = 3, "b"
				}
				splits[i].Observe(now, "a", load)
				splits[i].Update(now, workTime, unequal())
				name, _ := balances[i].Pick(now, splits[i], Request{Object: r.Uint64N(100) + 1, Best: best, May: everywhere, Can: everywhere})
				balances[i].Record(now, splits[i], name)
				for len(counts) <= int(at/Window) {
					counts, totals = append(counts, map[string]float64{}), append(totals, 0)
				}
				counts[at/Window][name]++
				totals[at/Window]++
			}
			for w := 1; w < len(counts); w++ {
				before, after := map[string]float64{}, map[string]float64{}
				for _, name := range []string{"a", "b", "c"} {
					before[name], after[name] = counts[w-1][name]/totals[w-1], counts[w][name]/totals[w]
				}
				if part := moved(before, after); part > maxMoved {
					t.Errorf("%d instances, seed %d: %.2f move at %d s", instances, seed, part, 2*w)
				}
			}
		}
	}
}

// The number of requests in a region differs from its fraction by about one.
func TestBalanceKeepsTheFractions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, b, now := New("a"), NewBalance(), epoch
		b.Expect(50, 3)
		s.Update(now, workTime, unequal())
		sent := map[string]float64{}
		n := rapid.IntRange(1, 200).Draw(t, "requests")
		for range n {
			now = now.Add(300 * time.Millisecond)
			name, ok := b.Pick(now, s, Request{
				Object: rapid.Uint64Range(0, 40).Draw(t, "object"), Best: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "best"), May: everywhere, Can: everywhere,
			})
			if !ok {
				t.Fatal("no region")
			}
			b.Record(now, s, name)
			sent[name]++
		}
		for _, r := range s.regions {
			if off := math.Abs(sent[r.Name] - r.fraction*float64(n)); off > 2 {
				t.Fatalf("%v of %d requests in %s, its fraction is %.2f", sent[r.Name], n, r.Name, r.fraction)
			}
		}
	})
}

// A region that can't serve its requests is not owed them later.
func TestBusyRegionIsNotOwedItsRequests(t *testing.T) {
	s, b, now := New("a"), NewBalance(), epoch
	b.Expect(50, 3)
	s.Update(now, workTime, unequal())
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		name, ok := b.Pick(now, s, Request{Best: "b", May: everywhere, Can: func(region string) bool { return region != "a" }})
		if ok {
			b.Record(now, s, name)
		}
	}
	if owed := b.owed["a"]; owed > s.Fraction("a") {
		t.Errorf("%.2f requests owed to a region that could take none", owed)
	}
}

func TestPick(t *testing.T) {
	only := func(names ...string) func(string) bool {
		return func(region string) bool {
			for _, n := range names {
				if n == region {
					return true
				}
			}
			return false
		}
	}
	for _, c := range []struct {
		name      string
		instances int // of 3 requests per second each
		may, can  func(string) bool
		best      string
		want      string
		ok        bool
	}{
		{"the region that is owed most", 50, everywhere, everywhere, "b", "a", true},
		{"nobody is owed a request elsewhere", 50, everywhere, only("b", "c"), "b", "a", false},
		{"it may not run in the region that is owed most", 50, only("c"), everywhere, "c", "c", true},
		{"too few requests to compare", 1, everywhere, everywhere, "c", "c", true},
	} {
		s, b := New("a"), NewBalance()
		b.Expect(c.instances, 3)
		s.Update(epoch, workTime, []Region{
			{Name: "a", Slots: 80, Endpoints: 20, Demand: 1}, {Name: "b", Slots: 15, Endpoints: 5}, {Name: "c", Slots: 5, Endpoints: 5},
		})
		if name, ok := b.Pick(epoch, s, Request{Best: c.best, May: c.may, Can: c.can}); name != c.want || ok != c.ok {
			t.Errorf("%s: %q, %v", c.name, name, ok)
		}
	}
}

// Most requests for one object go to the same region.
func TestObjectsStayInTheirRegions(t *testing.T) {
	s, b := New("a"), NewBalance()
	b.Expect(3, 30)
	s.Update(epoch, workTime, unequal())
	r := rand.New(rand.NewPCG(1, 1))
	regions := map[uint64]map[string]int{}
	for i := range 4000 {
		now := epoch.Add(time.Duration(i) * 33 * time.Millisecond)
		object := r.Uint64N(40) + 1
		name, _ := b.Pick(now, s, Request{Object: object, Best: "", May: everywhere, Can: everywhere})
		b.Record(now, s, name)
		if regions[object] == nil {
			regions[object] = map[string]int{}
		}
		regions[object][name]++
	}
	most, all := 0, 0
	for _, counts := range regions {
		largest := 0
		for _, n := range counts {
			all += n
			largest = max(largest, n)
		}
		most += largest
	}
	if share := float64(most) / float64(all); share < 0.8 {
		t.Errorf("%.2f of the requests for an object are in its region", share)
	}
}
