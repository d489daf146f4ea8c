// Package reach decides whether an instance is cut off from all endpoints, by the
// connections that it makes.
//
// Only new connections are evidence: in some cuts the open ones live on. Failed
// connections raise a suspicion, and a probe of endpoints in all failure domains
// decides, since some endpoints may have ended at the same moment.
//
// The package does no I/O and takes the time as an argument.
package reach

import (
	"sync"
	"time"
)

// Rules are the limits by which a Monitor decides.
type Rules struct {
	// Failures is the number of endpoints that must have failed to accept a
	// connection, since one last did, for a probe.
	Failures int
	// SilentFor is how long no endpoint must have responded, while requests run,
	// for a probe.
	SilentFor time.Duration
	// FewProbes is the number of endpoints that are probed after a silence, after
	// failures of fewer endpoints, and to find the end of a cut.
	FewProbes int
	// ManyProbes is the number of endpoints none of which must accept a connection
	// for this instance to count as cut off.
	ManyProbes int
	// ProbeInterval is the shortest time between two probes.
	ProbeInterval time.Duration
}

// DefaultRules returns the rules used when none are set.
func DefaultRules() Rules {
	return Rules{
		Failures:      3,
		SilentFor:     time.Second,
		FewProbes:     2,
		ManyProbes:    16,
		ProbeInterval: 500 * time.Millisecond,
	}
}

// Monitor decides for one instance. It is safe for concurrent use.
type Monitor struct {
	rules Rules

	mu          sync.Mutex
	failed      map[string]bool // addresses that failed since one accepted a connection
	failures    int             // connections that failed since then
	failedSince time.Time       // when the first of them did
	running     int             // requests at endpoints
	quietSince  time.Time       // of the last response, or the first running request
	reachedAt   time.Time       // when an endpoint last responded or accepted a connection
	probing     bool
	probedAt    time.Time
	cut         bool
	cutSince    time.Time
}

// New returns a monitor of an instance that reaches endpoints.
func New(r Rules) *Monitor { return &Monitor{rules: r, failed: make(map[string]bool)} }

// ConnectionEnded records that a connection to an endpoint was accepted or failed.
func (m *Monitor) ConnectionEnded(now time.Time, address string, accepted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if accepted {
		m.reachedAt = now
		m.forgetFailures()
		return
	}
	if m.failures == 0 {
		m.failedSince = now
	}
	m.failures++
	if len(m.failed) < m.rules.Failures {
		m.failed[address] = true
	}
}

// forgetFailures is called when an endpoint has accepted a connection.
func (m *Monitor) forgetFailures() {
	clear(m.failed)
	m.failures = 0
}

// RequestStarted records that a request was sent to an endpoint.
func (m *Monitor) RequestStarted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == 0 {
		m.quietSince = now
	}
	m.running++
}

// RequestEnded records that a request has ended, and whether the endpoint
// responded.
func (m *Monitor) RequestEnded(now time.Time, responded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	if responded {
		m.quietSince, m.reachedAt = now, now
	}
}

// Probe returns the number of endpoints to probe now, 0 for none. After a probe,
// ProbeEnded must be called.
func (m *Monitor) Probe(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing || now.Sub(m.probedAt) < m.rules.ProbeInterval {
		return 0
	}
	n := 0
	switch {
	case m.cut:
		n = m.rules.FewProbes
	case len(m.failed) >= m.rules.Failures:
		n = m.rules.ManyProbes
	case m.failures >= m.rules.Failures:
		n = m.rules.FewProbes // there may be fewer endpoints
	case m.running > 0 && now.Sub(m.quietSince) >= m.rules.SilentFor && now.Sub(m.probedAt) >= m.rules.SilentFor:
		n = m.rules.FewProbes
	}
	m.probing = n > 0
	return n
}

// Change is a change of what a monitor believes.
type Change int

// Changes.
const (
	// Unchanged means that nothing has changed.
	Unchanged Change = iota
	// CutOff means that this instance reaches no endpoint.
	CutOff
	// Restored means that it reaches endpoints again.
	Restored
)

// ProbeEnded records the result of a probe of a number of endpoints, all that there
// are if complete is set.
func (m *Monitor) ProbeEnded(now time.Time, probed, accepted int, complete bool) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing, m.probedAt = false, now
	switch {
	case accepted > 0:
		m.forgetFailures()
		if m.cut {
			m.cut = false
			return Restored
		}
	case m.cut || probed == 0:
	case probed >= m.rules.ManyProbes || complete:
		m.cut, m.cutSince = true, m.failedSince
		return CutOff
	default:
		m.probedAt = time.Time{} // the next, larger probe must not wait
	}
	return Unchanged
}

// Evidence says what is known about this instance's reach since some time.
type Evidence int

// Evidences.
const (
	// Unknown means that no endpoint has been reached since, and none need be.
	Unknown Evidence = iota
	// Reached means that an endpoint has been reached since.
	Reached
	// NotReached means that this instance is cut off.
	NotReached
)

// Since returns what is known since a time. A failure says something about an
// endpoint or a version only if this instance has reached an endpoint since.
func (m *Monitor) Since(t time.Time) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.cut:
		return NotReached
	case m.reachedAt.After(t):
		return Reached
	}
	return Unknown
}

// IsCutOff reports whether this instance reaches no endpoint, and since when.
func (m *Monitor) IsCutOff() (bool, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut, m.cutSince
}
