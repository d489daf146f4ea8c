// Package pace limits the requests at an endpoint that starts or recovers, by how it
// answers. Each instance of a fleet keeps a Limit of its own for each such endpoint;
// docs/design/endpoint-pace.md says how the limits of many instances add up.
//
// The package does no I/O and takes the time as an argument.
package pace

import (
	"math"
	"time"
)

const (
	// initial is the limit at first, over all instances. With a single request at a
	// time, no answer shows how the endpoint runs two.
	initial = 2
	// idleSpread is the time over which all instances may begin to send, one after
	// the other, to an endpoint of which nothing is known to run there.
	idleSpread = 5 * time.Second
	// servingSpread is the same for an endpoint that is known to run requests.
	servingSpread = 2 * time.Second
	// spreadsToEnd is after how many spreads without a shed or a failure the limit
	// ends, so that an endpoint with little traffic does not keep it for ever.
	spreadsToEnd = 2
	// slowHold is how long slow answers keep the limit from ending. An endpoint that is
	// slow for longer is a slow endpoint, not one that starts.
	slowHold = 10 * time.Second
	// ratioWeight is the weight of one answer in the mean ratio. One request with
	// seven times the usual work must not count as a slow endpoint.
	ratioWeight = 0.3
	// maxRatio bounds the ratio of one answer for the same reason.
	maxRatio = 3
	// minRatio is the lowest ratio that says something about the endpoint's speed,
	// since some requests need no work at all.
	minRatio = 0.05
	// growRatio is the mean ratio up to which the limit grows.
	growRatio = 1.5
	// slowRatio is the mean ratio from which the limit falls.
	slowRatio = 2.2
	// fallInterval is the shortest time between two falls. The requests that were at
	// the endpoint at the first one tell of the same cause.
	fallInterval = 500 * time.Millisecond
)

// Outcome is how one request at the endpoint ended.
type Outcome uint8

const (
	// Answered means that the endpoint answered.
	Answered Outcome = iota
	// Failed means that it answered with a failure of its own.
	Failed
	// Shed means that it refused the request without running it.
	Shed
	// Unreachable means that no connection could be made or no response arrived.
	Unreachable
)

// Change is how an observation changed the belief about an endpoint.
type Change uint8

const (
	// Unchanged means that nothing worth a log line has changed.
	Unchanged Change = iota
	// Reached means that the limit has reached the slots and ended.
	Reached
	// SetBack means that the limit has fallen.
	SetBack
)

// Place is an instance's place in the order in which instances begin to send to an
// endpoint.
type Place struct {
	// Rank counts from 0.
	Rank int
	// Fleet is the number of instances, at least 1.
	Fleet int
}

// Limit is the limit on the requests of all instances at one endpoint, as one
// instance knows it. The zero value limits nothing. It is not safe for concurrent
// use.
type Limit struct {
	slots     int
	allowed   float64
	from      time.Time // from which time instances may begin to send
	servingAt time.Time // since when it is known to run requests, zero if it is not
	fellAt    time.Time
	ratio     float64 // mean ratio of the time in work to the usual
	load      int     // requests there, by the last answer
}

// Begin starts the limit for an endpoint with a number of slots. The order of the
// instances counts from a time on, which is the end of the endpoint's cold period.
func (l *Limit) Begin(from time.Time, slots int) {
	*l = Limit{slots: max(1, slots), allowed: initialOf(slots), from: from, ratio: 1}
}

// initialOf returns the limit at first.
func initialOf(slots int) float64 { return float64(max(1, min(slots, initial))) }

// End ends the limit.
func (l *Limit) End() { *l = Limit{} }

// Active reports whether the endpoint is limited.
func (l *Limit) Active(now time.Time) bool {
	if l.slots > 0 && l.elapsed(now, spreadsToEnd) >= spreadsToEnd && (l.ratio <= growRatio || now.Sub(l.from) >= slowHold) {
		l.End()
	}
	return l.slots > 0
}

// Allowed returns how many requests of all instances may be at the endpoint, and
// false if there is no limit.
func (l *Limit) Allowed(now time.Time) (int, bool) {
	if !l.Active(now) {
		return 0, false
	}
	return int(l.allowed), true
}

// elapsed returns how much of the spread has passed, up to a maximum.
func (l *Limit) elapsed(now time.Time, most float64) float64 {
	part := now.Sub(l.from).Seconds() / idleSpread.Seconds()
	if !l.servingAt.IsZero() {
		part = max(part, now.Sub(l.servingAt).Seconds()/servingSpread.Seconds())
	}
	return min(max(0, part), most)
}

// Admits reports whether the limit allows an instance one more request. own are its
// requests at the endpoint, running those of all instances as far as it knows. The
// first instances of the order share the limit. Later ones begin one after the other
// as time passes, so that an endpoint that the first ones do not use is found.
func (l *Limit) Admits(now time.Time, p Place, own, running int) bool {
	if !l.Active(now) {
		return true
	}
	if l.setServing(now, running-own); l.slots == 0 {
		return true
	}
	allowed := int(l.allowed)
	first := min(allowed, p.Fleet)
	if p.Rank >= max(first, int(math.Ceil(l.elapsed(now, 1)*float64(p.Fleet)))) {
		return false
	}
	return running < allowed && own < (allowed+first-1)/first
}

// setServing records how many requests of other instances are known to be at the
// endpoint. It carries them, so this instance's limit is not below that and one more.
func (l *Limit) setServing(now time.Time, others int) {
	if others <= 0 {
		return
	}
	l.markServing(now)
	switch {
	case now.Sub(l.fellAt) < fallInterval:
	case others >= l.slots && now.After(l.from):
		l.End()
	default:
		l.allowed = max(l.allowed, float64(min(others+1, l.slots)))
	}
}

// markServing records that the endpoint is known to run requests.
func (l *Limit) markServing(now time.Time) {
	if l.servingAt.IsZero() {
		l.servingAt = later(now, l.from)
	}
}

// SetLoad records the number of requests at the endpoint at the time of an answer,
// the answered one included.
func (l *Limit) SetLoad(now time.Time, requests int) {
	l.load = requests
	if l.Active(now) && requests > 0 {
		l.setServing(now, requests-1)
	}
}

// Observe records how a request ended. ratio is its time in work compared with the
// usual of its kind. The load at that time is set before by SetLoad.
func (l *Limit) Observe(now time.Time, ratio float64, o Outcome) Change {
	if !l.Active(now) {
		return Unchanged
	}
	switch o {
	case Answered:
		return l.answered(now, ratio)
	case Unreachable:
		l.Begin(later(now, l.from), l.slots)
		l.allowed = 1
		l.fellAt = now
		return SetBack
	default:
		l.from, l.servingAt = later(now, l.from), time.Time{}
		return l.fall(now, 1)
	}
}

// answered records an answer. The limit grows by one for each, which doubles it in
// the time of one request, but not beyond twice the load that the answers show: they
// say nothing about a higher one.
func (l *Limit) answered(now time.Time, ratio float64) Change {
	if ratio >= minRatio {
		l.ratio += ratioWeight * (min(ratio, maxRatio) - l.ratio)
	}
	switch {
	case l.ratio > slowRatio:
		// An endpoint that is slow with so few requests is slow for another reason.
		return l.fall(now, initialOf(l.slots))
	case l.ratio > growRatio || l.load > l.slots:
		return Unchanged
	}
	l.markServing(now)
	l.allowed = max(l.allowed, min(l.allowed+1, float64(2*l.load)))
	if l.allowed < float64(l.slots) {
		return Unchanged
	}
	l.End()
	return Reached
}

// fall halves the limit, but not below a floor, unless it has just fallen.
func (l *Limit) fall(now time.Time, floor float64) Change {
	if now.Sub(l.fellAt) < fallInterval || l.allowed <= floor {
		return Unchanged
	}
	l.allowed = max(floor, l.allowed/2)
	l.ratio = min(l.ratio, growRatio)
	l.fellAt = now
	return SetBack
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
