package rollout

import (
	"math"
	"time"
)

const (
	// minFailures is the number of failures from which the new version is
	// judged. Fewer occur by chance too often.
	minFailures = 4.5
	// failureMargin is how far its share of failures must exceed the expected
	// share.
	failureMargin = 0.05
	// recentHalfLife is the half-life of recent evidence. Because of it, earlier
	// successful answers do not hide a fault that shows late or under load.
	recentHalfLife = time.Second
	// minBaselineFailureShare is the lowest share of failures assumed for the
	// old version. Its measured share may be unknown, or 0 by chance.
	minBaselineFailureShare = 0.03
	// maxErrorShare is the share of error responses that a version may give if the
	// old one gives too many itself to be a standard.
	maxErrorShare = 0.12
	// minSlowSamples is the number of successful answers from which slowness is
	// judged.
	minSlowSamples = 6
	// slowFactor is the factor by which the new version's answers must be
	// slower.
	slowFactor = 2.2
	// maxBaselineSlowness is the highest slowness of the old version that is a
	// standard for the new one.
	maxBaselineSlowness = 2
)

// bounds are the numbers of standard deviations by which failures must exceed
// the expected number.
type bounds struct {
	// comparison applies to the number expected from the old version. A rollout
	// is evaluated some hundred times, so it is high.
	comparison float64
	// limit applies to the number expected at maxErrorShare. It is lower: a false
	// alarm costs little where the old version gives many errors itself.
	limit float64
}

// Each evaluation of recent evidence uses mostly new answers, which gives more
// chances of a false alarm, so its bounds are higher.
var (
	overallBounds = bounds{comparison: 5, limit: 2}
	recentBounds  = bounds{comparison: 6, limit: 3}
)

// newIsWorse reports whether the new version is worse than the old one, either
// since the rollout started or recently.
func (e Evidence) newIsWorse() bool {
	return isWorse(e.New, e.Old, overallBounds) || isWorse(e.NewLate, e.OldLate, recentBounds)
}

// isWorse reports whether the candidate version is worse than the baseline, or
// gives too many error responses beside a baseline that is no standard.
func isWorse(candidate, baseline Tally, b bounds) bool {
	baselineIsUnfit := baseline.Errors > (maxErrorShare+failureMargin)*baseline.Answers
	return baselineIsUnfit && exceeds(candidate.Errors, candidate.Answers, maxErrorShare, b.limit) ||
		failsMore(candidate, baseline, b.comparison) || isSlower(candidate, baseline)
}

// failsMore reports whether the candidate version fails more than the baseline,
// in sum or in one way: responses that the old version loses must not hide errors
// of the new one.
func failsMore(candidate, baseline Tally, deviations float64) bool {
	for _, kind := range []struct{ candidate, baseline float64 }{
		{candidate.Failures, baseline.Failures},
		{candidate.Errors, baseline.Errors},
		{candidate.Timeouts, baseline.Timeouts},
	} {
		expectedShare := max(kind.baseline/max(1, baseline.Answers), minBaselineFailureShare)
		if exceeds(kind.candidate, candidate.Answers, expectedShare, deviations) {
			return true
		}
	}
	return false
}

// exceeds reports whether more of a version's answers failed than expected, with
// a margin and a number of standard deviations.
func exceeds(failures, answers, expectedShare, deviations float64) bool {
	expected := answers * expectedShare
	return failures >= minFailures && failures > expected+answers*failureMargin &&
		failures > expected+deviations*math.Sqrt(expected*(1-expectedShare))
}

// isSlower reports whether the candidate version's successful answers take
// longer than those of the baseline.
func isSlower(candidate, baseline Tally) bool {
	good := candidate.Answers - candidate.Failures
	expected := min(baseline.meanSlowness(), maxBaselineSlowness)
	return good >= minSlowSamples && expected > 0 && candidate.meanSlowness() > slowFactor*expected
}
