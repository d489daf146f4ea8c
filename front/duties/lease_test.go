package duties

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a call that is made after the lease, since the process was frozen
// between the choice of the call and the call.
func TestCallIsNotMadeAfterAFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r := w.newRunnerWith(t, "a", 1, func(s *Settings) { s.FencesChecked = false })
		p := r.performers[0]
		for range 30 {
			p.step(context.Background())
			if call, f, until, ok := p.nextCall(time.Now()); ok {
				time.Sleep(4 * time.Second)
				// The deadline's clock was frozen, too.
				p.send(context.Background(), call, f, until.Add(4*time.Second))
				break
			}
			time.Sleep(stepInterval)
		}
		if len(w.calls) != 0 || p.sending {
			t.Errorf("%d calls after the lease, sending %v", len(w.calls), p.sending)
		}
	})
}
