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

// TestBusyReleaseBeforeReport delivers a release with BusyFor before its
// holder's report: the slot must still count as used.
func TestBusyReleaseBeforeReport(t *testing.T) {
	b := testBroker("i")
	id := ID{"i", 1}
	b.Release(Release{ID: id, BusyFor: time.Second}, testStart)
	b.ApplyReport(Report{Instance: "i", Held: []HeldGrant{{ID: id, Address: "a", Remaining: time.Second}}}, testStart)
	if got := b.Used("a"); got != 1 {
		t.Errorf("Used = %d, want 1", got)
	}
}

// TestReleaseBeforeReport delivers a plain release before the holder's report:
// the slot must be free. Otherwise it would stay in use until the grant
// expires.
func TestReleaseBeforeReport(t *testing.T) {
	b := testBroker("i")
	id := ID{"i", 1}
	b.Release(Release{ID: id}, testStart)
	b.ApplyReport(Report{Instance: "i", Held: []HeldGrant{{ID: id, Address: "a", Remaining: time.Second}}}, testStart)
	if got := b.Used("a"); got != 0 {
		t.Errorf("Used = %d, want 0", got)
	}
}

// TestLeavingEndpointGetsNothing removes an endpoint in each possible way and
// checks that it gets no request.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	tests := []struct {
		desc  string
		leave func(b *Broker)
	}{
		{"no longer configured", func(b *Broker) { b.SetEndpoints([]Endpoint{{"a", 1}}, testStart) }},
		{"endpoint answers that it is leaving", func(b *Broker) { b.Observe("b", health.OutcomeLeaving, testStart) }},
		{"endpoint answers that it is leaving, then an older answer arrives", func(b *Broker) {
			b.Observe("b", health.OutcomeLeaving, testStart)
			b.Observe("b", health.OutcomeAnswered, testStart)
		}},
		{"marked as leaving", func(b *Broker) { b.SetLeaving("b") }},
		{"refuses connections", func(b *Broker) { b.Observe("b", health.OutcomeUnreachable, testStart) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			b := testBroker()
			tt.leave(b)
			for n := range uint64(5) {
				for _, o := range request(b, n, testStart) {
					if o.Grant != nil && o.Grant.Address == "b" {
						t.Errorf("request %d was granted a slot of the leaving endpoint", n)
					}
				}
			}
			if b.Used("a") != 1 {
				t.Error("the other endpoint was not used")
			}
		})
	}
}

// TestRequestsRunWithReportsOnAllEndpoints reports every endpoint as
// unhealthy: requests must still get slots.
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

// TestGrantExpiresAfterLostRelease loses the releases: the slots must become free when
// the grants expire.
func TestGrantExpiresAfterLostRelease(t *testing.T) {
	b := testBroker()
	for n := range uint64(3) {
		request(b, n, testStart)
	}
	b.Tick(testStart.Add(time.Second))
	if b.Used("a")+b.Used("b") != 3 {
		t.Error("slots became free before the grants expired")
	}
	b.Tick(testStart.Add(time.Second + DefaultGuard))
	if b.Used("a")+b.Used("b") != 0 {
		t.Error("slots did not become free when the grants expired")
	}
}
