package rollout

import (
	"math"
)

// The judged attempts of the new version are tested sequentially (Wald): for each
// of them, the logarithm of the ratio of its probability with a worse version to
// that with a sound one is added up. The version is worse once the sum reaches
// rejectBound and sound once it reaches acceptBound. Between the two, the evidence
// is too thin for a verdict.
const (
	// rejectBound is ln(1/0.0001): one sound version in ten thousand is taken as
	// worse.
	rejectBound = 9.2
	// acceptBound is ln(0.05): one worse version in twenty is taken as sound.
	acceptBound = -3
	// leanBound is half the way to acceptBound.
	leanBound = acceptBound / 2
	// A worse version fails more often than worseFactor times the expected share, by
	// a margin, but not more often than maxWorseShare.
	worseFactor   = 3
	maxWorseShare = 0.95
	// maxStandard is the highest share of failures of the old version that is a
	// standard for the new one.
	maxStandard = 0.6
	// priorAttempts is the number of attempts with minBaselineFailureShare that are
	// added to those of the old version.
	priorAttempts = 20
)

// precision is what the test can tell apart with a number of attempts of the new
// version. A smaller difference takes more of them to be told from chance.
type precision struct {
	margin   float64 // of a worse version's share of failures over that of a sound one
	minShare float64 // lowest share of failures assumed of a sound version
}

const (
	fewAttempts  = 30.0
	manyAttempts = 150.0
)

var (
	fewPrecision  = precision{margin: 0.1, minShare: 0.025}
	manyPrecision = precision{margin: 0.06, minShare: 0.015}
)

// precisionOf returns the precision with a number of attempts.
func precisionOf(attempts float64) precision {
	many := min(max((attempts-fewAttempts)/(manyAttempts-fewAttempts), 0), 1)
	return precision{
		margin:   fewPrecision.margin + many*(manyPrecision.margin-fewPrecision.margin),
		minShare: fewPrecision.minShare + many*(manyPrecision.minShare-fewPrecision.minShare),
	}
}

// logRatio returns the sum for the attempts of a version of which some failed,
// with the share that is expected to fail.
func logRatio(failures, attempts, expectedShare float64) float64 {
	worse := min(worseFactor*expectedShare+precisionOf(attempts).margin, maxWorseShare)
	return failures*math.Log(worse/expectedShare) + (attempts-failures)*math.Log((1-worse)/(1-expectedShare))
}

// expectedShare returns the share of a sound version's attempts that fail in some
// way, by how many of the old version's did.
func expectedShare(failures, attempts, minShare float64) float64 {
	share := (failures + minBaselineFailureShare*priorAttempts) / (attempts + priorAttempts)
	return max(share, minShare)
}

// suspicion returns the highest sum over the ways to fail: responses that the old
// version loses must not hide errors of the new one. A way in which most attempts
// of the old version fail is left to the comparison of the answers.
func suspicion(candidate, baseline Judgments) float64 {
	worst, minShare := math.Inf(-1), precisionOf(candidate.Attempts).minShare
	for _, kind := range []struct{ candidate, baseline float64 }{
		{candidate.Errors, baseline.Errors},
		{candidate.Late, baseline.Late},
		{candidate.Failures, baseline.Failures},
	} {
		if expected := expectedShare(kind.baseline, baseline.Attempts, minShare); expected <= maxStandard {
			worst = max(worst, logRatio(kind.candidate, candidate.Attempts, expected))
		}
	}
	if math.IsInf(worst, -1) {
		return 0
	}
	return worst
}
