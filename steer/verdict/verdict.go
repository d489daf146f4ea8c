// Package verdict defines what is known about whether a request has run.
//
// A verdict is passed with a request through every layer and decides whether
// the request may be retried.
package verdict

import "fmt"

// Verdict is what is known about one request. The zero value is MayHaveRun, so
// that a verdict that was never set claims nothing.
type Verdict uint8

const (
	// MayHaveRun means that an endpoint may have started the request.
	MayHaveRun Verdict = iota
	// NotRun means that it is proved that no endpoint started the request.
	NotRun
	// Ran means that an endpoint has answered, so the request has run. The
	// response itself shows whether it arrived complete.
	Ran
)

// String returns the verdict as it is sent in the verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Combine returns the verdict of a request whose attempts ended with v and w:
// Ran if either ran, NotRun only if neither was started, and MayHaveRun
// otherwise.
func (v Verdict) Combine(w Verdict) Verdict {
	if v == w {
		return v
	}
	if v == Ran || w == Ran {
		return Ran
	}
	return MayHaveRun
}
