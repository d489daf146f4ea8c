package placing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const testGoal = 500 * time.Millisecond

// fixture is one placer of a fleet in two regions.
type fixture struct {
	*Placer
	now time.Time
}

var testRegions = map[string]string{"e1": "east", "e2": "east", "w1": "west"}

func newFixture(self string, endpoints ...catalog.Endpoint) *fixture {
	f := &fixture{now: epoch, Placer: New(DefaultRules(), Locality{Self: self, Region: "east", FailureDomain: "e1", Regions: testRegions})}
	f.SetServices(map[string]catalog.Service{"s": {Name: "s", ColdFor: 3 * time.Second, ColdRate: 2.5}})
	f.SetEndpoints(f.now, endpoints)
	return f
}

func endpointAt(id, domain string) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Service: "s", Address: id, FailureDomain: domain, Version: "v1", Slots: 3}
}

func (f *fixture) choose(change func(q *Query)) (*Choice, error) {
	q := Query{Service: "s", Route: "r", Object: "7", Goal: testGoal, GoalLeft: testGoal, DeadlineLeft: 5 * time.Second}
	if change != nil {
		change(&q)
	}
	return f.Choose(f.now, q)
}

// target returns the endpoint that would be chosen, or the reason of the
// refusal.
func (f *fixture) target(change func(q *Query)) string {
	c, err := f.choose(change)
	var r *Refusal
	if errors.As(err, &r) {
		return string(r.Reason)
	}
	defer f.Done(f.now, c, OutcomeUnknown, 0, -1)
	return c.Endpoint.ID
}

func TestWhereARequestMayGo(t *testing.T) {
	for _, c := range []struct {
		name   string
		setup  func(f *fixture)
		change func(q *Query)
		want   string
	}{
		{"its own region first", nil, nil, "a"},
		{"home in another region", nil, func(q *Query) { q.HomeRegions = []string{"west"} }, "b"},
		{"no endpoints in the home regions", nil, func(q *Query) { q.HomeRegions = []string{"north"} }, "no-endpoint"},
		{"another version", nil, func(q *Query) { q.Versions = func(v string) bool { return v == "v2" } }, "no-endpoint"},
		{"endpoint was tried before", nil, func(q *Query) { q.Tried = []catalog.Incarnation{{ID: "a"}} }, "b"},
		{"failure domain is drained", func(f *fixture) { f.SetDrainedDomains(f.now, map[string]bool{"e1": true}) }, nil, "b"},
		{"an unknown service", nil, func(q *Query) { q.Service = "x" }, "no-endpoint"},
		{"too little time for any endpoint", nil, func(q *Query) { q.DeadlineLeft = time.Millisecond }, "too-late"},
		{"endpoint is draining", func(f *fixture) {
			draining := endpointAt("a", "e1")
			draining.Draining = true
			f.SetEndpoints(f.now, []catalog.Endpoint{draining, endpointAt("b", "w1")})
		}, nil, "b"},
		{"endpoint has restarted", func(f *fixture) {
			restarted := endpointAt("a", "e1")
			restarted.StartMS = 5
			f.SetEndpoints(f.now, []catalog.Endpoint{restarted})
		}, nil, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture("i", endpointAt("a", "e1"), endpointAt("b", "w1"))
			if c.setup != nil {
				c.setup(f)
			}
			if got := f.target(c.change); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// An endpoint that cannot be reached gets no requests during its backoff; then
// one request probes whether it is back.
func TestUnreachableEndpointIsProbedByOneRequest(t *testing.T) {
	f := newFixture("i", endpointAt("a", "e1"))
	c, err := f.choose(nil)
	if err != nil {
		t.Fatal(err)
	}
	f.Done(f.now, c, OutcomeUnreachable, 0, -1)
	if got := f.target(nil); got != "no-room" {
		t.Errorf("during the backoff: %s", got)
	}
	f.now = f.now.Add(DefaultRules().InitialBackoff)
	trial, err := f.choose(nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := f.target(nil); got != "no-room" {
		t.Errorf("during the probe: %s", got)
	}
	f.Done(f.now, trial, OutcomeAnswered, 50*time.Millisecond, -1)
	if got := f.target(nil); got != "a" {
		t.Errorf("after the probe: %s", got)
	}
}

// All instances together send a cold endpoint no more requests in any second
// than the users allow. An instance may know that the endpoint is cold from its
// entry, from a failure domain that is no longer drained, or from a restart of
// its own.
func TestColdEndpointGetsLittle(t *testing.T) {
	const (
		coldPerS   = 2.5
		coldExcess = 1.5
		coldSlack  = 5
	)
	for _, n := range []int{1, 3, 8, 64} {
		var members []Member
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint("i", i), Region: "east"})
		}
		cold := endpointAt("a", "e1")
		cold.ColdUntil = epoch.Add(20 * time.Second)
		var fleet []*fixture
		for _, m := range members {
			f := newFixture(m.Name, cold)
			f.SetFleet(members)
			fleet = append(fleet, f)
		}
		var sent []time.Time
		for at := time.Duration(0); at < 10*time.Second; at += 20 * time.Millisecond {
			for _, f := range fleet {
				f.now = epoch.Add(at)
				if c, err := f.choose(nil); err == nil {
					sent = append(sent, f.now)
					f.Done(f.now, c, OutcomeAnswered, 300*time.Millisecond, 0)
				}
			}
		}
		first, most := 0, 0
		for last, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
		if bound := coldPerS*coldExcess + coldSlack; float64(most) > bound {
			t.Errorf("%d instances sent %d requests in a second, %.1f allowed", n, most, bound)
		}
		if len(sent) < 10 {
			t.Errorf("%d instances sent only %d requests in ten seconds", n, len(sent))
		}
	}
}

func TestUndrainedDomainIsColdAtFirst(t *testing.T) {
	f := newFixture("i", endpointAt("a", "e1"))
	f.SetDrainedDomains(f.now, map[string]bool{"e1": true})
	f.SetDrainedDomains(f.now, nil)
	sent := 0
	for range 20 {
		if _, err := f.choose(nil); err == nil {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d requests at once to an endpoint that may be cold", sent)
	}
}

// A newly joined endpoint gets a first request although the objects are warm at
// other endpoints.
func TestJoinedEndpointGetsItsFirstRequest(t *testing.T) {
	f := newFixture("i", endpointAt("a", "e1"))
	for object := range 40 {
		f.target(func(q *Query) { q.Object = fmt.Sprint(object) })
	}
	f.SetEndpoints(f.now, []catalog.Endpoint{endpointAt("a", "e1"), endpointAt("b", "e2")})
	got := map[string]int{}
	for object := range 40 {
		got[f.target(func(q *Query) { q.Object = fmt.Sprint(object) })]++
	}
	if got["b"] == 0 {
		t.Errorf("requests by endpoint: %v", got)
	}
}

// Instances of a region that report the objects they sent choose the same
// endpoint for an object.
func TestInstancesAgreeOnAnObject(t *testing.T) {
	all := []catalog.Endpoint{endpointAt("a", "e1"), endpointAt("b", "e2"), endpointAt("c", "e2")}
	one, two := newFixture("i1", all...), newFixture("i2", all...)
	for object := range 30 {
		withObject := func(q *Query) { q.Object = fmt.Sprint(object) }
		// The first instance sends the object away from its home.
		home := one.target(withObject)
		away := one.target(func(q *Query) {
			withObject(q)
			q.Tried = []catalog.Incarnation{{ID: home}}
		})
		two.AddPeerWarmed(two.now, one.WarmedObjects(one.now))
		if got := two.target(withObject); got != home && got != away {
			t.Errorf("object %d: %s, known at %s and %s", object, got, home, away)
		}
	}
}

// learned returns a fixture of one endpoint that takes 0.1 s for a known object
// and 0.8 s for others.
func learned(t *testing.T) *fixture {
	t.Helper()
	f := newFixture("i", endpointAt("a", "e1"))
	for range 100 {
		for _, work := range []struct {
			object string
			took   time.Duration
		}{{"known", 100 * time.Millisecond}, {fmt.Sprint(f.now.UnixNano()), 800 * time.Millisecond}} {
			c, err := f.choose(func(q *Query) { q.Object, q.Goal, q.GoalLeft = work.object, time.Second, time.Second })
			if err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(work.took)
			f.Done(f.now, c, OutcomeAnswered, work.took, 0)
		}
	}
	return f
}

// With all slots in use and many requests refused, a request that would miss
// the goal because its object is unknown is refused in favor of those whose
// objects are known. A free slot is used for either.
func TestScarceSlotsAreForKnownObjects(t *testing.T) {
	f := learned(t)
	targetFor := func(object string) string {
		return f.target(func(q *Query) { q.Object = object })
	}
	if known, other := targetFor("known"), targetFor("first"); known != "a" || other != "a" {
		t.Errorf("free slots: %s for a known object, %s for another", known, other)
	}
	for range 3 {
		if _, err := f.choose(func(q *Query) { q.Object = "known" }); err != nil {
			t.Fatal(err)
		}
	}
	if known, other := targetFor("known"), targetFor("second"); known != "a" || other != "a" {
		t.Errorf("before any refusal: %s for a known object, %s for one whose home this is", known, other)
	}
	for range 20 {
		f.target(func(q *Query) { q.DeadlineLeft = time.Millisecond })
	}
	if known, other := targetFor("known"), targetFor("third"); known != "a" || other != "too-late" {
		t.Errorf("after many refusals: %s for a known object, %s for one whose home this is", known, other)
	}
	if got := f.target(func(q *Query) { q.Object = "" }); got != "a" {
		t.Errorf("all slots in use: %s for a request without an object", got)
	}
}

// Requests that may go to any region leave the slots of a region to requests
// that may only go there, once there are many of these.
func TestSlotsAreLeftToRequestsWithAHome(t *testing.T) {
	targetWith := func(homed int) string {
		f := newFixture("i", endpointAt("a", "e1"), endpointAt("b", "w1"))
		f.SetRoundTrip("west", 20*time.Millisecond)
		f.target(func(q *Query) { q.HomeRegions = []string{"west"} }) // both endpoints have been used
		for range 200 {
			for i := range 10 {
				f.target(func(q *Query) {
					if i < homed {
						q.HomeRegions = []string{"east"}
					}
				})
			}
		}
		for range 2 {
			if _, err := f.choose(func(q *Query) { q.HomeRegions = []string{"east"} }); err != nil {
				t.Fatal(err)
			}
		}
		f.target(func(q *Query) { q.HomeRegions = []string{"east"} })
		return f.target(nil)
	}
	if got := targetWith(0); got != "a" {
		t.Errorf("few requests have a home: %s", got)
	}
	if got := targetWith(5); got != "b" {
		t.Errorf("half of the requests have a home: %s", got)
	}
}

// Requests that need no work say nothing about the speed of their endpoint. It
// must not draw the requests of other routes away from the homes of their
// objects.
func TestRequestsWithoutWorkDoNotMakeAnEndpointFast(t *testing.T) {
	now, entries := time.Unix(1000, 0), testEntries(6)
	p := testPlacer(now, entries)
	idle := Query{Service: "s", Route: "idle", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: 4 * time.Second}
	var first string
	for range 5 {
		c, err := p.Choose(now, idle)
		if err != nil {
			t.Fatal(err)
		}
		first = c.Endpoint.ID
		p.Done(now, c, OutcomeAnswered, time.Millisecond, -1)
	}
	atFirst := 0
	const objects = 60
	for i := range objects {
		q := restrictionQuery
		q.Object = fmt.Sprint("object ", i)
		c, err := p.Choose(now, q)
		if err != nil {
			t.Fatal(err)
		}
		if c.Endpoint.ID == first {
			atFirst++
		}
		p.Done(now, c, OutcomeUnknown, 0, -1)
	}
	if atFirst > 2*objects/len(entries) {
		t.Errorf("%d of %d objects go to the endpoint that answered requests without work, %d have their home there on average", atFirst, objects, objects/len(entries))
	}
}

// The instance uses each endpoint at once and knows which objects it has.
func TestEndpointsAfterACutOfThisInstance(t *testing.T) {
	f := newFixture("i", endpointAt("a", "e1"), endpointAt("b", "e2"))
	known := make(map[string]bool)
	for range 6 {
		c, err := f.choose(nil)
		if err != nil {
			break // all rest after failures
		}
		known[c.Endpoint.ID] = true
		f.Done(f.now, c, OutcomeUnreachable, 0, -1)
	}
	if got := f.target(nil); got != "no-room" || len(known) != 2 {
		t.Fatalf("after failures at %d endpoints a request goes to %s", len(known), got)
	}
	f.ForgetFailures()
	for range 4 { // none of them ends
		c, err := f.choose(nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.Warmth != "warm" {
			t.Errorf("the object counts as %s at %s", c.Warmth, c.Endpoint.ID)
		}
	}
}

// A request of a route whose work is not known yet, or known to be short, is not refused
// for the work that was assumed, with or without a queue.
func TestRequestsOfANewRouteAreServed(t *testing.T) {
	for name, object := range map[string]string{"no object": "", "object": "7"} {
		for _, running := range []int{0, 3} { // at an endpoint of 3 slots
			f := newFixture("i", endpointAt("a", "e1"))
			for range running {
				if _, err := f.choose(nil); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 3 {
				c, err := f.choose(func(q *Query) {
					q.Route, q.Object, q.Goal, q.GoalLeft, q.DeadlineLeft = "added", object, 2*time.Second, 2*time.Second, 900*time.Millisecond
				})
				if err != nil {
					t.Fatalf("%s, %d running, request %d: %v", name, running, i, err)
				}
				f.Done(f.now, c, OutcomeAnswered, 5*time.Millisecond, -1)
			}
		}
	}
}
