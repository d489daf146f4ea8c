package placing

import (
	"math"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

const (
	// slowdownWeight is the weight of one observation in an endpoint's slowdown.
	slowdownWeight = 0.3
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.25
	// maxSlowdown bounds what is believed of a slow endpoint.
	maxSlowdown = 30
)

// endpoint is what is known of one incarnation.
type endpoint struct {
	catalog.Endpoint
	region string
	hash   uint64

	// starts are the moments at which requests of this instance that are still
	// running there were sent.
	starts []time.Time
	// peerRequests are the requests of other instances there, by instance.
	peerRequests map[string]int
	// reportedRequests is what the endpoint itself said at toldAt of the requests of other
	// instances.
	reportedRequests int
	reportedAt       time.Time
	warm             map[uint64]time.Time
	// everUsed says that some instance of the region has sent it a request.
	everUsed bool

	slowdown        float64
	failures        float64
	decayedAt       time.Time // when slowdown and failures were last brought up to date
	connectFailures int       // failures to connect in a row
	backoffUntil    time.Time
	probing         bool // one request is to find out whether it is back

	coldUntil      time.Time
	coldTokens     float64
	coldRefilledAt time.Time
}

// cold says whether the endpoint is cold at now.
func (e *endpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// running returns the requests of all instances there, as far as known. The
// endpoint's own word counts while it is newer than the other instances'.
func (e *endpoint) running(now time.Time, r Rules) int {
	if now.Sub(e.reportedAt) <= r.MaxLoadAge {
		return len(e.starts) + e.reportedRequests
	}
	n := len(e.starts)
	for _, other := range e.peerRequests {
		n += other
	}
	return n
}

// setReportedRequests takes in the endpoint's own word on how many requests it has. own is the
// number of this instance's among them.
func (e *endpoint) setReportedRequests(now time.Time, requests, own int) {
	if requests < 0 {
		return
	}
	e.reportedRequests, e.reportedAt = max(0, requests-own), now
}

// decay forgets a part of what outcomes said, by the time since they came.
func (e *endpoint) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(e.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	e.slowdown = 1 + (e.slowdown-1)*factor
	e.failures *= factor
	e.decayedAt = now
}

// slowness returns how much longer than usual the endpoint takes. A request
// that has run for longer than expected counts before it has ended.
func (e *endpoint) slowness(now time.Time, usual float64) float64 {
	s := e.slowdown
	for _, start := range e.starts {
		s = max(s, now.Sub(start).Seconds()/(2*usual))
	}
	return min(s, maxSlowdown)
}

// warmthOf returns what is known of an object there. home says that the endpoint
// is the object's home.
func (e *endpoint) warmthOf(object uint64, home bool, now time.Time, r Rules) warmth {
	if sent, ok := e.warm[object]; ok && now.Sub(sent) <= r.WarmTTL {
		return warmthWarm
	}
	if home {
		return warmthHome
	}
	return warmthCold
}

// markWarm notes that an object was sent there and says whether that is news.
func (e *endpoint) markWarm(object uint64, now time.Time, r Rules) bool {
	sent, ok := e.warm[object]
	e.warm[object] = now
	e.everUsed = true
	e.evictOldest(now, r)
	return !ok || now.Sub(sent) > r.WarmTTL/2
}

// evictOldest forgets the object that was sent longest ago, if there are too many.
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

// takeColdToken takes the right to send one request to a cold endpoint. rate is in
// requests a second, for this instance.
func (e *endpoint) takeColdToken(now time.Time, rate float64) bool {
	e.refillCold(now, rate)
	if e.coldTokens < 1 {
		return false
	}
	e.coldTokens--
	return true
}

// refillCold brings the tokens for a cold endpoint up to now; one is kept.
func (e *endpoint) refillCold(now time.Time, rate float64) {
	if e.coldRefilledAt.IsZero() {
		e.coldTokens = 1
	} else {
		e.coldTokens = min(1, e.coldTokens+rate*now.Sub(e.coldRefilledAt).Seconds())
	}
	e.coldRefilledAt = now
}

// requestStarted notes a request sent at now.
func (e *endpoint) requestStarted(now time.Time) { e.starts = append(e.starts, now) }

// requestEnded forgets the request that was sent at start.
func (e *endpoint) requestEnded(start time.Time) {
	for i, s := range e.starts {
		if s.Equal(start) {
			e.starts = append(e.starts[:i], e.starts[i+1:]...)
			return
		}
	}
}
