package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Guards against more requests at a cold endpoint than its bound, whatever instances
// hear of each other and however its answers push the pace: instances restart, lose
// all reports or the list of the others, and answers are lost.
func TestColdBoundHoldsUnderPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 150).Draw(t, "instances")
		perSecond := rapid.Float64Range(0.5, 6).Draw(t, "coldPerS")
		regions := map[string]string{"d0": "r0", "d1": "r1", "d2": "r2"}
		rules := DefaultRules()
		rules.Pace = true
		now := epoch
		var fleet []Member
		for i := range n {
			fleet = append(fleet, Member{Name: fmt.Sprint("i", i), Region: fmt.Sprint("r", i%3)})
		}
		entry := catalog.Endpoint{ID: "e", Service: "s", FailureDomain: "d0", Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
		begin := func(i int) *Placer {
			p := New(rules, Locality{Self: fleet[i].Name, Region: fleet[i].Region, FailureDomain: fmt.Sprint("d", i%3), Regions: regions, Joins: true})
			p.SetServices(map[string]catalog.Service{"s": {Name: "s", ColdFor: time.Hour, ColdRate: perSecond}})
			if n > 1 && rapid.IntRange(0, 3).Draw(t, "hears the others") > 0 {
				p.SetFleet(fleet)
			}
			p.SetEndpoints(now.Add(-startGrace), []catalog.Endpoint{{ID: "other", Service: "s", FailureDomain: "d1", Slots: 1, Draining: true}})
			e := entry
			e.ColdUntil = epoch.Add(time.Hour)
			p.SetEndpoints(now, []catalog.Endpoint{e})
			return p
		}
		placers := make([]*Placer, n)
		restarted := make([]time.Time, n)
		for i := range placers {
			placers[i] = begin(i)
		}
		var running []func()
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch i := rapid.IntRange(0, n-1).Draw(t, "instance"); rapid.SampledFrom([]string{"send", "send", "end", "restart", "deaf", "hears"}).Draw(t, "event") {
			case "send":
				for _, p := range placers {
					c, err := p.Choose(now, Query{Service: "s", Route: "r", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: time.Hour})
					if err == nil {
						sent = append(sent, now)
						running = append(running, func() {
							p.DoneWith(now, c, rapid.SampledFrom([]Outcome{OutcomeAnswered, OutcomeAnswered, OutcomeShed, OutcomeFailed, OutcomeUnreachable, OutcomeUnknown}).Draw(t, "outcome"),
								200*time.Millisecond, Report{Requests: rapid.IntRange(-1, 9).Draw(t, "load"), WorkTime: -1})
						})
					}
				}
			case "end":
				for _, end := range running {
					end()
				}
				running = nil
			case "restart":
				// A process takes longer than a second to start.
				if now.Sub(restarted[i]) > time.Second {
					restarted[i], placers[i] = now, begin(i)
				}
			case "deaf":
				placers[i].SetFleet(fleet[i : i+1])
				for _, m := range fleet {
					placers[i].SetPeerLoads(m.Name, nil)
				}
			case "hears":
				placers[i].SetFleet(fleet)
				placers[i].SetPeerLoads("others", []Load{{entry.Incarnation(), rapid.IntRange(0, 9).Draw(t, "running")}})
			}
		}
		for i, from := range sent {
			in, _ := slices.BinarySearchFunc(sent, from.Add(time.Second), time.Time.Compare)
			if float64(in-i) > 1.5*perSecond+8 {
				t.Fatalf("%d requests of %d instances in a second at an endpoint that stands %.1f", in-i, n, perSecond)
			}
		}
	})
}

// pacedFixture is an instance of a fleet of 20 with the list of two endpoints, the
// second of which joined later.
func pacedFixture(t *testing.T, joinedAfter time.Duration) *fixture {
	t.Helper()
	f := newFixture("i", endpointAt("a", "e1"))
	f.rules.Pace = true
	fleet := []Member{{"i", "east"}}
	for i := range 19 {
		fleet = append(fleet, Member{fmt.Sprint("m", i), "east"})
	}
	f.SetFleet(fleet)
	f.now = f.now.Add(joinedAfter)
	f.SetEndpoints(f.now, []catalog.Endpoint{endpointAt("a", "e1"), endpointAt("b", "e1")})
	return f
}

// Guards against a pace that slows the start of a whole fleet, in which all endpoints
// look new, or the return of most endpoints of a service.
func TestWhichEndpointsAreUnderPace(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(t *testing.T) *fixture
		want  int
	}{
		{"there at the start", func(t *testing.T) *fixture { return newFixture("i", endpointAt("a", "e1")) }, 0},
		{"in a list that grows at the start", func(t *testing.T) *fixture { return pacedFixture(t, startGrace-1) }, 0},
		{"joined during traffic", func(t *testing.T) *fixture { return pacedFixture(t, startGrace) }, 1},
		{"more than half joined", func(t *testing.T) *fixture {
			f := pacedFixture(t, startGrace)
			f.SetEndpoints(f.now, []catalog.Endpoint{endpointAt("a", "e1"), endpointAt("b", "e1"), endpointAt("c", "e1")})
			return f
		}, 1},
		{"unreachable", func(t *testing.T) *fixture {
			f := pacedFixture(t, 0)
			c, err := f.choose(nil)
			if err != nil {
				t.Fatal(err)
			}
			f.Done(f.now, c, OutcomeUnreachable, 0, -1)
			return f
		}, 1},
		{"unreachable by this instance's own fault", func(t *testing.T) *fixture {
			f := pacedFixture(t, startGrace)
			f.ForgetFailures()
			return f
		}, 0},
		{"pace switched off", func(t *testing.T) *fixture {
			f := newFixture("i", endpointAt("a", "e1"))
			f.now = f.now.Add(startGrace)
			f.SetEndpoints(f.now, []catalog.Endpoint{endpointAt("a", "e1"), endpointAt("b", "e1")})
			return f
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.setup(t)
			if got := f.Paced(f.now)["s"]; got != c.want {
				t.Errorf("%d endpoints under pace, want %d", got, c.want)
			}
		})
	}
}

// Guards against an instance that hears nobody and takes itself for the only sender.
func TestFleetThatIsSilentStaysInTheOrder(t *testing.T) {
	f := pacedFixture(t, startGrace)
	b := f.groups["s"].endpoints[catalog.Incarnation{ID: "b"}]
	before := f.paceKnown(b).place
	f.SetFleet([]Member{{"i", "east"}})
	if got := f.paceKnown(b).place; got != before || got.Fleet != 20 {
		t.Errorf("place %+v, before %+v", got, before)
	}
	f.SetEndpoints(f.now.Add(memberMemory+1), []catalog.Endpoint{endpointAt("b", "e1")})
	if got := f.paceKnown(b).place; got.Fleet != 1 {
		t.Errorf("fleet of %d long after the others stopped", got.Fleet)
	}
}

// BenchmarkChooseUnderPace measures a choice among 150 endpoints, half of which are
// under pace, in a fleet of 139.
func BenchmarkChooseUnderPace(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprint(paced), func(b *testing.B) {
			rules := DefaultRules()
			rules.Pace = paced
			p := New(rules, Locality{Self: "i0", Region: "east", FailureDomain: "e1", Regions: testRegions})
			p.SetServices(map[string]catalog.Service{"s": {Name: "s"}})
			var fleet []Member
			for i := range 139 {
				fleet = append(fleet, Member{fmt.Sprint("i", i), "east"})
			}
			p.SetFleet(fleet)
			var all []catalog.Endpoint
			for i := range 150 {
				all = append(all, endpointAt(fmt.Sprint("e", i), "e1"))
			}
			p.SetEndpoints(epoch, all[:75])
			now := epoch.Add(startGrace)
			p.SetEndpoints(now, all)
			q := Query{Service: "s", Route: "r", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: time.Hour}
			b.ReportAllocs()
			for b.Loop() {
				c, err := p.Choose(now, q)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(now, c, OutcomeUnknown, 0, -1)
			}
		})
	}
}
