package waiting

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"
)

// fixture is a room whose requests start while there are slots.
type fixture struct {
	*Room
	lock    sync.Mutex // guards the fields below
	slots   int
	started []string
	errs    map[string]error
}

func newFixture(t *testing.T) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	room, err := New(noop.NewMeterProvider().Meter(""), log)
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{Room: room, errs: make(map[string]error)}
}

// wait starts a request that waits, with a goroutine of its own.
func (f *fixture) wait(ctx context.Context, name string, rank int, latest time.Duration) {
	go func() {
		err := f.Wait(ctx, Request{Service: "s", Rank: rank, LatestStart: time.Now().Add(latest), Start: func() error {
			f.lock.Lock()
			defer f.lock.Unlock()
			if f.slots == 0 {
				return ErrNoRoom
			}
			f.slots--
			f.started = append(f.started, name)
			return nil
		}})
		f.lock.Lock()
		defer f.lock.Unlock()
		f.errs[name] = err
	}()
	synctest.Wait()
}

// free makes room for one request, which a wake-up follows only if wake is set.
func (f *fixture) free(wake bool) {
	f.lock.Lock()
	f.slots = 1
	f.lock.Unlock()
	if wake {
		f.Wake("s")
	}
	synctest.Wait()
}

// Guards against a room that is not noticed, and against starts out of order.
func TestRequestsStartByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.wait(t.Context(), "low", 2, time.Second)
		f.wait(t.Context(), "late", 0, 2*time.Second)
		f.wait(t.Context(), "early", 0, time.Second)
		f.free(true)
		f.free(false) // found by the timer
		time.Sleep(400 * time.Millisecond)
		f.lock.Lock()
		if !slices.Equal(f.started, []string{"early", "late"}) {
			t.Errorf("started: %v", f.started)
		}
		f.lock.Unlock()
		time.Sleep(time.Second)
		f.lock.Lock()
		defer f.lock.Unlock()
		var refused *RefusedError
		if !errors.As(f.errs["low"], &refused) || refused.RetryAfter <= 0 {
			t.Errorf("request that could not start in time: %v", f.errs["low"])
		}
	})
}

// Guards against requests that start after their caller has left or while the
// instance stops, and against ones that stay in the queue.
func TestWaitEndsWithTheCallerAndTheInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, leave := context.WithCancel(t.Context())
		f.wait(ctx, "left", 0, 4*time.Second)
		f.wait(t.Context(), "stopped", 1, 4*time.Second)
		leave()
		f.Close()
		synctest.Wait()
		f.free(true)
		f.lock.Lock()
		defer f.lock.Unlock()
		if len(f.started) > 0 || !errors.Is(f.errs["left"], context.Canceled) || !errors.Is(f.errs["stopped"], ErrClosed) {
			t.Errorf("started: %v; %v", f.started, f.errs)
		}
		if f.total != 0 || f.queues["s"].Len() != 0 {
			t.Errorf("%d requests still wait", f.total)
		}
		time.Sleep(time.Second) // the timer ends
	})
}
