package broker

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// lead is a group whose slots this instance hands out. Each is a shard with
// its own lock.
type lead struct {
	// right is the end of this instance's right, on its own clock.
	right func() time.Time

	mu      sync.Mutex
	broker  *slots.Broker
	longest time.Duration
	claim   claimed
	waiters map[slots.ID]chan slots.Outcome
	closed  bool // handed over
}

// epoch returns the broker's epoch.
func (l *lead) epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.Epoch()
}

// continues reports whether an epoch follows on this one without another
// broker in between: the row was written once since, by this instance.
func (l *lead) continues(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && epoch == l.broker.Epoch()+1
}

// advance takes over the next epoch with all that is known.
func (l *lead) advance(epoch uint64, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.Advance(epoch, longest)
	l.longest = longest
}

// work runs f on the broker if this instance still has the right, and delivers
// the outcomes. It reports whether f ran.
func (l *lead) work(f func(now time.Time) []slots.Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.closed || !now.Before(l.right()) {
		return false
	}
	for _, o := range f(now) {
		l.deliver(o)
	}
	return true
}

// deliver gives an outcome to the request that waits for it. A grant that
// nobody waits for any more goes back at once.
func (l *lead) deliver(o slots.Outcome) {
	if w, ok := l.waiters[o.ID]; ok {
		delete(l.waiters, o.ID)
		w <- o
		return
	}
	if o.Grant != nil {
		l.broker.Release(slots.Release{ID: o.ID, Group: o.Grant.Group}, time.Now())
	}
}

// ask queues a request. The channel gets its outcome; it is nil when this
// instance has no right to the group.
func (l *lead) ask(a slots.Ask) <-chan slots.Outcome {
	c := make(chan slots.Outcome, 1)
	ok := l.work(func(now time.Time) []slots.Outcome {
		l.waiters[a.ID] = c
		return l.broker.Ask(a, now)
	})
	if !ok {
		return nil
	}
	return c
}

// release takes a slot or a request back.
func (l *lead) release(r releaseParams) {
	l.work(func(now time.Time) []slots.Outcome {
		if r.Answered {
			l.broker.Observe(r.Address, health.OutcomeAnswered, now)
		}
		delete(l.waiters, r.ID)
		return l.broker.Release(r.Release, now)
	})
}

// observe takes in an outcome at an endpoint.
func (l *lead) observe(address string, o health.Outcome) {
	l.work(func(now time.Time) []slots.Outcome {
		l.broker.Observe(address, o, now)
		return nil
	})
}

// close ends the handing out of slots. Waiting requests learn that there is no
// broker.
func (l *lead) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, w := range l.waiters {
		w <- slots.Outcome{ID: id, Refusal: &slots.EndedError{}}
	}
	clear(l.waiters)
}

// unheard returns the instances whose reports are missing.
func (l *lead) unheard() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.Unheard()
}
