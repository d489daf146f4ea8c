package duties

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// world is a store with one row, and a platform.
type world struct {
	mu       sync.Mutex
	row      []byte
	revision uint64
	storeErr error
	answer   func(f Fence) error
	calls    []Fence
	at       []time.Time
	reads    int
	writes   int
	// hidesRevision lets a write return no revision.
	hidesRevision bool
	windows       map[int64]int // delivered calls
	counts        map[int64]usage.Counts
	// deliveredAt is when the windows were first delivered.
	deliveredAt map[int64]time.Time
}

func newWorld() *world {
	return &world{windows: map[int64]int{}, counts: map[int64]usage.Counts{}, deliveredAt: map[int64]time.Time{}}
}

func (w *world) Read(context.Context, string) (registry.Batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	b := registry.Batch{Revision: w.revision}
	if w.revision > 0 {
		b.Rows = []registry.Row{{Key: string(KindUsage), Value: w.row, Revision: w.revision}}
	}
	return b, w.storeErr
}

func (w *world) Write(_ context.Context, c registry.Change) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	switch {
	case w.storeErr != nil:
		return 0, w.storeErr
	case c.Conditions[0].Revision != w.revision:
		return 0, &registry.ConflictError{Conditions: c.Conditions}
	}
	w.revision++
	w.row = c.Rows[0].Value
	if w.hidesRevision {
		return 0, nil
	}
	return w.revision, nil
}

func (w *world) Kind(name string) (Kind, bool) { return Kind(name), name == string(KindUsage) }

func (w *world) ReportUsage(_ context.Context, f Fence, r usage.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls, w.at = append(w.calls, f), append(w.at, time.Now())
	if w.answer != nil {
		if err := w.answer(f); err != nil {
			return err
		}
	}
	w.windows[r.Window]++
	if w.deliveredAt[r.Window].IsZero() {
		w.deliveredAt[r.Window] = time.Now()
	}
	w.counts[r.Window] = r.Counts
	return nil
}

// set replaces the answer of the platform and the error of the store.
func (w *world) set(answer func(Fence) error, storeErr error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer, w.storeErr = answer, storeErr
}

// newRunner returns a runner of rank 0.
func (w *world) newRunner(t *testing.T, name string, started int64) *Runner {
	t.Helper()
	return w.newRunnerWith(t, name, started, func(*Settings) {})
}

// newRunnerWith returns a runner of rank 0 whose settings adjust changes.
func (w *world) newRunnerWith(t *testing.T, name string, started int64, adjust func(*Settings)) *Runner {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := Settings{Names: []string{string(KindUsage)}, CallsPerSecond: 50, FencesChecked: true, Usage: UsageSettings{Window: 5}}
	adjust(&s)
	r, err := New(s, Instance{
		Name: name, Started: started, FailureDomain: "d", Store: w, Platform: w, Rank: func() int { return 0 },
		Meter: noop.NewMeterProvider().Meter(""), Log: log,
	})
	if err != nil || r == nil {
		t.Fatalf("%v, %v", r, err)
	}
	return r
}

// start runs a runner until the test ends.
func start(t *testing.T, r *Runner) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against a runner, and so calls, without a known duty.
func TestNoRunnerWithoutADuty(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, s := range []Settings{{}, {Names: []string{"other"}}, {Names: []string{string(KindUsage)}}} {
		r, err := New(s, Instance{Platform: newWorld(), Meter: noop.NewMeterProvider().Meter(""), Log: log})
		if r != nil || err != nil {
			t.Errorf("%+v: %v, %v", s, r, err)
		}
	}
	var off *Runner
	off.Receive(time.Now(), Peer{Name: "b"}, json.RawMessage(`{}`))
	if p := off.Payload(time.Now(), Peer{Name: "b"}); p != nil {
		t.Errorf("payload %s", p)
	}
}

// Guards against a call under a token that the platform has refused, and against a
// duty that ends there.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.set(func(f Fence) error {
			if f.Token < 10 {
				return &FencedError{Token: f.Token}
			}
			return nil
		}, nil)
		start(t, w.newRunner(t, "a", 1))
		time.Sleep(60 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		refused := map[uint64]bool{}
		for _, f := range w.calls {
			if refused[f.Token] {
				t.Fatalf("token %d was used again: %v", f.Token, w.calls)
			}
			refused[f.Token] = f.Token < 10
		}
		if len(w.windows) < 5 {
			t.Errorf("%d windows were reported", len(w.windows))
		}
	})
}

// Guards against a flood of calls while the platform fails, a window that is given up,
// and one that holds up the others.
func TestFailedCallsAreRepeatedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.set(func(Fence) error { return &StatusError{Status: 503} }, nil)
		start(t, w.newRunner(t, "a", 1))
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		calls := len(w.calls)
		w.mu.Unlock()
		if calls < 5 || calls > 20 {
			t.Errorf("%d calls in 30 s, want one in 2 s", calls)
		}
		w.set(nil, nil)
		time.Sleep(15 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for i, at := range w.at[1:] {
			if at.Sub(w.at[i]) < time.Second/50 {
				t.Fatalf("two calls within %s", at.Sub(w.at[i]))
			}
		}
		first, last := int64(1<<62), int64(0)
		for window, n := range w.windows {
			first, last = min(first, window), max(last, window)
			if n != 1 {
				t.Errorf("window %d was delivered %d times", window, n)
			}
		}
		if n := last - first + 1; int(n) != len(w.windows) || n < 6 {
			t.Errorf("%d windows of %d were reported", len(w.windows), n)
		}
	})
}

// Guards against new records while the store is unreachable, and against lost windows
// after it.
func TestStoreOutageDelaysReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		start(t, w.newRunner(t, "a", 1))
		time.Sleep(20 * time.Second)
		w.set(nil, errors.New("unreachable"))
		time.Sleep(3 * time.Second) // calls that are recorded are made
		w.mu.Lock()
		before := len(w.calls)
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		if n := len(w.calls) - before; n > 0 {
			t.Errorf("%d calls without the store", n)
		}
		w.mu.Unlock()
		w.set(nil, nil)
		time.Sleep(15 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		first, last := int64(1<<62), int64(0)
		for window := range w.windows {
			first, last = min(first, window), max(last, window)
		}
		if n := int(last - first + 1); n != len(w.windows) || n < 9 {
			t.Errorf("%d windows of %d were reported", len(w.windows), n)
		}
	})
}

// Guards against counts that are lost with a report, sent without end, or not sent to
// a process that has started again.
func TestPayloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		a, b := w.newRunner(t, "a", 1), w.newRunner(t, "b", 2)
		toA, toB := Peer{Name: "a", Started: 1, Relation: RelationCollector}, Peer{Name: "b", Started: 2, Relation: RelationCollector}
		total := func(r *Runner) int64 {
			return r.usage.counter.Total(usage.Window(time.Now(), 5*time.Second))["team"]
		}
		a.usage.count(time.Now(), "team")
		if a.Payload(time.Now(), toB) == nil { // lost
			t.Fatal("no payload")
		}
		if p := a.Payload(time.Now().Add(payloadInterval/2), toB); p != nil {
			t.Errorf("a second payload within %s: %s", payloadInterval, p)
		}
		time.Sleep(payloadInterval)
		p := a.Payload(time.Now(), toB)
		b.Receive(time.Now(), toA, p)
		b.Receive(time.Now(), toA, p)
		if n := total(b); n != 1 {
			t.Errorf("count %d, want 1", n)
		}
		a.Receive(time.Now(), toB, b.Payload(time.Now(), toA)) // the acknowledgement
		time.Sleep(payloadInterval)
		if p := a.Payload(time.Now(), toB); p != nil {
			t.Errorf("a payload without news: %s", p)
		}
		a.usage.count(time.Now(), "team")
		again := w.newRunner(t, "b", 3)
		toAgain := Peer{Name: "b", Started: 3, Relation: RelationCollector}
		again.Receive(time.Now(), toA, a.Payload(time.Now(), toAgain))
		if n := total(again); n != 2 {
			t.Errorf("count %d at the new process, want 2", n)
		}
		for _, bad := range []string{`null`, `7`, `{"d":{"usage":{"x":[]}}}`, `{"d":{"usage":{"x":{"s":[{"i":"x","w":{"y":1}}]}}}}`, `{"d":{"other":{"x":1}}}`} {
			again.Receive(time.Now(), toA, json.RawMessage(bad))
		}
		if n := total(again); n != 2 {
			t.Errorf("count %d after bad payloads, want 2", n)
		}
	})
}
