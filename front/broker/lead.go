package broker

import (
	"slices"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// lead is a group whose slots this instance hands out. Each is a shard with
// its own lock.
type lead struct {
	epoch uint64
	// right is the end of this instance's right, on its own clock.
	right func() time.Time
	// started is when this instance began to hand out the group's slots.
	started time.Time

	mu      sync.Mutex
	broker  *slots.Broker
	row     brokers.Row // as last read
	seen    map[string]time.Time
	waiters map[slots.ID]chan slots.Outcome
	closed  bool // handed over

	mustNote    bool      // grants of this instance must be noted
	lastUnnoted time.Time // bound of the last one that was not
}

// newLead makes the broker of a row's epoch. Before it hands out anything, it
// hears the instances that may hold grants of earlier epochs.
func newLead(r brokers.Row, right func() time.Time, weight func(team string) float64) *lead {
	now := time.Now()
	settings := slots.DefaultSettings()
	settings.LongestGrant = max(r.LongestGrant, r.PreviousLongestGrant)
	return &lead{
		epoch: r.Epoch, right: right, started: now,
		broker:  slots.NewBroker(r.Group, r.Epoch, settings, r.MissingReports, weight, now),
		seen:    make(map[string]time.Time),
		waiters: make(map[slots.ID]chan slots.Outcome),
	}
}

// update takes in the row as read and the document's endpoints.
func (l *lead) update(r brokers.Row, endpoints []slots.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row = r
	l.broker.RaiseLongestGrant(r.LongestGrant)
	l.broker.SetEndpoints(endpoints, time.Now())
}

// confirm takes in what was written to the row.
func (l *lead) confirm(r brokers.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row = r
}

// serves reports whether an instance may be given slots: it stands in the
// group's row, so that a successor knows to ask it.
func (l *lead) serves(instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.row.Members, instance)
}

// longest returns the bound of grants that stands in the row.
func (l *lead) longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.LongestGrant
}

// wanted returns the row as it should be now.
func (l *lead) wanted(row brokers.Row, members []string, longest time.Duration, self string) brokers.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	row.LongestGrant = max(row.LongestGrant, longest)
	keep := row.LongestGrant + slots.DefaultGuard
	for _, name := range members {
		l.seen[name] = now
	}
	row.Members = slices.DeleteFunc(union(row.Members, members), func(name string) bool {
		at, ok := l.seen[name]
		if !ok {
			l.seen[name] = now // known from the row only
		}
		return ok && now.Sub(at) > keep
	})
	if len(l.broker.MissingReports()) == 0 || now.Sub(l.started) > row.PreviousLongestGrant+slots.DefaultGuard {
		row.MissingReports = nil
		row.WaivedReport = ""
	}
	l.mustNote = slices.ContainsFunc(members, func(name string) bool {
		return name != self && slices.Contains(l.row.Members, name)
	})
	carried := row.Epoch > 1 && now.Sub(l.started) <= row.PreviousLongestGrant+slots.DefaultGuard
	row.UnrecordedGrants = !l.mustNote || carried || now.Before(l.lastUnnoted.Add(slots.DefaultGuard))
	return row
}

// mayUseUnnoted reports whether a grant of this instance may be used although
// no other instance noted it, and takes down that it is.
func (l *lead) mayUseUnnoted(until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mustNote || !l.row.UnrecordedGrants {
		return false
	}
	if until.After(l.lastUnnoted) {
		l.lastUnnoted = until
	}
	return true
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
func (l *lead) ask(a slots.Request) <-chan slots.Outcome {
	c := make(chan slots.Outcome, 1)
	ok := l.work(func(now time.Time) []slots.Outcome {
		l.waiters[a.ID] = c
		return l.broker.Submit(a, now)
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

// holders returns the instances that may hold grants. It is final after close.
func (l *lead) holders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.Holders()
}

// isClosed reports whether close was called.
func (l *lead) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
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
	return l.broker.MissingReports()
}
