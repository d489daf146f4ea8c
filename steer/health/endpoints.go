package health

import "time"

const (
	// DefaultInitialBackoff is how long an endpoint gets no work after its first
	// failure to answer.
	DefaultInitialBackoff = time.Second
	// DefaultMaxBackoff bounds the growth of that time.
	DefaultMaxBackoff = 30 * time.Second
	// DefaultSlowStart is the time over which a cold endpoint comes up to its
	// full number of slots.
	DefaultSlowStart = 10 * time.Second
	// DefaultReportTTL is how long a report counts.
	DefaultReportTTL = 10 * time.Second
	// breaksBeforeBackoff is the number of broken exchanges in a row after which an
	// endpoint rests.
	breaksBeforeBackoff = 3
)

// EndpointRules says how outcomes and reports move an endpoint's state.
type EndpointRules struct {
	// InitialBackoff and MaxBackoff bound the time without work after a failure;
	// it doubles with each failure in a row.
	InitialBackoff, MaxBackoff time.Duration
	// SlowStart is the time from one slot to all slots.
	SlowStart time.Duration
	// ReportTTL is how long a report counts.
	ReportTTL time.Duration
}

// DefaultEndpointRules returns the rules used when the settings name none.
func DefaultEndpointRules() EndpointRules {
	return EndpointRules{
		InitialBackoff: DefaultInitialBackoff, MaxBackoff: DefaultMaxBackoff,
		SlowStart: DefaultSlowStart, ReportTTL: DefaultReportTTL,
	}
}

// Endpoint is what is known about one endpoint. The zero value is an endpoint
// that has long been in use. It is not safe for concurrent use.
type Endpoint struct {
	slowStartAt  time.Time // when it began or began again to get work
	backoffUntil time.Time
	backoff      time.Duration // last rest given
	brokenInRow  int           // broken exchanges in a row
	leaving      bool
	lastAnswer   time.Time // last outcome that proved it well

	reportedUnhealthy bool
	reportExpires     time.Time
}

// BeginSlowStart says that the endpoint begins to get work at now with cold caches.
func (e *Endpoint) BeginSlowStart(now time.Time) { e.slowStartAt = now }

// SetLeaving says that the endpoint is leaving. That is final.
func (e *Endpoint) SetLeaving() { e.leaving = true }

// Leaving reports whether the endpoint is leaving.
func (e *Endpoint) Leaving() bool { return e.leaving }

// Observe takes in an outcome that an instance saw itself. An endpoint that
// says that it is leaving rests for the longest time; one that is asked again
// after that and still answers has come back and starts cold.
func (e *Endpoint) Observe(r EndpointRules, o Outcome, now time.Time) {
	switch o {
	case OutcomeAnswered, OutcomeProbed, OutcomeSilentConnection:
		e.recordAnswer(now)
	case OutcomeUnreachable:
		e.startBackoff(r, now)
	case OutcomeLeaving:
		e.backoff = r.MaxBackoff
		e.backoffUntil = now.Add(e.backoff)
	case OutcomeBroken, OutcomeTimedOut:
		e.brokenInRow++
		if e.brokenInRow >= breaksBeforeBackoff {
			e.startBackoff(r, now)
		}
	case OutcomeFailed, OutcomeShed:
		// The endpoint lives. What its failures mean is judged by shifts.
		e.brokenInRow = 0
	}
}

// recordAnswer notes a proof that the endpoint answers. After a rest it starts cold;
// an answer during the rest, to a request sent before it, does not end it.
func (e *Endpoint) recordAnswer(now time.Time) {
	if e.InBackoff(now) {
		return
	}
	e.brokenInRow = 0
	e.lastAnswer = now
	if e.backoff > 0 {
		e.backoff = 0
		e.backoffUntil = time.Time{}
		e.slowStartAt = now
	}
}

// startBackoff gives the endpoint a rest, twice as long as the one before.
func (e *Endpoint) startBackoff(r EndpointRules, now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	e.backoff = min(max(2*e.backoff, r.InitialBackoff), r.MaxBackoff)
	e.backoffUntil = now.Add(e.backoff)
	e.brokenInRow = 0
}

// Report takes in a report about the endpoint, which may be late or wrong.
func (e *Endpoint) Report(r EndpointRules, unhealthy bool, now time.Time) {
	e.reportedUnhealthy = unhealthy
	e.reportExpires = now.Add(r.ReportTTL)
}

// InBackoff reports whether the endpoint gets no work because the instance saw
// it fail.
func (e *Endpoint) InBackoff(now time.Time) bool { return now.Before(e.backoffUntil) }

// Suspected reports whether only a report speaks against the endpoint: one that
// is not outdated and that no own outcome has belied since.
func (e *Endpoint) Suspected(r EndpointRules, now time.Time) bool {
	if !e.reportedUnhealthy || !now.Before(e.reportExpires) {
		return false
	}
	return e.lastAnswer.Before(e.reportExpires.Add(-r.ReportTTL))
}

// Limit returns how many of the endpoint's slots may be used at now: none
// while it rests or leaves, one while a rest has ended but no answer came yet,
// and a number that grows to all of them while it is cold.
func (e *Endpoint) Limit(r EndpointRules, slots int, now time.Time) int {
	switch {
	case e.leaving || e.InBackoff(now):
		return 0
	case e.backoff > 0:
		return min(1, slots)
	case e.slowStartAt.IsZero() || r.SlowStart <= 0:
		return slots
	}
	elapsed := now.Sub(e.slowStartAt)
	if elapsed >= r.SlowStart {
		return slots
	}
	limit := 1 + int(int64(slots)*int64(elapsed)/int64(r.SlowStart))
	return min(limit, slots)
}
