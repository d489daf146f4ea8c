package health

import "time"

const (
	// DefaultInitialBackoff is the backoff after an endpoint's first failure.
	DefaultInitialBackoff = time.Second
	// DefaultMaxBackoff is the longest backoff.
	DefaultMaxBackoff = 30 * time.Second
	// DefaultSlowStart is the time in which an endpoint in slow start reaches
	// its full number of slots.
	DefaultSlowStart = 10 * time.Second
	// DefaultReportTTL is how long a health report is valid.
	DefaultReportTTL = 10 * time.Second
	// breaksBeforeBackoff is the number of consecutive broken or timed-out
	// exchanges after which an endpoint goes into backoff.
	breaksBeforeBackoff = 3
)

// EndpointRules holds the parameters by which outcomes and reports change an
// endpoint's state.
type EndpointRules struct {
	// InitialBackoff and MaxBackoff bound the time without requests after a
	// failure. It doubles with each consecutive failure.
	InitialBackoff, MaxBackoff time.Duration
	// SlowStart is the time in which the limit grows from one slot to all
	// slots.
	SlowStart time.Duration
	// ReportTTL is how long a report is valid.
	ReportTTL time.Duration
}

// DefaultEndpointRules returns the default rules.
func DefaultEndpointRules() EndpointRules {
	return EndpointRules{
		InitialBackoff: DefaultInitialBackoff, MaxBackoff: DefaultMaxBackoff,
		SlowStart: DefaultSlowStart, ReportTTL: DefaultReportTTL,
	}
}

// Endpoint is the health state of one endpoint. The zero value is a healthy
// endpoint that is not in slow start. It is not safe for concurrent use.
type Endpoint struct {
	slowStartAt  time.Time // start of the last slow start
	backoffUntil time.Time
	backoff      time.Duration // last backoff; 0 after a success
	brokenInRow  int           // consecutive broken or timed-out exchanges
	leaving      bool
	lastAnswer   time.Time // last outcome that proved it healthy

	reportedUnhealthy bool
	reportExpires     time.Time
}

// BeginSlowStart starts the slow start at now.
func (e *Endpoint) BeginSlowStart(now time.Time) { e.slowStartAt = now }

// SetLeaving marks the endpoint as leaving. This can't be undone.
func (e *Endpoint) SetLeaving() { e.leaving = true }

// Leaving reports whether the endpoint is leaving.
func (e *Endpoint) Leaving() bool { return e.leaving }

// Observe records an outcome that this instance saw itself. An endpoint that
// answers that it is leaving gets the longest backoff. If it still answers
// after that, it has come back and goes through slow start.
func (e *Endpoint) Observe(r EndpointRules, o Outcome, now time.Time) {
	switch o {
	case OutcomeAnswered, OutcomeProbed, OutcomeStaleConnection:
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
		// The endpoint is alive. The errors themselves are judged per version
		// during a traffic shift (package shift).
		e.brokenInRow = 0
	}
}

// recordAnswer records a proof that the endpoint answers. After a backoff it
// starts the slow start. An answer during the backoff, to a request sent
// before it, does not end the backoff.
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

// startBackoff starts a backoff twice as long as the last one.
func (e *Endpoint) startBackoff(r EndpointRules, now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	e.backoff = min(max(2*e.backoff, r.InitialBackoff), r.MaxBackoff)
	e.backoffUntil = now.Add(e.backoff)
	e.brokenInRow = 0
}

// Report records a health report about the endpoint. Reports may be late or
// wrong.
func (e *Endpoint) Report(r EndpointRules, unhealthy bool, now time.Time) {
	e.reportedUnhealthy = unhealthy
	e.reportExpires = now.Add(r.ReportTTL)
}

// InBackoff reports whether the endpoint gets no requests because of failures
// that this instance saw itself.
func (e *Endpoint) InBackoff(now time.Time) bool { return now.Before(e.backoffUntil) }

// Suspected reports whether a valid report says that the endpoint is unhealthy
// and no later outcome of this instance contradicts it.
func (e *Endpoint) Suspected(r EndpointRules, now time.Time) bool {
	if !e.reportedUnhealthy || !now.Before(e.reportExpires) {
		return false
	}
	return e.lastAnswer.Before(e.reportExpires.Add(-r.ReportTTL))
}

// Limit returns how many of the endpoint's slots may be used at now: none
// during backoff or while it is leaving, one after a backoff until it answers,
// and a growing number during slow start.
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
