package duties

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/usage"
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

// leaseWorld is a world in which instances lose the store and each other, and in which
// the platform executes calls late.
type leaseWorld struct {
	*world
	t    *testing.T
	rand *rand.Rand

	// Guarded by mu of the world.
	cutOff    map[string]time.Time // from the store and the other instances, until then
	delays    bool
	confirmed map[string]time.Time // start of the last confirmed write, by instance
	sent      []leaseCall
	executed  []leaseCall
	longest   time.Duration // from the start of a confirmed write to a call
}

// leaseCall is a call by a holder at a time.
type leaseCall struct {
	holder string
	at     time.Time
}

// leasePlace is the world as one instance reaches it.
type leasePlace struct {
	*leaseWorld
	self string
}

// isCutOff reports whether an instance is cut off.
func (w *leaseWorld) isCutOff(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cutOff[name])
}

// reach waits for the store as long as a call may take, up to its end.
func (p leasePlace) reach(ctx context.Context) error {
	p.mu.Lock()
	delay := time.Duration(p.rand.Int64N(int64(100 * time.Millisecond)))
	if p.rand.IntN(10) == 0 {
		delay = 1500 * time.Millisecond
	}
	p.mu.Unlock()
	if p.isCutOff(p.self) {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

func (p leasePlace) Read(ctx context.Context, table string) (registry.Batch, error) {
	if err := p.reach(ctx); err != nil {
		return registry.Batch{}, err
	}
	return p.world.Read(ctx, table)
}

func (p leasePlace) Write(ctx context.Context, c registry.Change) (uint64, error) {
	startedAt := time.Now()
	if err := p.reach(ctx); err != nil {
		return 0, err
	}
	revision, err := p.world.Write(ctx, c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.confirmed[p.self] = startedAt
	}
	return revision, err
}

func (p leasePlace) ReportUsage(_ context.Context, f Fence, r usage.Record) error {
	p.mu.Lock()
	call := leaseCall{f.Holder, time.Now()}
	age := call.at.Sub(p.confirmed[p.self])
	p.longest = max(p.longest, age)
	if age >= defaultLease {
		p.t.Errorf("%s calls %s after its last confirmed write", f.Holder, age)
	}
	p.sent = append(p.sent, call)
	kind, delay := p.rand.IntN(4), 2*time.Second+time.Duration(p.rand.Int64N(int64(10*time.Second)))
	delayed := p.delays && kind > 0
	p.mu.Unlock()
	execute := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.executed = append(p.executed, leaseCall{f.Holder, time.Now()})
		p.windows[r.Window]++
		if known, ok := p.counts[r.Window]; ok && !maps.Equal(known, r.Counts) {
			p.t.Errorf("window %d is reported as %v and %v", r.Window, known, r.Counts)
		}
		p.counts[r.Window] = r.Counts
	}
	if delayed {
		time.AfterFunc(delay, execute)
		return errors.New("connection closed")
	}
	execute()
	return nil
}

// alternations returns how often a holder acts within the lease before which another
// one acted in between.
func alternations(calls []leaseCall) int {
	n := 0
	for i, c := range calls {
		between := false
		for j := i - 1; j >= 0 && c.at.Sub(calls[j].at) < defaultLease; j-- {
			if calls[j].holder == c.holder && between {
				n++
				break
			}
			between = between || calls[j].holder != c.holder
		}
	}
	return n
}

// Guards, where the platform does not check fencing tokens, against calls after the
// lease, holders that alternate within it, two counts for a window, a lease that is not
// renewed while calls fail, and a duty that ends.
func TestLeaseWithoutFencing(t *testing.T) {
	total, late, changes, longest := 0, 0, 0, time.Duration(0)
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			w := &leaseWorld{world: newWorld(), t: t, rand: rand.New(rand.NewPCG(seed, 1)), cutOff: map[string]time.Time{}, confirmed: map[string]time.Time{}}
			names := []string{"a", "b", "c"}
			runners := map[string]*Runner{}
			for i, name := range names {
				place := leasePlace{w, name}
				r := w.newRunnerWith(t, name, int64(i+1), func(s *Settings) { s.FencesChecked = false })
				p := r.performers[0]
				p.store, r.usage.platform = place, place
				p.rank = func() int {
					rank := 0
					for _, other := range names[:i] {
						if !w.isCutOff(other) {
							rank++
						}
					}
					return rank
				}
				runners[name] = r
				start(t, r)
			}
			for step := range 6000 {
				if step%50 == 0 {
					w.mu.Lock()
					w.delays = w.rand.IntN(2) == 0
					if w.rand.IntN(2) == 0 {
						w.cutOff[names[w.rand.IntN(3)]] = time.Now().Add(time.Duration(w.rand.Int64N(int64(12 * time.Second))))
					}
					w.mu.Unlock()
				}
				for i, from := range names {
					to := names[(i+1+step%2)%3]
					if step%5 == 0 && !w.isCutOff(from) && !w.isCutOff(to) {
						exchangeOnce(runners[from], from, int64(i+1), runners[to], to, int64((i+1+step%2)%3+1))
					}
					runners[from].usage.count(time.Now(), "team")
				}
				time.Sleep(50 * time.Millisecond)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if n := alternations(w.sent); n > 0 {
				t.Errorf("seed %d: holders alternate within the lease, %d times", seed, n)
			}
			if len(w.windows) < 40 {
				t.Errorf("seed %d: %d windows of 59 were reported", seed, len(w.windows))
			}
			for i := range w.sent[1:] {
				if w.sent[i].holder != w.sent[i+1].holder {
					changes++
				}
			}
			total, late, longest = total+len(w.sent), late+alternations(w.executed), max(longest, w.longest)
		})
	}
	if changes < 30 {
		t.Errorf("%d changes of the holder, the test shows too little", changes)
	}
	t.Logf("%d calls, %d changes of the holder, the last call %s after a write; executed late, holders alternate %d times within the lease", total, changes, longest, late)
}

// exchangeOnce passes a payload from one instance to another, and its acknowledgement.
func exchangeOnce(from *Runner, fromName string, fromStarted int64, to *Runner, toName string, toStarted int64) {
	now := time.Now()
	fromPeer, toPeer := Peer{Name: fromName, Started: fromStarted, Relation: RelationCollector}, Peer{Name: toName, Started: toStarted, Relation: RelationCollector}
	to.Receive(now, fromPeer, from.Payload(now, toPeer))
	from.Receive(now, toPeer, to.Payload(now, fromPeer))
}
