package broker

import (
	"slices"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// tenure is this instance's time as the broker of a group, for one epoch. Each
// tenure has its own lock.
type tenure struct {
	epoch uint64
	// validUntil returns the end of this instance's lease, on its own clock.
	validUntil func() time.Time
	// startedAt is when this instance became the group's broker.
	startedAt time.Time

	mu       sync.Mutex
	broker   *slots.Broker
	row      brokers.Row // as last read or written
	lastSeen map[string]time.Time
	waiters  map[slots.ID]chan slots.Outcome
	closed   bool // set by close, when the group is handed over or the tenure ends

	mustRecord     bool      // grants to this instance must be recorded by a peer
	lastUnrecorded time.Time // latest expiry of the grants used without a record
}

// newTenure creates the broker of a row's epoch. The broker grants no slots
// until it has the reports of the instances that may hold grants of earlier
// epochs.
func newTenure(r brokers.Row, validUntil func() time.Time, weight func(team string) float64) *tenure {
	now := time.Now()
	settings := slots.DefaultSettings()
	settings.LongestGrant = max(r.LongestGrant, r.PreviousLongestGrant)
	return &tenure{
		epoch: r.Epoch, validUntil: validUntil, startedAt: now,
		broker:   slots.NewBroker(r.Group, r.Epoch, settings, r.MissingReports, weight, now),
		lastSeen: make(map[string]time.Time),
		waiters:  make(map[slots.ID]chan slots.Outcome),
	}
}

// update applies the row as read and the document's endpoints.
func (t *tenure) update(r brokers.Row, endpoints []slots.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row = r
	t.broker.RaiseLongestGrant(r.LongestGrant)
	t.broker.SetEndpoints(endpoints, time.Now())
}

// rowWritten applies the row as written.
func (t *tenure) rowWritten(r brokers.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row = r
}

// mayGrantTo reports whether an instance may be granted slots. It must be in
// the group's row, so that a successor knows to request its report.
func (t *tenure) mayGrantTo(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.row.Members, instance)
}

// longestGrant returns the maximum duration of a grant that the row states.
func (t *tenure) longestGrant() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row.LongestGrant
}

// desiredRow returns the content that the row should have now.
func (t *tenure) desiredRow(row brokers.Row, members []string, longest time.Duration, self string) brokers.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	row.LongestGrant = max(row.LongestGrant, longest)
	retention := row.LongestGrant + slots.DefaultGuard
	for _, name := range members {
		t.lastSeen[name] = now
	}
	row.Members = slices.DeleteFunc(union(row.Members, members), func(name string) bool {
		at, ok := t.lastSeen[name]
		if !ok {
			t.lastSeen[name] = now // known only from the row
		}
		return ok && now.Sub(at) > retention
	})
	if len(t.broker.MissingReports()) == 0 || now.Sub(t.startedAt) > row.PreviousLongestGrant+slots.DefaultGuard {
		row.MissingReports = nil
		row.WaivedReport = ""
	}
	t.mustRecord = slices.ContainsFunc(members, func(name string) bool {
		return name != self && slices.Contains(t.row.Members, name)
	})
	grantsFromEarlierEpochs := row.Epoch > 1 && now.Sub(t.startedAt) <= row.PreviousLongestGrant+slots.DefaultGuard
	row.UnrecordedGrants = !t.mustRecord || grantsFromEarlierEpochs || now.Before(t.lastUnrecorded.Add(slots.DefaultGuard))
	return row
}

// allowUnrecorded reports whether a grant to this instance may be used although
// no peer has recorded it. If so, it remembers the grant's expiry.
func (t *tenure) allowUnrecorded(until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mustRecord || !t.row.UnrecordedGrants {
		return false
	}
	if until.After(t.lastUnrecorded) {
		t.lastUnrecorded = until
	}
	return true
}

// runIfValid runs f on the broker if the tenure is open and this instance's
// lease is valid, and delivers the outcomes. It reports whether f ran.
func (t *tenure) runIfValid(f func(now time.Time) []slots.Outcome) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.closed || !now.Before(t.validUntil()) {
		return false
	}
	for _, o := range f(now) {
		t.deliver(o)
	}
	return true
}

// deliver passes an outcome to the waiting request. A grant without a waiting
// request is released at once.
func (t *tenure) deliver(o slots.Outcome) {
	if w, ok := t.waiters[o.ID]; ok {
		delete(t.waiters, o.ID)
		w <- o
		return
	}
	if o.Grant != nil {
		t.broker.Release(slots.Release{ID: o.ID, Group: o.Grant.Group}, time.Now())
	}
}

// submit queues a request and returns the channel for its outcome. The channel
// is nil when this instance may not act as the broker.
func (t *tenure) submit(req slots.Request) <-chan slots.Outcome {
	outcome := make(chan slots.Outcome, 1)
	ok := t.runIfValid(func(now time.Time) []slots.Outcome {
		t.waiters[req.ID] = outcome
		return t.broker.Submit(req, now)
	})
	if !ok {
		return nil
	}
	return outcome
}

// release frees a slot or cancels a waiting request.
func (t *tenure) release(r releaseParams) {
	t.runIfValid(func(now time.Time) []slots.Outcome {
		if r.Answered {
			t.broker.Observe(r.Address, health.OutcomeAnswered, now)
		}
		delete(t.waiters, r.ID)
		return t.broker.Release(r.Release, now)
	})
}

// observe records an outcome at an endpoint.
func (t *tenure) observe(address string, o health.Outcome) {
	t.runIfValid(func(now time.Time) []slots.Outcome {
		t.broker.Observe(address, o, now)
		return nil
	})
}

// holders returns the instances that may hold grants. The list is final after
// close.
func (t *tenure) holders() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broker.Holders()
}

// isClosed reports whether close was called.
func (t *tenure) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// close stops granting slots. Waiting requests get an error.
func (t *tenure) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for id, w := range t.waiters {
		w <- slots.Outcome{ID: id, Refusal: &slots.EndedError{}}
	}
	clear(t.waiters)
}

// missingReports returns the instances whose reports are missing.
func (t *tenure) missingReports() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broker.MissingReports()
}
