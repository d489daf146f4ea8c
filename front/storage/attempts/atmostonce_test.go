package attempts

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	totalAttempts  = 10_000
	callsPerKey    = 4
	fleetSize      = 4
	bookingsLength = 5 * time.Minute
	serviceTime    = 30 * time.Millisecond
)

// process is one instance of the fleet. It may be killed.
type process struct {
	recorder *Recorder
	table    *remoteTable
	dead     atomic.Bool
	killedAt time.Time
	cancel   context.CancelFunc
	ended    chan struct{}
}

// history counts the executions of one key and the results of its calls.
type history struct {
	executed   int
	acked      int
	notRun     int
	mayHaveRun int
	// noResponse counts calls without a response because their instance was
	// killed.
	noResponse int
	// lastCall is the time of the last call with the key, and processes are the
	// instances that were called.
	lastCall  time.Time
	processes []*process
}

// fleet is a set of instances in three regions that share one store.
type fleet struct {
	t      *testing.T
	store  *standin.Store
	faults faultRates

	mu        sync.Mutex
	random    *rand.Rand
	processes []*process
	history   map[string]*history
	started   int
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) start(slot int) *process {
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	oneWay := []time.Duration{time.Millisecond, 20 * time.Millisecond, 55 * time.Millisecond}[slot%3]
	p := &process{table: newRemoteTable(f.store, oneWay, uint64(number), f.faults), ended: make(chan struct{})}
	recorder, stop := startRecorder(f.t, DefaultSettings(), p.table, fmt.Sprint("instance-", number))
	p.recorder = recorder
	p.cancel = func() {
		stop()
		close(p.ended)
	}
	return p
}

// kill stops an instance without a shutdown and starts a replacement.
func (f *fleet) kill(slot int) {
	f.mu.Lock()
	old := f.processes[slot]
	f.mu.Unlock()
	old.killedAt = time.Now()
	old.dead.Store(true)
	old.table.dead.Store(true)
	go old.cancel()
	replacement := f.start(slot)
	f.mu.Lock()
	f.processes[slot] = replacement
	f.mu.Unlock()
}

func (f *fleet) process() *process {
	slot := f.intN(fleetSize)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[slot]
}

// call sends one caller's request with a key to a random instance.
func (f *fleet) call(key string) {
	p := f.process()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.recorder.Begin(ctx, requestFor(key))
	var v verdict.Verdict
	if err != nil {
		v = f.conflictVerdict(err)
	} else {
		v = f.forward(p, a, key)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.history[key]
	h.lastCall = time.Now()
	h.processes = append(h.processes, p)
	switch {
	case p.dead.Load():
		h.noResponse++
	case v == verdict.Ran:
		h.acked++
	case v == verdict.NotRun:
		h.notRun++
	default:
		h.mayHaveRun++
	}
}

// conflictVerdict returns the verdict for a caller whose claim failed with err.
func (f *fleet) conflictVerdict(err error) verdict.Verdict {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return verdict.NotRun
	}
	if conflict.Current.State == attempt.StateDone {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// forward sends a claimed request to an endpoint, which may or may not run it.
func (f *fleet) forward(p *process, a *Attempt, key string) verdict.Verdict {
	draw := f.intN(100)
	if p.dead.Load() {
		return verdict.MayHaveRun
	}
	if draw < 10 { // the endpoint reports that it shed the request
		a.Release()
		return verdict.NotRun
	}
	if draw < 15 { // connection reset before the endpoint ran the request; the instance can't tell
		a.Abandon()
		return verdict.MayHaveRun
	}
	f.mu.Lock()
	f.history[key].executed++
	f.mu.Unlock()
	time.Sleep(serviceTime)
	if draw < 25 { // the endpoint's response is lost
		a.Abandon()
		return verdict.MayHaveRun
	}
	if p.dead.Load() {
		return verdict.MayHaveRun
	}
	a.Finish(attempt.Outcome{Status: 200})
	return verdict.Ran
}

// injectFaults kills instances and causes outages of the store until done is
// closed.
func (f *fleet) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			f.store.SetFaults(standin.Faults{})
			return
		case <-time.After(time.Duration(500+f.intN(2500)) * time.Millisecond):
		}
		switch f.intN(4) {
		case 0, 1:
			f.kill(f.intN(fleetSize))
		case 2:
			f.outage(standin.Faults{Freeze: true})
		case 3:
			f.outage(standin.Faults{Refuse: true})
		}
	}
}

func (f *fleet) outage(faults standin.Faults) {
	f.store.SetFaults(faults)
	time.Sleep(time.Duration(100+f.intN(3000)) * time.Millisecond)
	f.store.SetFaults(standin.Faults{})
}

// run makes all attempts. Each key is called several times, often at the same
// moment, at random instances.
func (f *fleet) run() {
	for slot := range fleetSize {
		f.processes = append(f.processes, f.start(slot))
	}
	for _, p := range f.processes {
		waitReady(p.recorder)
	}
	done := make(chan struct{})
	var injection, calls sync.WaitGroup
	injection.Go(func() { f.injectFaults(done) })
	for i := range totalAttempts / callsPerKey {
		key := fmt.Sprint("booking-", i)
		f.history[key] = &history{}
		start := time.Duration(f.intN(int(bookingsLength)))
		for range callsPerKey {
			offset := time.Duration(f.intN(2)*f.intN(5000)) * time.Millisecond
			calls.Go(func() {
				time.Sleep(start + offset)
				f.call(key)
			})
		}
	}
	calls.Wait()
	close(done)
	injection.Wait()
	time.Sleep(time.Minute)
}

// stop shuts down all instances gracefully.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.cancel()
	}
	time.Sleep(time.Minute)
}

// check compares the verdicts that callers received with the executions at the
// endpoints, and with the result of one more request for each key.
func (f *fleet) check(t *testing.T) {
	var total history
	unlocked := 0
	last := f.start(0)
	defer last.cancel()
	waitReady(last.recorder)
	for key, h := range f.history {
		_, err := last.recorder.Begin(context.Background(), requestFor(key))
		f.checkKey(t, key, *h, err)
		if err == nil {
			unlocked++
		}
		total.executed += h.executed
		total.acked += h.acked
		total.notRun += h.notRun
		total.mayHaveRun += h.mayHaveRun
		total.noResponse += h.noResponse
	}
	t.Logf("%d keys, %d instances: %d executed, calls: %d acknowledged, %d not run, %d may have run, %d without response; "+
		"%d keys free again; store %+v", len(f.history), f.started, total.executed, total.acked, total.notRun, total.mayHaveRun,
		total.noResponse, unlocked, f.store.Counts())
	if unlocked == 0 || total.acked == 0 || total.notRun == 0 || total.mayHaveRun == 0 || total.noResponse == 0 {
		t.Errorf("some outcome never occurred, so the test does not cover it")
	}
}

func (f *fleet) checkKey(t *testing.T, key string, h history, lastErr error) {
	var conflict *ConflictError
	switch {
	case h.executed > 1:
		t.Errorf("%s ran %d times: %+v", key, h.executed, h)
	case h.acked > 0 && h.executed == 0:
		t.Errorf("%s was acknowledged and lost: %+v", key, h)
	case h.notRun == callsPerKey && h.executed > 0:
		t.Errorf("%s ran, and every caller got the verdict not-run: %+v", key, h)
	case h.executed > 0 && !errors.As(lastErr, &conflict):
		t.Errorf("%s ran, and the last repeat got %v: %+v", key, lastErr, h)
	case h.notRun == callsPerKey && lastErr != nil && !h.releaseMayBeLost():
		t.Errorf("%s did not run, every caller got the verdict not-run, and the key stays locked: %v", key, lastErr)
	}
}

// maxReleaseTime is longer than a release can take, including all outages in
// this test.
const maxReleaseTime = 30 * time.Second

// releaseMayBeLost reports whether an instance was killed when it may not have
// written all releases yet. The key then stays locked until its record expires.
func (h history) releaseMayBeLost() bool {
	for _, p := range h.processes {
		if p.dead.Load() && p.killedAt.Before(h.lastCall.Add(maxReleaseTime)) {
			return true
		}
	}
	return false
}

// TestAtMostOnce makes 10,000 attempts while instances are killed, responses of
// the store and of endpoints are lost, writes take effect late, and the store
// stops responding or refuses calls. No key may run more than once.
func TestAtMostOnce(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{
					t:       t,
					store:   standin.NewStore(),
					faults:  faultRates{responseLost: 5, dropped: 3, late: 3, lateBy: 20 * time.Second, refused: 2},
					random:  rand.New(rand.NewPCG(seed, 0)),
					history: make(map[string]*history),
				}
				f.run()
				f.stop()
				f.faults = faultRates{}
				f.check(t)
			})
		})
	}
}
