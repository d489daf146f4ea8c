// Package health keeps what is known about endpoints and about the connections
// to them.
//
// It decides from outcomes that the instance saw itself and from reports that
// lag or mislead. It does no I/O: the clock is passed in.
package health

// Outcome is how one exchange with an endpoint ended, as the instance saw it.
type Outcome uint8

const (
	// OutcomeAnswered means that a whole answer came, of any status below 500.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that a whole answer came with a status from 500 up.
	OutcomeFailed
	// OutcomeShed means that the endpoint said that it did not run the request.
	OutcomeShed
	// OutcomeSilentConnection means that a connection went silent while a new
	// one was answered: the connection is to blame and the endpoint is not.
	OutcomeSilentConnection
	// OutcomeTimedOut means that a request on a new connection got no answer in
	// time, while a probe was answered: the endpoint lives but is slow.
	OutcomeTimedOut
	// OutcomeUnreachable means that a new connection was refused or silent.
	OutcomeUnreachable
	// OutcomeBroken means that the connection broke in mid-exchange.
	OutcomeBroken
	// OutcomeLeaving means that the endpoint said that it is leaving.
	OutcomeLeaving
	// OutcomeProbed means that a probe on a new connection was answered.
	OutcomeProbed
)

// String names the outcome for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeFailed:
		return "failed"
	case OutcomeShed:
		return "shed"
	case OutcomeSilentConnection:
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
