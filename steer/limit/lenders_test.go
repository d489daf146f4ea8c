package limit

import (
	"testing"
	"time"
)

func TestRetryDelay(t *testing.T) {
	tests := []struct {
		desc      string
		decision  Decision
		hint      time.Duration
		remaining time.Duration
		wait      time.Duration
		ok        bool
	}{
		{"own token soon", Decision{Reason: ReasonRate, RetryAfter: 80 * time.Millisecond}, 0, MaxWait, 80 * time.Millisecond, true},
		{"lender sooner", Decision{Reason: ReasonRate, RetryAfter: time.Second}, 30 * time.Millisecond, MaxWait, 30 * time.Millisecond, true},
		{"no share, lender soon", Decision{Reason: ReasonNoShare}, 30 * time.Millisecond, MaxWait, 30 * time.Millisecond, true},
		{"no hint at all", Decision{Reason: ReasonNoShare}, 0, MaxWait, minRetryDelay, false},
		{"too late", Decision{Reason: ReasonRate, RetryAfter: 80 * time.Millisecond}, 0, 50 * time.Millisecond, 80 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			wait, ok := RetryDelay(tt.decision, tt.hint, tt.remaining)
			if wait != tt.wait || ok != tt.ok {
				t.Errorf("wait %v, %v; want %v, %v", wait, ok, tt.wait, tt.ok)
			}
		})
	}
}

// The instance names sort in another order than the wanted one, so a sort by
// name fails the test.
func TestRankLendersLocalFirst(t *testing.T) {
	got := RankLenders([]Lender{
		{Instance: "far-rich", Headroom: 5000},
		{Instance: "near-poor", Local: true, Headroom: 10},
		{Instance: "near-rich", Local: true, Headroom: 400},
		{Instance: "empty", Local: true},
	})
	want := []string{"near-rich", "near-poor", "far-rich"}
	if len(got) != len(want) {
		t.Fatalf("lenders %v", got)
	}
	for i, l := range got {
		if l.Instance != want[i] {
			t.Errorf("lenders %v, want %v", got, want)
		}
	}
}
