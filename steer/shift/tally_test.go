package shift

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// logBinomial returns the logarithm of the binomial coefficient.
func logBinomial(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// TestTallyIsFair checks for each odds ratio that one batch multiplies the
// evidence by at most 1 on average when the versions are alike. It sums over
// all possible distributions of the hits (the hypergeometric distribution).
func TestTallyIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newN := rapid.IntRange(1, 60).Draw(t, "new")
		oldN := rapid.IntRange(1, 60).Draw(t, "old")
		hits := rapid.IntRange(0, newN+oldN).Draw(t, "hits")
		var mean [len(oddsRatios)]float64
		for x := max(0, hits-oldN); x <= min(hits, newN); x++ {
			p := math.Exp(logBinomial(float64(newN), float64(x)) + logBinomial(float64(oldN), float64(hits-x)) -
				logBinomial(float64(newN+oldN), float64(hits)))
			var tally Tally
			tally.AddBatch(Counts{uint64(newN), uint64(x)}, Counts{uint64(oldN), uint64(hits - x)})
			for i, l := range tally.Logs {
				mean[i] += p * math.Exp(l)
			}
		}
		for i, m := range mean {
			if m > 1+1e-9 {
				t.Fatalf("odds %v: mean %v, want at most 1", oddsRatios[i], m)
			}
		}
	})
}

func TestTallyGrowsOnlyAgainstTheWorse(t *testing.T) {
	tests := []struct {
		desc                 string
		newCounts, oldCounts Counts
		grows                bool
	}{
		{"new fails a fifth", Counts{50, 10}, Counts{450, 2}, true},
		{"both fail a fifth", Counts{50, 10}, Counts{450, 90}, false},
		{"old fails more", Counts{50, 0}, Counts{450, 90}, false},
		{"nothing to compare with", Counts{50, 50}, Counts{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var tally Tally
			tally.AddBatch(tt.newCounts, tt.oldCounts)
			if got := tally.LogEvidence() > 3; got != tt.grows {
				t.Errorf("evidence %.1f, grows = %v, want %v", tally.LogEvidence(), got, tt.grows)
			}
		})
	}
}
