package placing

import "time"

const (
	// learnWeight is the weight of one observation in a mean. About the last
	// dozen observations count.
	learnWeight = 0.08
	// observationCap bounds one observation to this many times the mean, so
	// that one slow endpoint does not spoil the mean of all.
	observationCap = 3
	// Parts of the response-time goal that work is expected to take before
	// anything was observed.
	initialCold = 1.4
	initialHome = 0.9
	initialWarm = 0.5
)

// warmth is what is known of an object at an endpoint.
type warmth uint8

const (
	// warmthCold means that nobody is known to have sent it there.
	warmthCold warmth = iota
	// warmthHome means that the endpoint is its home in a region, where other
	// instances may have sent it.
	warmthHome
	// warmthWarm means that this instance has sent it there of late.
	warmthWarm
	warmthCount
)

// String names the warmth for logs and metrics.
func (k warmth) String() string {
	switch k {
	case warmthWarm:
		return "warm"
	case warmthHome:
		return "home"
	default:
		return "cold"
	}
}

// work holds the mean time of work of one route at one service, in seconds, by
// warmth.
type work struct {
	mean [warmthCount]float64
}

func newWork(goal time.Duration) *work {
	g := goal.Seconds()
	if g <= 0 {
		g = time.Second.Seconds()
	}
	return &work{mean: [warmthCount]float64{g * initialCold, g * initialHome, g * initialWarm}}
}

// learn takes in one observed time of work.
func (w *work) learn(k warmth, seconds float64) {
	seconds = min(seconds, observationCap*w.mean[k])
	w.mean[k] += learnWeight * (seconds - w.mean[k])
}
