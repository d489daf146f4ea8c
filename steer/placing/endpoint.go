package placing

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

const (
	// slowdownWeight is the weight of one observation in an endpoint's
	// slowdown.
	slowdownWeight = 0.3
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.25
	// minWorkRatio is the smallest ratio of observed to expected work from which
	// an answer says something about its endpoint's speed. Some requests need no
	// work at all.
	minWorkRatio = 0.05
	// maxSlowdown is the highest slowdown assumed for an endpoint.
	maxSlowdown = 30
	// minWorkTime is the lowest work time, relative to the usual, that an endpoint's
	// report counts as. An endpoint must not draw all requests by a report of 0.
	minWorkTime = 0.25
	// workTimeWeight is the weight of one report in the mean of the work times that
	// an endpoint reports.
	workTimeWeight = 0.3
)

// endpoint is the local state of one incarnation.
type endpoint struct {
	catalog.Endpoint
	region string
	hash   uint64

	// starts are the send times of the requests of this instance that are still
	// running there.
	starts []time.Time
	// peerRequests are the numbers of running requests of other instances, by
	// instance, or by the source of a sum over several.
	peerRequests map[string]int
	// peerSums are the sources of sums, of all endpoints of the service.
	peerSums peerSums
	// reportedRequests is the number of requests of other instances, as the
	// endpoint itself reported at reportedAt.
	reportedRequests int
	reportedAt       time.Time
	// workTime is how long work takes there relative to the usual time, as the
	// endpoint itself reported at workTimeAt, which is zero without such a report.
	workTime   float64
	workTimeAt time.Time
	// meanWorkTime is the mean of the reported work times, which decays to 1.
	meanWorkTime float64
	warm         map[uint64]time.Time // when each warm object was last sent
	// everUsed is set once some instance of the region has sent it a request.
	everUsed bool

	slowdown        float64   // relative to the usual time of work; 1 is usual
	failures        float64   // share of failures
	faults          float64   // share of failures that no shortage of slots explains
	decayedAt       time.Time // when slowdown, failures and faults were last decayed
	connectFailures int       // consecutive failures to connect
	backoffUntil    time.Time
	probing         bool // one request at a time until the endpoint is reachable again

	// restriction is what the endpoint itself has asked for.
	restriction restriction

	coldUntil   time.Time
	coldTokens  ratelimit.Bucket
	limitTokens ratelimit.Bucket // while the endpoint names a limit
	limitPart   limitPart
	pacing      pacing
}

// cold reports whether the endpoint is cold.
func (e *endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// running returns the known number of requests of all instances there. The
// endpoint's own report takes precedence while it is fresher than the reports
// of other instances.
func (e *endpoint) running(now time.Time, r Rules) int {
	if now.Sub(e.reportedAt) <= r.MaxLoadAge {
		return len(e.starts) + e.reportedRequests
	}
	n := len(e.starts)
	for source, other := range e.peerRequests {
		if e.peerSums[source] == nil {
			n += other
		}
	}
	if len(e.peerSums) > 0 {
		n += e.peerSums.estimate(e, now, r.PeerSumHalfLife)
	}
	return n
}

// setReportedRequests stores the endpoint's report of how many requests it has;
// own of them are from this instance. A negative number means that it reported
// none.
func (e *endpoint) setReportedRequests(now time.Time, requests, own int) {
	if requests < 0 {
		return
	}
	e.reportedRequests, e.reportedAt = max(0, requests-own), now
}

// ownReported returns how many of this instance's running requests a report
// includes. An endpoint that reports work times gets the requests added that were
// sent too late to be included.
func (e *endpoint) ownReported(now time.Time, roundTrip float64, r Report) int {
	if r.WorkTime < 0 {
		return len(e.starts)
	}
	n, latest := 0, now.Add(-seconds(roundTrip))
	for _, start := range e.starts {
		if !start.After(latest) {
			n++
		}
	}
	return n
}

// decay decays slowdown, failures and faults by the time since the last decay.
func (e *endpoint) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(e.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	e.slowdown = 1 + (e.slowdown-1)*factor
	e.meanWorkTime = 1 + (e.meanWorkTime-1)*factor
	e.failures *= factor
	e.faults *= factor
	e.decayedAt = now
}

// fault records a failure that no shortage of slots explains.
func (e *endpoint) fault() { e.faults += failureWeight * (1 - e.faults) }

// slowness returns the factor by which the endpoint is slower than usual, apart
// from what its reports of work times explain. A running request that has taken
// longer than expected counts before it ends, but only the time since such a
// report: a report says that the endpoint works and how fast.
func (e *endpoint) slowness(now time.Time, usual float64) float64 {
	s := e.slowdown
	for _, start := range e.starts {
		if start.Before(e.workTimeAt) {
			start = e.workTimeAt
		}
		s = max(s, now.Sub(start).Seconds()/(2*usual))
	}
	return min(s, maxSlowdown)
}

// setWorkTime stores the endpoint's report of how long work takes, relative to the
// usual time. A negative figure means that it reported none.
func (e *endpoint) setWorkTime(now time.Time, workTime float64) {
	if workTime < 0 {
		return
	}
	e.workTime, e.workTimeAt = clampWorkTime(workTime), now
	e.meanWorkTime += workTimeWeight * (min(e.workTime, observationCap*e.meanWorkTime) - e.meanWorkTime)
}

// clampWorkTime returns what a reported work time counts as.
func clampWorkTime(workTime float64) float64 { return min(max(workTime, minWorkTime), maxSlowdown) }

// reportsWorkTime reports whether the endpoint has reported how long work takes.
func (e *endpoint) reportsWorkTime() bool { return !e.workTimeAt.IsZero() }

// workTimeOf returns how long work takes at the endpoint at a time, relative to the
// usual, according to its reports. The weight of the latest one decays with its age
// in favor of the mean.
func (e *endpoint) workTimeOf(at time.Time, halfLife time.Duration) float64 {
	if !e.reportsWorkTime() {
		return 1
	}
	halfLives := at.Sub(e.workTimeAt).Seconds() / halfLife.Seconds()
	if halfLives > maxHalfLives {
		return e.meanWorkTime
	}
	return e.meanWorkTime + (e.workTime-e.meanWorkTime)*math.Exp2(-max(0, halfLives))
}

// maxHalfLives is the age of a report, in half-lives, beyond which it has no weight.
const maxHalfLives = 10

// warmthOf returns the warmth of an object at the endpoint. home says that the
// endpoint is the object's home.
func (e *endpoint) warmthOf(object uint64, home bool, now time.Time, r Rules) warmth {
	if sent, ok := e.warm[object]; ok && now.Sub(sent) <= r.WarmTTL {
		return warmthWarm
	}
	if home {
		return warmthHome
	}
	return warmthCold
}

// markWarm records that an object was sent to the endpoint and reports whether
// peers need to know.
func (e *endpoint) markWarm(object uint64, now time.Time, r Rules) bool {
	sent, ok := e.warm[object]
	e.warm[object] = now
	e.everUsed = true
	e.evictOldest(now, r)
	return !ok || now.Sub(sent) > r.WarmTTL/2
}

// evictOldest removes the object that was sent longest ago if there are too
// many.
func (e *endpoint) evictOldest(now time.Time, r Rules) {
	if len(e.warm) <= r.WarmObjects {
		return
	}
	var oldest uint64
	at := now
	for o, sent := range e.warm {
		if sent.Before(at) || sent.Equal(at) && o < oldest {
			oldest, at = o, sent
		}
	}
	delete(e.warm, oldest)
}

// requestStarted records a request that was sent at now.
func (e *endpoint) requestStarted(now time.Time) { e.starts = append(e.starts, now) }

// requestEnded removes the request that was sent at start.
func (e *endpoint) requestEnded(start time.Time) {
	for i, s := range e.starts {
		if s.Equal(start) {
			e.starts = append(e.starts[:i], e.starts[i+1:]...)
			return
		}
	}
}
