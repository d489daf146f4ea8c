package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// inTwoRegions returns the placer of an instance in r1, with the failure domain d1, of a
// fleet in r1 and r2, with d2.
func inTwoRegions(inR1, inR2 int, joins bool) *Placer {
	p := New(DefaultRules(), Locality{
		Self: "r1-i0", Region: "r1", FailureDomain: "d1", Regions: map[string]string{"d1": "r1", "d2": "r2"}, Joins: joins,
	})
	var fleet []Member
	for region, n := range map[string]int{"r1": inR1, "r2": inR2} {
		for i := range n {
			fleet = append(fleet, Member{Name: fmt.Sprint(region, "-i", i), Region: region})
		}
	}
	p.SetFleet(fleet)
	return p
}

// entriesInTwoRegions returns n entries, of which the first inR1 are in r1 and the others
// in r2.
func entriesInTwoRegions(n, inR1 int) []catalog.Endpoint {
	entries := testEntries(n)
	for i := range entries {
		entries[i].FailureDomain = "d1"
		if i >= inR1 {
			entries[i].FailureDomain = "d2"
		}
	}
	return entries
}

// An instance of a fleet with many requests keeps to the fractions of the regions: it
// does not send all requests away once its region has no free slot, and refuses what
// neither its region can serve nor another one is owed.
func TestRequestsKeepToTheRegionsFractions(t *testing.T) {
	now := time.Unix(1000, 0)
	p := inTwoRegions(20, 1, false)
	endpoints := entriesInTwoRegions(100, 50)
	p.SetEndpoints(now, endpoints)
	query := restrictionQuery
	query.Goal, query.GoalLeft, query.DeadlineLeft = 600*time.Millisecond, 600*time.Millisecond, 4*time.Second
	sent, refused := map[string]int{}, 0
	for range 600 { // 300 slots
		c, err := p.Choose(now, query)
		if err != nil {
			refused++
			continue
		}
		sent[c.Region]++
	}
	share := float64(sent["r2"]) / float64(sent["r1"]+sent["r2"])
	if share < 0.4 || share > 0.55 || refused == 0 {
		t.Errorf("%.2f of the requests left, %v sent, %d refused", share, sent, refused)
	}
	// Without endpoints at home that can be reached, requests go where they can.
	for _, e := range endpoints[:50] {
		p.CloseFor(now, e.Incarnation(), time.Minute)
	}
	now = now.Add(time.Second)
	if c, err := p.Choose(now, query); err == nil && c.Region != "r2" {
		t.Errorf("a request at a closed endpoint in %s", c.Region)
	}
}

// Endpoints that replace those of another region get requests at once.
func TestNewRegionGetsRequestsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := inTwoRegions(20, 0, false)
	entries := entriesInTwoRegions(200, 100)
	for i, endpoints := range [][]catalog.Endpoint{entries[:100], entries[100:]} {
		p.SetEndpoints(now, endpoints)
		if c, err := p.Choose(now, restrictionQuery); err != nil || c.Endpoint.FailureDomain != endpoints[0].FailureDomain {
			t.Errorf("change %d: %+v, %v", i, c, err)
		}
	}
}

// The first requests of an instance that joins others run where they are served best,
// and later ones keep to the fractions that these had.
func TestJoiningInstanceUsesFreeSlotsAtHome(t *testing.T) {
	now := time.Unix(1000, 0)
	p := inTwoRegions(10, 10, true)
	entries := entriesInTwoRegions(100, 20)
	p.SetEndpoints(now, entries)
	for step, requests := range []int{20, 20} {
		atHome := 0
		for range requests {
			now = now.Add(100 * time.Millisecond)
			c, err := p.Choose(now, restrictionQuery)
			if err != nil {
				t.Fatal(err)
			}
			if c.Region == "r1" {
				atHome++
			}
			p.Done(now.Add(100*time.Millisecond), c, OutcomeAnswered, 100*time.Millisecond, 1)
		}
		if share := float64(atHome) / float64(requests); share < 0.8 {
			t.Errorf("step %d: %.2f of the requests at home, where slots are free", step, share)
		}
		now = now.Add(settleTime)
	}
}

// Requests leave a region at once whose endpoints refuse requests although they have
// free slots, and stay if the endpoints are full.
func TestFaultyEndpointsAreLeftAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		load   int
		urgent bool
	}{"free slots": {1, true}, "full": {9, false}, "load not known": {-1, false}} {
		now := time.Unix(1000, 0)
		p := inTwoRegions(1, 0, false)
		entries := entriesInTwoRegions(20, 10)
		p.SetEndpoints(now, entries)
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			choice, err := p.Choose(now, restrictionQuery)
			if err != nil {
				continue
			}
			o := OutcomeAnswered
			if choice.Region == "r1" {
				o = OutcomeShed
			}
			p.Done(now, choice, o, time.Millisecond, c.load)
		}
		if urgent := p.groups["s"].demands[""].split.Urgent(now); urgent != c.urgent {
			t.Errorf("%s: urgent %v, want %v", name, urgent, c.urgent)
		}
	}
}
