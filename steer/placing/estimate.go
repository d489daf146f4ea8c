package placing

import "time"

const (
	// learnWeight is the weight of one observation in a mean. About the last
	// dozen observations count.
	learnWeight = 0.08
	// observationCap limits one observation to this multiple of the mean, so
	// that one slow endpoint does not distort the mean of all.
	observationCap = 3
	// Work times assumed before the first observation, as fractions of the
	// response-time goal.
	initialCold = 1.4
	initialHome = 0.9
	initialWarm = 0.5
)

// warmth is the knowledge about an object at an endpoint.
type warmth uint8

const (
	// warmthCold means that the object is not known to have been sent there.
	warmthCold warmth = iota
	// warmthHome means that the endpoint is the object's home in a region, so
	// other instances may have sent the object there.
	warmthHome
	// warmthWarm means that the object is known to have been sent there
	// recently.
	warmthWarm
	warmthCount
)

// String returns the name used in logs and metrics.
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

// work holds the mean work times of one route at one service, in seconds, by
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

// learn adds one observed work time to the mean.
func (w *work) learn(k warmth, seconds float64) {
	seconds = min(seconds, observationCap*w.mean[k])
	w.mean[k] += learnWeight * (seconds - w.mean[k])
}
