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
	// minObservations is how many observations a mean follows more than what was
	// assumed.
	minObservations = 12
	// assumedShortest is the shortest work in seconds before the first observation,
	// so that a route whose work is short is found out.
	assumedShortest = 0.005
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
	mean     [warmthCount]float64
	observed [warmthCount]int
	all      float64 // mean of all observations, 0 before the first one
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
	w.observed[k]++
	seconds = min(seconds, observationCap*w.mean[k])
	w.mean[k] += learnWeight * (seconds - w.mean[k])
	if w.all == 0 {
		w.all = seconds
	}
	w.all += learnWeight * (seconds - w.all)
}

// known reports whether the mean is that of observations.
func (w *work) known(k warmth) bool { return w.observed[k] >= minObservations }

// shortest returns the shortest work that is expected of a request, as far as known.
func (w *work) shortest() float64 {
	if w.all == 0 {
		return assumedShortest
	}
	return min(w.mean[warmthWarm], w.all)
}
