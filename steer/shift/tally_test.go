package shift

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// choose returns the logarithm of the binomial coefficient.
func choose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// TestTallyIsFair checks that one batch multiplies the evidence by at most 1 on
// average when the versions are alike, for each bet, by summing over all ways in
// which the hits may fall (the hypergeometric distribution).
func TestTallyIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fresh := rapid.IntRange(1, 60).Draw(t, "new")
		old := rapid.IntRange(1, 60).Draw(t, "old")
		hits := rapid.IntRange(0, fresh+old).Draw(t, "hits")
		var mean [len(odds)]float64
		for x := max(0, hits-old); x <= min(hits, fresh); x++ {
			p := math.Exp(choose(float64(fresh), float64(x)) + choose(float64(old), float64(hits-x)) -
				choose(float64(fresh+old), float64(hits)))
			var tally Tally
			tally.AddBatch(Counts{uint64(fresh), uint64(x)}, Counts{uint64(old), uint64(hits - x)})
			for i, l := range tally.Logs {
				mean[i] += p * math.Exp(l)
			}
		}
		for i, m := range mean {
			if m > 1+1e-9 {
				t.Fatalf("odds %v: mean %v, want at most 1", odds[i], m)
			}
		}
	})
}

func TestTallyGrowsOnlyAgainstTheWorse(t *testing.T) {
	tests := []struct {
		desc       string
		fresh, old Counts
		grows      bool
	}{
		{"new fails a fifth", Counts{50, 10}, Counts{450, 2}, true},
		{"both fail a fifth", Counts{50, 10}, Counts{450, 90}, false},
		{"old fails more", Counts{50, 0}, Counts{450, 90}, false},
		{"nothing to compare with", Counts{50, 50}, Counts{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var tally Tally
			tally.AddBatch(tt.fresh, tt.old)
			if got := tally.LogEvidence() > 3; got != tt.grows {
				t.Errorf("evidence %.1f, grows = %v, want %v", tally.LogEvidence(), got, tt.grows)
			}
		})
	}
}
