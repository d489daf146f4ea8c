// Package verdict says what is known about whether a request has run.
//
// A verdict travels with a request through every layer and decides whether the
// request may be sent again.
package verdict

import "fmt"

// Verdict is what is known about one request. The zero value is MayHaveRun,
// so that a forgotten verdict never claims more than is proved.
type Verdict uint8

const (
	// MayHaveRun means that an endpoint may have started the request.
	MayHaveRun Verdict = iota
	// NotRun means that there is proof that no endpoint started the request.
	NotRun
	// Ran means that an endpoint has answered, so the request has run. Whether
	// the answer arrived whole is told by the answer itself.
	Ran
)

// String gives the verdict as callers see it in the verdict header.
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

// Combine returns the verdict that claims less of v and w. It is the verdict of
// a request whose attempts ended with v and w.
func (v Verdict) Combine(w Verdict) Verdict {
	if v == w {
		return v
	}
	if v == Ran || w == Ran {
		return Ran
	}
	return MayHaveRun
}
