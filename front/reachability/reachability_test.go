package reachability

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// Guards against failures of a cut of this instance that count, failures beside
// reached endpoints that don't, and failures that wait for ever.
func TestFailuresAreSettled(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(*reach.Monitor)
		after   time.Duration // when the failure is settled
		counts  bool
	}{
		"endpoint reached": {func(m *reach.Monitor) { m.ConnectionEnded(time.Now(), "a", true) }, probeCheckInterval, true},
		"cut off": {func(m *reach.Monitor) {
			for i := range 3 {
				m.ConnectionEnded(time.Now(), fmt.Sprint(i), false)
			}
			m.ProbeEnded(time.Now(), m.Probe(time.Now()), 0, false)
		}, probeCheckInterval, false},
		"unknown": {func(*reach.Monitor) {}, maxFailureWait, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				m := reach.New(reach.DefaultRules())
				w := New(m, nil, placing.New(placing.DefaultRules(), placing.Locality{Self: "i"}), log)
				failedAt := time.Now()
				settled, counts, after := 0, false, time.Duration(0)
				w.WhenReached(failedAt, func(c bool) { settled, counts, after = settled+1, c, time.Since(failedAt) })
				time.Sleep(time.Millisecond)
				c.observe(m)
				ctx, cancel := context.WithTimeout(t.Context(), maxFailureWait+time.Second)
				defer cancel()
				if err := w.Run(ctx); err != nil {
					t.Fatal(err)
				}
				if settled != 1 || counts != c.counts || after < c.after || after > c.after+2*probeCheckInterval {
					t.Errorf("settled %d times, counts %t after %s, want once, %t after %s", settled, counts, after, c.counts, c.after)
				}
			})
		})
	}
}
