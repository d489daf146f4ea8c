// Package ratelimit keeps what an instance knows about the rate of requests that
// an endpoint takes from all instances together, as the endpoint names it in its
// responses for as long as it needs to.
//
// The package does no I/O and takes the time as an argument.
package ratelimit

import "time"

const (
	// memory is how long a limit that no response confirms is assumed. It ends a
	// limit whose end this instance has missed, for example during a partition.
	memory = 30 * time.Second
	// ReportPeriod is how long after a response what it said is reported to peers:
	// the time of a few exchanges, so that one may be lost.
	ReportPeriod = 2500 * time.Millisecond
)

// Limit is what a response says about its endpoint's limit.
type Limit struct {
	// Named is whether the endpoint names a limit.
	Named bool
	// PerSecond is the limit in requests per second, 0 or more.
	PerSecond float64
}

// Knowledge is what an instance knows about one endpoint's limit. The zero value
// is an endpoint that has named none.
type Knowledge struct {
	limit     Limit
	learnedAt time.Time // when a response last said so
}

// Limit returns the limit in force.
func (k Knowledge) Limit(now time.Time) Limit {
	if now.Sub(k.learnedAt) > memory {
		return Limit{}
	}
	return k.limit
}

// AfterResponse returns the knowledge after a response to a request that was
// sent at sentAt. Responses may overtake each other: a limit is raised or lifted
// only by the response to a request that was sent after the limit was learned.
func (k Knowledge) AfterResponse(sentAt, now time.Time, l Limit) Knowledge {
	known := k.Limit(now)
	raised := known.Named && (!l.Named || l.PerSecond > known.PerSecond)
	if raised && !sentAt.After(k.learnedAt) || !known.Named && !l.Named {
		return k
	}
	return Knowledge{limit: l, learnedAt: now}
}

// AfterReport returns the knowledge after a peer has reported what a response
// said at a time. The latest response counts.
func (k Knowledge) AfterReport(at time.Time, l Limit) Knowledge {
	if !at.After(k.learnedAt) {
		return k
	}
	return Knowledge{limit: l, learnedAt: at}
}

// Age returns the time since a response last said so, and whether peers are to
// be told.
func (k Knowledge) Age(now time.Time) (age time.Duration, reported bool) {
	age = now.Sub(k.learnedAt)
	return age, age <= ReportPeriod
}

// Expired reports whether the knowledge need not be kept.
func (k Knowledge) Expired(now time.Time) bool {
	_, reported := k.Age(now)
	return !reported && !k.Limit(now).Named
}
