package shift

import "math"

// oddsRatios are the odds ratios that a Tally tests. A version that is worse by
// less than a factor of about 1.8 is not detected, because even the smallest
// ratio then loses evidence.
var oddsRatios = [...]float64{3, 8, 32, 128}

// Counts holds a number of trials and the hits among them, such as requests and
// failures.
type Counts struct {
	// N is the number of trials.
	N uint64 `json:"n"`
	// Hits is the number of trials that failed or were slow.
	Hits uint64 `json:"hits"`
}

// add adds o to c.
func (c *Counts) add(o Counts) {
	c.N += o.N
	c.Hits += o.Hits
}

// rate returns the fraction of hits, or 0 without trials.
func (c Counts) rate() float64 {
	if c.N == 0 {
		return 0
	}
	return float64(c.Hits) / float64(c.N)
}

// Tally is the evidence that the new version is worse than the old one.
//
// It is an e-process, a test martingale (Ramdas, Grünwald, Vovk, Shafer,
// "Game-Theoretic Statistics and Safe Anytime-Valid Inference", 2023): while
// the versions are alike, the probability that it ever exceeds 1/a is at most a
// (Ville's inequality), however often it is checked. Within one batch of
// outcomes, let s be the hits and p the new version's fraction of the trials.
// If the versions are alike, the new version's hits x are hypergeometric,
// whatever the common rate is at that moment (Fisher's exact test), and for
// each odds ratio o the factor
//
//	o^x / (1 + p(o-1))^s
//
// has a mean of at most 1, since a hypergeometric variable is smaller than the
// binomial one in the convex order (Hoeffding, 1963, theorem 4). The factors of
// batches multiply; the Tally is the mean over several ratios. Tallies of
// independent instances also multiply, so Merge combines them.
type Tally struct {
	// Logs are the natural logarithms of the products, one for each odds ratio.
	Logs [len(oddsRatios)]float64 `json:"logs"`
	// New and Old are the outcomes that were compared.
	New Counts `json:"new"`
	Old Counts `json:"old"`
}

// AddBatch adds one batch of outcomes measured at the same time.
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

// Merge adds the evidence of another, independent source.
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
