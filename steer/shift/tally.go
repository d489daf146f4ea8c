package shift

import "math"

// oddsRatios are the oddsRatios ratios that a Tally bets on. Versions that are worse by
// less than about a factor of 1.8 are let pass: there the smallest bet loses.
var oddsRatios = [...]float64{3, 8, 32, 128}

// Counts are trials and the hits among them, such as requests and failures.
type Counts struct {
	// N is the number of trials.
	N uint64 `json:"n"`
	// Hits is the number of trials that went wrong.
	Hits uint64 `json:"hits"`
}

// add adds o to c.
func (c *Counts) add(o Counts) {
	c.N += o.N
	c.Hits += o.Hits
}

// rate is the part of trials that hit, 0 when there were none.
func (c Counts) rate() float64 {
	if c.N == 0 {
		return 0
	}
	return float64(c.Hits) / float64(c.N)
}

// Tally is the evidence that the new version is worse than the old.
//
// It is an e-process, a test martingale (Ramdas, Grünwald, Vovk, Shafer,
// "Game-Theoretic Statistics and Safe Anytime-Valid Inference", 2023): while the
// versions are alike it exceeds 1/a at any time with probability at most a
// (Ville's inequality), however often it is looked at. Within one batch of
// outcomes, let s be the hits and p the new version's part of the trials. If
// the versions are alike, the new version's hits x are hypergeometric whatever
// the common rate is at that moment (Fisher's exact test), and for each odds
// ratio o the factor
//
//	o^x / (1 + p(o-1))^s
//
// has a mean of at most 1, since a hypergeometric variable is smaller than the
// binomial one in the convex order (Hoeffding, 1963, theorem 4). Factors of
// batches multiply; the Tally is the mean over several ratios.
// Tallies of independent instances multiply as well, so they are merged by Add.
type Tally struct {
	// Logs are the natural logarithms of the products, one for each ratio.
	Logs [len(oddsRatios)]float64 `json:"logs"`
	// New and Old are the outcomes that were compared.
	New Counts `json:"new"`
	Old Counts `json:"old"`
}

// AddBatch adds one batch of outcomes taken at the same time.
func (t *Tally) AddBatch(newCounts, oldCounts Counts) {
	if newCounts.N == 0 || oldCounts.N == 0 {
		return
	}
	t.New.add(newCounts)
	t.Old.add(oldCounts)
	newPart := float64(newCounts.N) / float64(newCounts.N+oldCounts.N)
	hits := float64(newCounts.Hits + oldCounts.Hits)
	for i, o := range oddsRatios {
		t.Logs[i] += float64(newCounts.Hits)*math.Log(o) - hits*math.Log1p(newPart*(o-1))
	}
}

// Merge merges the evidence of another, independent source.
func (t *Tally) Merge(o *Tally) {
	t.New.add(o.New)
	t.Old.add(o.Old)
	for i := range t.Logs {
		t.Logs[i] += o.Logs[i]
	}
}

// LogEvidence returns the natural logarithm of the evidence.
func (t *Tally) LogEvidence() float64 {
	top := t.Logs[0]
	for _, l := range t.Logs[1:] {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range t.Logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(t.Logs)))
}
