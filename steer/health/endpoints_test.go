package health

import (
	"testing"
	"time"
)

func TestLimit(t *testing.T) {
	r := DefaultEndpointRules()
	start := time.Unix(1000, 0)
	const slots = 6
	tests := []struct {
		desc  string
		setup func(e *Endpoint)
		after time.Duration
		want  int
	}{
		{"never failed", func(*Endpoint) {}, 0, slots},
		{"slow start begins", func(e *Endpoint) { e.BeginSlowStart(start) }, 0, 1},
		{"half of slow start", func(e *Endpoint) { e.BeginSlowStart(start) }, r.SlowStart / 2, 4},
		{"warm", func(e *Endpoint) { e.BeginSlowStart(start) }, r.SlowStart, slots},
		{"refused a connection", func(e *Endpoint) { e.Observe(r, OutcomeUnreachable, start) }, 0, 0},
		{"one request after the backoff", func(e *Endpoint) { e.Observe(r, OutcomeUnreachable, start) }, r.InitialBackoff, 1},
		{"refused twice", func(e *Endpoint) {
			e.Observe(r, OutcomeUnreachable, start.Add(-r.InitialBackoff))
			e.Observe(r, OutcomeUnreachable, start)
		}, r.InitialBackoff, 0},
		{"answered after a backoff: slow start", func(e *Endpoint) {
			e.Observe(r, OutcomeUnreachable, start.Add(-2*r.InitialBackoff))
			e.Observe(r, OutcomeAnswered, start)
		}, 0, 1},
		{"one broken exchange", func(e *Endpoint) { e.Observe(r, OutcomeBroken, start) }, 0, slots},
		{"three broken in a row", func(e *Endpoint) {
			for range breaksBeforeBackoff {
				e.Observe(r, OutcomeBroken, start)
			}
		}, 0, 0},
		{"broken with answers in between", func(e *Endpoint) {
			for range breaksBeforeBackoff {
				e.Observe(r, OutcomeBroken, start)
				e.Observe(r, OutcomeAnswered, start)
			}
		}, 0, slots},
		{"a silent connection does not count against the endpoint", func(e *Endpoint) {
			for range breaksBeforeBackoff {
				e.Observe(r, OutcomeStaleConnection, start)
			}
		}, 0, slots},
		{"leaving", func(e *Endpoint) { e.Observe(r, OutcomeLeaving, start) }, 3 * time.Second, 0},
		{"unhealthy by report only", func(e *Endpoint) { e.Report(r, true, start) }, 0, slots},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var e Endpoint
			tt.setup(&e)
			if got := e.Limit(r, slots, start.Add(tt.after)); got != tt.want {
				t.Errorf("Limit = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestLaterAnswerOverridesReport checks that a report is valid until it expires or
// the instance itself gets a response from the endpoint.
func TestLaterAnswerOverridesReport(t *testing.T) {
	r := DefaultEndpointRules()
	start := time.Unix(1000, 0)
	var e Endpoint
	e.Report(r, true, start)
	if !e.Suspected(r, start) {
		t.Error("a fresh report has no effect")
	}
	if e.Suspected(r, start.Add(r.ReportTTL)) {
		t.Error("an expired report still has an effect")
	}
	e.Observe(r, OutcomeAnswered, start.Add(time.Second))
	if e.Suspected(r, start.Add(time.Second)) {
		t.Error("a report overrides a later answer")
	}
}
