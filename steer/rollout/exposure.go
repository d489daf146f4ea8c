package rollout

const (
	// exposureShare and exposureSlack bound the requests that a version may get
	// before its answers under load speak for it, over all instances: a share of
	// all requests, and a number of them. They are below the users' bounds, by what
	// second attempts may add.
	exposureShare = 0.09
	exposureSlack = 48
	// samplingFraction is the fraction of exposureSlack that is used to gather
	// answers before the share rises. The rest is for answers under load.
	samplingFraction = 0.7
)

// exposure bounds what one instance may send to a new version. Its part of the
// slack accrues from when it joined the rollout to rampedAt, so that an instance
// and its successors together get no more than one that runs all the time.
type exposure struct {
	instances int // of the fleet; 0 if unknown
}

// point is a point of a rollout for one instance.
type point struct {
	elapsed float64 // since the start, as a fraction of the duration
	joined  float64 // when the instance joined, as such a fraction
}

// slack returns the part of exposureSlack that has accrued.
func (e exposure) slack(p point) float64 {
	if e.instances == 0 {
		return 0
	}
	accrued := max(0, min(p.elapsed, rampedAt)-p.joined) / rampedAt
	return exposureSlack * accrued / float64(e.instances)
}

// samples returns how many attempts beyond the share may have been sent to gather
// answers.
func (e exposure) samples(p point) float64 { return samplingFraction * e.slack(p) }

// limit returns how many of an instance's attempts may have been sent to a new
// version under suspicion.
func (e exposure) limit(p point, sent float64) float64 { return exposureShare*sent + e.slack(p) }
