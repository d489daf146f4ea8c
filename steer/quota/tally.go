package quota

import (
	"time"
)

// windowSteps is the number of steps into which Window is divided.
const windowSteps = 10

// ring holds a value for each step of the last Window.
type ring[T any] struct {
	values [windowSteps]T
	start  time.Time // steps count from here, so that setting the clock does not shift them
	step   int64     // the newest step
}

// advance moves the ring forward to now and sets skipped steps to fill.
func (r *ring[T]) advance(now time.Time, fill T) {
	step := int64(now.Sub(r.start) / (Window / windowSteps))
	if r.start.IsZero() {
		r.start, step, r.step = now, 0, -windowSteps
	}
	r.step = max(r.step, step-windowSteps)
	for r.step < step {
		r.step++
		*r.newest(0) = fill
	}
}

// newest returns the value of the i-th newest step.
func (r *ring[T]) newest(i int) *T {
	return &r.values[(r.step-int64(i)+2*windowSteps)%windowSteps]
}

// stepsIn returns the number of steps, from the newest back, that a span
// overlaps.
func stepsIn(span time.Duration) int {
	const step = Window / windowSteps
	return int(min((span+step-1)/step, windowSteps))
}

// tally counts the requests admitted in the last Window.
type tally struct{ ring[int] }

// add counts one request.
func (t *tally) add(now time.Time) {
	t.advance(now, 0)
	*t.newest(0)++
}

// sum returns the count over the whole window.
func (t *tally) sum(now time.Time) int { return t.sumNewest(now, windowSteps) }

// recent returns the count over the newest steps that a span overlaps.
func (t *tally) recent(now time.Time, span time.Duration) int { return t.sumNewest(now, stepsIn(span)) }

// sumNewest returns the count over the given number of newest steps.
func (t *tally) sumNewest(now time.Time, steps int) int {
	t.advance(now, 0)
	n := 0
	for i := range steps {
		n += *t.newest(i)
	}
	return n
}

// history keeps the last value of each step.
type history struct{ ring[float64] }

// set stores the value for the current step.
func (t *history) set(now time.Time, value float64) {
	t.advance(now, value)
	*t.newest(0) = value
}

// ago returns the value as of a span before now, or the oldest one kept.
func (t *history) ago(now time.Time, span time.Duration) float64 {
	t.advance(now, *t.newest(0))
	return *t.newest(min(stepsIn(span), windowSteps-1))
}
