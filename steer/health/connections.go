package health

import "time"

const (
	// DefaultFreshFor is how long after its last response a connection may
	// carry a request that is not idempotent.
	DefaultFreshFor = 2 * time.Second
	// DefaultReusableFor is how long after its last response a connection may
	// carry an idempotent request.
	DefaultReusableFor = 15 * time.Second
)

// ConnectionRules bounds the time for which an idle connection may be reused.
type ConnectionRules struct {
	// FreshFor is the longest idle time before a request that is not
	// idempotent.
	FreshFor time.Duration
	// ReusableFor is the longest idle time before an idempotent request.
	ReusableFor time.Duration
}

// DefaultConnectionRules returns the default rules.
func DefaultConnectionRules() ConnectionRules {
	return ConnectionRules{FreshFor: DefaultFreshFor, ReusableFor: DefaultReusableFor}
}

// Connections decides which connections to one endpoint may be reused.
//
// When a request on one connection times out, all connections without a
// response since that request was sent are suspected, because whatever lost
// the state of one connection may have lost the state of all. In the zero
// value no connection is suspected. It is not safe for concurrent use.
type Connections struct {
	suspectedUntil time.Time
}

// RecordTimeout records that a request sent at sentAt got no response in time.
func (c *Connections) RecordTimeout(sentAt time.Time) {
	if sentAt.After(c.suspectedUntil) {
		c.suspectedUntil = sentAt
	}
}

// Suspected reports whether a connection with its last response at lastAnswer
// must be closed without being used again.
func (c *Connections) Suspected(lastAnswer time.Time) bool {
	return !lastAnswer.After(c.suspectedUntil)
}

// Trusted reports whether an idle connection with its last response at
// lastAnswer may carry a request at now.
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
