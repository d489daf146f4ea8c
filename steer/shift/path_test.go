package shift

import (
	"encoding/json"
	"testing"
	"time"
)

// evidenceFleet returns a controller in the middle of a shift, with evidence in
// all scopes.
func evidenceFleet(tb testing.TB) *Controller {
	tb.Helper()
	cfg := testConfig()
	f := newFleet(cfg, 3)
	tr := traffic{seed: 1, step: 500 * time.Millisecond, instances: 3, perSecond: 200, length: 100 * time.Second}
	tr.run(&cfg, f)
	return f.controllers[0]
}

// TestRequestPathAllocatesNothing covers the calls made for every request.
func TestRequestPathAllocatesNothing(t *testing.T) {
	c := evidenceFleet(t)
	now := epoch.Add(100 * time.Second)
	o := Outcome{Route: "read", Domain: "kano-a", Sent: now, Latency: time.Millisecond}
	c.RecordOutcome(o)
	allocs := testing.AllocsPerRun(1000, func() {
		c.ChooseNew(now)
		c.RecordOutcome(o)
	})
	if allocs != 0 {
		t.Errorf("%v allocations per request, want none", allocs)
	}
}

func BenchmarkChoose(b *testing.B) {
	c := evidenceFleet(b)
	now := epoch.Add(100 * time.Second)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.ChooseNew(now)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	c := evidenceFleet(b)
	o := Outcome{Route: "read", Domain: "kano-a", Sent: epoch, Latency: time.Millisecond}
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.RecordOutcome(o)
		}
	})
}

// BenchmarkSummary reports the size of the report that an instance sends to
// each peer.
func BenchmarkSummary(b *testing.B) {
	c := evidenceFleet(b)
	size, scopes := 0, 0
	for b.Loop() {
		s := c.Report(epoch)
		content, err := json.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		size, scopes = len(content), len(s.Scopes)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(scopes), "scopes")
}
