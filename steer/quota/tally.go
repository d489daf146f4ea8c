package quota

import (
	"time"
)

// tallySteps is the number of steps into which Window is divided.
const tallySteps = 10

// tally counts what was let through in the last Window.
type tally struct {
	counts [tallySteps]int
	begun  time.Time // steps count from here, so that a clock that is set changes none
	step   int64     // the newest step
}

// add counts one.
func (t *tally) add(now time.Time) {
	t.advance(now)
	t.counts[t.step%tallySteps]++
}

// sum returns the count.
func (t *tally) sum(now time.Time) int {
	t.advance(now)
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}

// recent returns the count of the newest two steps.
func (t *tally) recent(now time.Time) int {
	t.advance(now)
	return t.counts[t.step%tallySteps] + t.counts[(t.step+tallySteps-1)%tallySteps]
}

// advance drops the steps that lie further back than Window.
func (t *tally) advance(now time.Time) {
	if t.begun.IsZero() {
		t.begun = now
	}
	step := int64(now.Sub(t.begun) / (Window / tallySteps))
	if step-t.step >= tallySteps {
		t.counts = [tallySteps]int{}
		t.step = step
	}
	for t.step < step {
		t.step++
		t.counts[t.step%tallySteps] = 0
	}
}
