package slots

import (
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

var (
	testStart = time.Unix(1000, 0)
	testGroup = Group{Service: "tracker", Version: "v1", Region: "kano"}
)

func testBroker(mayHoldGrants ...string) *Broker {
	equalWeight := func(string) float64 { return 1 }
	b := NewBroker(testGroup, 2, DefaultSettings(), mayHoldGrants, equalWeight, testStart)
	b.SetEndpoints([]Endpoint{{"a", 1}, {"b", 2}}, testStart)
	return b
}

func request(b *Broker, number uint64, now time.Time) []Outcome {
	return b.Submit(Request{ID: ID{"i", number}, Group: testGroup, Remaining: time.Second}, now)
}

// TestBusyReleaseBeforeReport lets a release with a settling time overtake
// its holder's report: the slot must still count.
func TestBusyReleaseBeforeReport(t *testing.T) {
	b := testBroker("i")
	id := ID{"i", 1}
	b.Release(Release{ID: id, BusyFor: time.Second}, testStart)
	b.ApplyReport(Report{Instance: "i", Held: []HeldGrant{{ID: id, Address: "a", Remaining: time.Second}}}, testStart)
	if got := b.Used("a"); got != 1 {
		t.Errorf("Used = %d, want 1", got)
	}
}

// TestReleaseBeforeReport lets a plain release overtake the report: the slot is
// free, or it would be lost until its bound.
func TestReleaseBeforeReport(t *testing.T) {
	b := testBroker("i")
	id := ID{"i", 1}
	b.Release(Release{ID: id}, testStart)
	b.ApplyReport(Report{Instance: "i", Held: []HeldGrant{{ID: id, Address: "a", Remaining: time.Second}}}, testStart)
	if got := b.Used("a"); got != 0 {
		t.Errorf("Used = %d, want 0", got)
	}
}

// TestLeavingEndpointGetsNothing takes endpoints away by the document, by their
// own word and by a refused connection.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	tests := []struct {
		desc  string
		leave func(b *Broker)
	}{
		{"no longer in the document", func(b *Broker) { b.SetEndpoints([]Endpoint{{"a", 1}}, testStart) }},
		{"by its own word", func(b *Broker) { b.Observe("b", health.OutcomeLeaving, testStart) }},
		{"by its own word, then an older answer", func(b *Broker) {
			b.Observe("b", health.OutcomeLeaving, testStart)
			b.Observe("b", health.OutcomeAnswered, testStart)
		}},
		{"by the fleet's word", func(b *Broker) { b.SetLeaving("b") }},
		{"it refuses connections", func(b *Broker) { b.Observe("b", health.OutcomeUnreachable, testStart) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := testBroker()
			tt.leave(b)
			for n := range uint64(5) {
				for _, o := range request(b, n, testStart) {
					if o.Grant != nil && o.Grant.Address == "b" {
						t.Errorf("request %d was given the leaving endpoint", n)
					}
				}
			}
			if b.Used("a") != 1 {
				t.Error("the other endpoint was not used")
			}
		})
	}
}

// TestRequestsRunWithReportsOnAllEndpoints speaks ill of every endpoint: requests still run.
func TestRequestsRunWithReportsOnAllEndpoints(t *testing.T) {
	b := testBroker()
	b.Report("a", true, testStart)
	b.Report("b", true, testStart)
	for n := range uint64(3) {
		if out := request(b, n, testStart); len(out) != 1 || out[0].Grant == nil {
			t.Errorf("request %d got %v, want a grant", n, out)
		}
	}
}

// TestLostReleaseLapses loses a release: the slot comes back at the bound.
func TestLostReleaseLapses(t *testing.T) {
	b := testBroker()
	for n := range uint64(3) {
		request(b, n, testStart)
	}
	b.Tick(testStart.Add(time.Second))
	if b.Used("a")+b.Used("b") != 3 {
		t.Error("slots came back before the bound")
	}
	b.Tick(testStart.Add(time.Second + DefaultGuard))
	if b.Used("a")+b.Used("b") != 0 {
		t.Error("slots did not come back at the bound")
	}
}
