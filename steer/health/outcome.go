// Package health tracks the health of endpoints and of the connections to
// them.
//
// It decides from outcomes that the instance saw itself and from reports that
// may be late or wrong. It does no I/O; the caller passes in the time.
package health

// Outcome is how one exchange with an endpoint ended, as the instance saw it.
type Outcome uint8

const (
	// OutcomeAnswered means that a complete response with a status below 500
	// arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that a complete response with a status of 500 or
	// above arrived.
	OutcomeFailed
	// OutcomeShed means that the endpoint answered that it did not run the
	// request.
	OutcomeShed
	// OutcomeStaleConnection means that a request on an existing connection
	// timed out while a new connection was answered. The fault is the
	// connection's, not the endpoint's.
	OutcomeStaleConnection
	// OutcomeTimedOut means that a request on a new connection timed out while
	// a probe was answered: the endpoint is alive but slow.
	OutcomeTimedOut
	// OutcomeUnreachable means that a new connection was refused or timed out.
	OutcomeUnreachable
	// OutcomeBroken means that the connection broke during the exchange.
	OutcomeBroken
	// OutcomeLeaving means that the endpoint answered that it is leaving.
	OutcomeLeaving
	// OutcomeProbed means that a probe on a new connection was answered.
	OutcomeProbed
)

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeFailed:
		return "failed"
	case OutcomeShed:
		return "shed"
	case OutcomeStaleConnection:
		return "silent-connection"
	case OutcomeTimedOut:
		return "timed-out"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeBroken:
		return "broken"
	case OutcomeLeaving:
		return "leaving"
	case OutcomeProbed:
		return "probed"
	default:
		return "unknown"
	}
}
