package quota

import (
	"time"
)

// tallySteps is the number of steps into which Window is divided.
const tallySteps = 10

// ring holds a value for each step of the last Window.
type ring[T any] struct {
	values [tallySteps]T
	begun  time.Time // steps count from here, so that a clock that is set changes none
	step   int64     // the newest step
}

// advance brings the ring up to now. Steps in which nothing was kept have fill.
func (r *ring[T]) advance(now time.Time, fill T) {
	step := int64(now.Sub(r.begun) / (Window / tallySteps))
	if r.begun.IsZero() {
		r.begun, step, r.step = now, 0, -tallySteps
	}
	r.step = max(r.step, step-tallySteps)
	for r.step < step {
		r.step++
		*r.newest(0) = fill
	}
}

// newest returns the value of the i-th newest step.
func (r *ring[T]) newest(i int) *T {
	return &r.values[(r.step-int64(i)+2*tallySteps)%tallySteps]
}

// stepsOf returns the number of newest steps that a span touches.
func stepsOf(span time.Duration) int {
	const step = Window / tallySteps
	return int(min((span+step-1)/step, tallySteps))
}

// tally counts what was let through in the last Window.
type tally struct{ ring[int] }

// add counts one.
func (t *tally) add(now time.Time) {
	t.advance(now, 0)
	*t.newest(0)++
}

// sum returns the count.
func (t *tally) sum(now time.Time) int { return t.last(now, tallySteps) }

// recent returns the count of the newest steps that a span touches.
func (t *tally) recent(now time.Time, span time.Duration) int { return t.last(now, stepsOf(span)) }

// last returns the count of the newest steps.
func (t *tally) last(now time.Time, steps int) int {
	t.advance(now, 0)
	n := 0
	for i := range steps {
		n += *t.newest(i)
	}
	return n
}

// trail keeps the last value of each step.
type trail struct{ ring[float64] }

// keep keeps a value.
func (t *trail) keep(now time.Time, value float64) {
	t.advance(now, value)
	*t.newest(0) = value
}

// ago returns the value that was kept at a span before now, or the oldest.
func (t *trail) ago(now time.Time, span time.Duration) float64 {
	t.advance(now, *t.newest(0))
	return *t.newest(min(stepsOf(span), tallySteps-1))
}
