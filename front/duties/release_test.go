package duties

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// handOver stops a holder at a time within a window, after a grace time, and returns
// how long after its end each of the windows was reported whose report was due after
// the stop. leave is called when the stop begins.
func handOver(t *testing.T, fencesChecked bool, phase, grace time.Duration, leave func(*Runner)) (ages []time.Duration, holders []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		adjust := func(s *Settings) { s.FencesChecked = fencesChecked }
		a, b := w.newRunnerWith(t, "a", 1, adjust), w.newRunnerWith(t, "b", 2, adjust)
		ranks := map[string]int{"a": 0, "b": 1}
		for _, r := range []*Runner{a, b} {
			p := r.performers[0]
			p.rank = func() int {
				w.mu.Lock()
				defer w.mu.Unlock()
				return ranks[p.settings.Holder]
			}
		}
		start(t, b)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = a.Run(ctx) }()
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if ctx.Err() == nil && time.Now().UnixMilli()%500 == 0 {
					exchangeOnce(a, "a", 1, b, "b", 2)
					exchangeOnce(b, "b", 2, a, "a", 1)
				}
			}
		}
		run(20*time.Second + phase)
		stopAt := time.Now()
		w.mu.Lock()
		ranks["a"], ranks["b"] = -1, 0
		w.mu.Unlock()
		leave(a)
		run(grace)
		a.Leave()
		exchangeOnce(a, "a", 1, b, "b", 2)
		cancel()
		run(20 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for window, at := range w.deliveredAt {
			if end := usage.End(window, testWindow); end.Add(5 * time.Second).After(stopAt) {
				ages = append(ages, at.Sub(end))
			}
		}
		for _, f := range w.calls {
			holders = append(holders, f.Holder)
		}
	})
	return ages, holders
}

// Guards against a holder that gives up the duty though there is no other instance.
func TestOnlyInstanceKeepsTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r := w.newRunner(t, "a", 1)
		start(t, r)
		time.Sleep(22 * time.Second)
		r.Release()
		w.mu.Lock()
		before := len(w.windows)
		w.mu.Unlock()
		time.Sleep(22 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := len(w.windows) - before; n < 4 {
			t.Errorf("%d windows were reported in 22 s", n)
		}
	})
}

// Guards against a successor that waits until the action of a holder that has stopped
// is overdue.
func TestStoppedHolderHandsOver(t *testing.T) {
	for _, fencesChecked := range []bool{true, false} {
		latest := time.Duration(0)
		for phase := time.Duration(0); phase < testWindow; phase += 250 * time.Millisecond {
			for _, grace := range []time.Duration{400 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
				ages, holders := handOver(t, fencesChecked, phase, grace, (*Runner).Release)
				if len(ages) < 3 || holders[len(holders)-1] != "b" {
					t.Errorf("phase %s, grace %s: %d reports, holders %v", phase, grace, len(ages), holders)
				}
				for _, age := range ages {
					latest = max(latest, age)
				}
			}
		}
		if latest > 6*time.Second {
			t.Errorf("fencing %v: a window is reported %s after its end", fencesChecked, latest)
		}
		t.Logf("fencing %v: a window is reported at most %s after its end", fencesChecked, latest)
	}
}
