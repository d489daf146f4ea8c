package health

import "time"

const (
	// DefaultFreshFor is how long after its last answer a connection may carry
	// a request that is not idempotent.
	DefaultFreshFor = 2 * time.Second
	// DefaultReusableFor is how long after its last answer a connection may
	// carry an idempotent request.
	DefaultReusableFor = 15 * time.Second
)

// ConnectionRules says how long an idle connection is trusted.
type ConnectionRules struct {
	// FreshFor bounds the idle time before a request that is not idempotent.
	FreshFor time.Duration
	// ReusableFor bounds the idle time before any request.
	ReusableFor time.Duration
}

// DefaultConnectionRules returns the rules used when the settings name none.
func DefaultConnectionRules() ConnectionRules {
	return ConnectionRules{FreshFor: DefaultFreshFor, ReusableFor: DefaultReusableFor}
}

// Connections decides which connections to one endpoint are trusted.
//
// One silent connection throws doubt on every connection that has not been
// answered since the silent request was sent, because whatever lost track of
// one of them may have lost track of all. The zero value has no doubts. It is
// not safe for concurrent use.
type Connections struct {
	suspectedUntil time.Time
}

// RecordTimeout notes that a request sent at sentAt got no answer in time.
func (c *Connections) RecordTimeout(sentAt time.Time) {
	if sentAt.After(c.suspectedUntil) {
		c.suspectedUntil = sentAt
	}
}

// Suspected reports whether a connection last answered at lastAnswer must be
// closed unused.
func (c *Connections) Suspected(lastAnswer time.Time) bool {
	return !lastAnswer.After(c.suspectedUntil)
}

// Trusted reports whether an idle connection last answered at lastAnswer may
// carry a request at now.
func (c *Connections) Trusted(r ConnectionRules, lastAnswer, now time.Time, idempotent bool) bool {
	if c.Suspected(lastAnswer) {
		return false
	}
	idle := now.Sub(lastAnswer)
	if idempotent {
		return idle <= r.ReusableFor
	}
	return idle <= r.FreshFor
}
