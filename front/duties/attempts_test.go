package duties

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// Guards against reports without the requests that endpoints work on for long.
func TestLongRequestsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r := w.newRunner(t, "a", 1)
		start(t, r)
		truth := map[int64]int64{}
		const n = 1200
		for i := range n {
			begins := time.Now()
			if i < n-300 {
				truth[usage.Window(begins, testWindow)]++
			}
			a := r.StartAttempt(begins, "team")
			a.Sent()
			time.AfterFunc(time.Duration(i%12)*time.Second, func() { a.End(true) })
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for window, want := range truth {
			if got := w.counts[window]["team"]; got != want {
				t.Errorf("window %d: reported %d, want %d", window, got, want)
			}
		}
		if late, _ := r.usage.counts(); late != 0 {
			t.Errorf("%d late counts", late)
		}
	})
}

// Guards against counts of attempts that have no connection yet, against attempts that
// are counted twice or after they have proved not to have run, and against counts
// that leave less than 3 s for the exchange.
func TestAttemptIsCountedOnce(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name            string
		begins, sent    time.Duration // after the start; sent 0 means never
		end             time.Duration
		notRun          bool
		earliest        time.Duration // of the count; 0 means none
		latest          time.Duration
		countedNotToRun int64
	}{
		{"short", 0, 1 * ms, 300 * ms, false, 300 * ms, 300 * ms, 0},
		{"refused", 0, 1 * ms, 300 * ms, true, 0, 0, 0},
		{"refused before the window's end", 0, 1 * ms, 5900 * ms, true, 0, 0, 0},
		{"long", 0, 1 * ms, 9 * time.Second, false, 6 * time.Second, 6250 * ms, 0},
		{"refused late", 0, 1 * ms, 9 * time.Second, true, 6 * time.Second, 6250 * ms, 1},
		{"at the end of the window", 4900 * ms, 4901 * ms, 9 * time.Second, false, 6400 * ms, 6750 * ms, 0},
		{"waits for a connection", 0, 0, 9 * time.Second, true, 0, 0, 0},
		{"waits at the endpoint", 7 * time.Second, 1 * ms, 20 * time.Second, false, 11 * time.Second, 11250 * ms, 0},
		{"ends before it was expected to begin", 7 * time.Second, 1 * ms, 2 * time.Second, false, 2 * time.Second, 2 * time.Second, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			zero := time.Now() // the start of a window
			counted := []time.Duration{}
			s := newAttempts(testWindow, func(began time.Time, _ string) {
				counted = append(counted, time.Since(zero))
				if want := zero.Add(min(c.begins, c.end)); !began.Equal(want) {
					t.Errorf("%s: counted as begun after %s, want %s", c.name, began.Sub(zero), want.Sub(zero))
				}
			})
			a := s.add(zero.Add(c.begins), "team")
			for time.Since(zero) < 20*time.Second {
				if c.sent > 0 && a.sentAt.Load() == nil && time.Since(zero) >= c.sent {
					a.Sent()
				}
				if time.Since(zero) == c.end {
					a.End(!c.notRun)
				}
				s.countLong(time.Now())
				time.Sleep(50 * ms)
			}
			if c.end >= 20*time.Second {
				a.End(!c.notRun)
			}
			switch {
			case c.latest == 0 && len(counted) > 0:
				t.Errorf("%s: counted after %v", c.name, counted)
			case c.latest > 0 && (len(counted) != 1 || counted[0] < c.earliest || counted[0] > c.latest):
				t.Errorf("%s: counted after %v, want once from %s to %s", c.name, counted, c.earliest, c.latest)
			}
			if s.first != nil || s.last != nil || s.notRunCount() != c.countedNotToRun {
				t.Errorf("%s: attempts are kept, or %d counted have not run, want %d", c.name, s.notRunCount(), c.countedNotToRun)
			}
		})
	}
}

// Guards against a list that loses attempts when they end in any order.
func TestAttemptsEndInAnyOrder(t *testing.T) {
	got, want := map[string]int{}, map[string]int{}
	s := newAttempts(testWindow, func(_ time.Time, team string) { got[team]++ })
	var open []*Attempt
	for i := range 500 {
		team := fmt.Sprint(i % 7)
		want[team]++
		open = append(open, s.add(time.Now(), team))
		if i%3 == 0 {
			k := (i * 31) % len(open)
			open[k].End(true)
			open = append(open[:k], open[k+1:]...)
		}
	}
	for _, a := range open {
		a.End(true)
	}
	if !maps.Equal(got, want) || s.first != nil || s.last != nil {
		t.Errorf("%v, want %v", got, want)
	}
	var none *Runner
	a := none.StartAttempt(time.Now(), "team")
	a.Sent()
	a.End(true)
}
