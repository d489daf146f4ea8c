package health

import (
	"testing"
	"time"
)

func TestTrusted(t *testing.T) {
	r := DefaultConnectionRules()
	start := time.Unix(1000, 0)
	timedOutAt := start.Add(time.Second)
	tests := []struct {
		desc       string
		timedOut   bool
		lastAnswer time.Time
		now        time.Time
		idempotent bool
		want       bool
	}{
		{"just answered", false, start, start, false, true},
		{"not idempotent, idle too long", false, start, start.Add(r.FreshFor + 1), false, false},
		{"idempotent, idle a while", false, start, start.Add(r.FreshFor + 1), true, true},
		{"idempotent, idle too long", false, start, start.Add(r.ReusableFor + 1), true, false},
		{"answered before another timed out", true, start, timedOutAt, true, false},
		{"answered after another timed out", true, timedOutAt.Add(1), timedOutAt.Add(2), true, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var c Connections
			if tt.timedOut {
				c.RecordTimeout(timedOutAt)
				c.RecordTimeout(start.Add(-time.Hour))
			}
			if got := c.Trusted(r, tt.lastAnswer, tt.now, tt.idempotent); got != tt.want {
				t.Errorf("Trusted = %v, want %v", got, tt.want)
			}
		})
	}
}
