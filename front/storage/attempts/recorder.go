package attempts

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// Request identifies the request that a claim is for.
type Request struct {
	// Key is the idempotency key with its scope.
	Key attempt.ScopedKey
	// Digest is a digest of the request. A repeated request has the same digest.
	Digest string
}

// Recorder claims idempotency keys and records the outcomes of requests. Run
// must be running while it is used.
type Recorder struct {
	settings Settings
	table    storage.Table
	keys     rowKeys
	instance string
	log      *logrus.Entry
	metrics  *metrics
	inFlight *inFlightRecords
	cache    *recordCache
	health   *storeHealth
	epoch    *epochState
	wakeup   chan struct{}

	mu       sync.Mutex
	group    *attempt.Group
	waiting  map[*attempt.Change]*claim
	stopping bool
}

// New returns a recorder for one environment. The parameter instance is the
// name of this process.
func New(settings Settings, table storage.Table, environment, instance string, meter metric.Meter, log logrus.FieldLogger) (*Recorder, error) {
	m, err := newMetrics(meter)
	if err != nil {
		return nil, err
	}
	return &Recorder{
		settings: settings,
		table:    table,
		keys:     rowKeys{environment: environment},
		instance: instance,
		log:      log.WithField("prefix", "attempts"),
		metrics:  m,
		inFlight: newInFlightRecords(),
		cache:    newRecordCache(),
		health:   newStoreHealth(),
		epoch:    newEpochState(settings.EpochLength),
		wakeup:   make(chan struct{}, 1),
		group:    attempt.NewGroup(settings.Group, time.Now()),
		waiting:  make(map[*attempt.Change]*claim),
	}, nil
}

// claim is a claim whose caller waits for the result.
type claim struct {
	change *attempt.Change
	// result is buffered and receives exactly one result, unless the claim is
	// abandoned.
	result chan claimResult
	// abandoned is set if the caller no longer waits for the result.
	abandoned bool
}

type claimResult struct {
	version uint64
	err     error
}

// Begin claims the key of a request and returns once the claim is in the table;
// the request may then be sent. It returns *ConflictError or *UnavailableError;
// in both cases this call has not made the request run.
func (r *Recorder) Begin(ctx context.Context, q Request) (*Attempt, error) {
	a, err := r.claimKey(ctx, q)
	r.metrics.countClaim(err)
	return a, err
}

func (r *Recorder) claimKey(ctx context.Context, q Request) (*Attempt, error) {
	key := r.keys.record(q.Key)
	if current, found := r.cache.get(key, time.Now()); found {
		return nil, newConflictError(current, q.Digest)
	}
	epoch, known := r.epoch.current(time.Now())
	if !known || r.health.unavailable() {
		return nil, &UnavailableError{Reason: ReasonStoreUnavailable}
	}
	record := attempt.Record{
		ID:            uuid.NewString(),
		Holder:        r.instance,
		State:         attempt.StateRunning,
		Epoch:         epoch,
		RequestDigest: q.Digest,
	}
	if current, added := r.inFlight.add(key, record); !added {
		return nil, newConflictError(current, q.Digest)
	}
	c := &claim{
		change: &attempt.Change{Kind: attempt.KindClaim, Key: key, Record: record},
		result: make(chan claimResult, 1),
	}
	if err := r.enqueueClaim(c); err != nil {
		r.inFlight.remove(key)
		return nil, err
	}
	return r.awaitClaim(ctx, c)
}

func newConflictError(current attempt.Record, digest string) *ConflictError {
	return &ConflictError{Current: current, OtherRequest: current.State != "" && current.RequestDigest != digest}
}

func (r *Recorder) enqueueClaim(c *claim) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return &UnavailableError{Reason: ReasonStopping}
	}
	if err := r.group.Add(c.change, time.Now()); err != nil {
		return &UnavailableError{Reason: ReasonQueueFull, Err: err}
	}
	r.waiting[c.change] = c
	r.wake()
	return nil
}

// awaitClaim waits for the result of a claim and abandons the claim when ctx
// ends.
func (r *Recorder) awaitClaim(ctx context.Context, c *claim) (*Attempt, error) {
	select {
	case result := <-c.result:
		return r.newAttempt(c, result)
	case <-ctx.Done():
	}
	r.mu.Lock()
	select {
	case result := <-c.result:
		r.mu.Unlock()
		return r.newAttempt(c, result)
	default:
	}
	c.abandoned = true
	if r.group.Remove(c.change) {
		delete(r.waiting, c.change)
		r.inFlight.remove(c.change.Key)
	}
	r.mu.Unlock()
	return nil, &UnavailableError{Reason: ReasonDeadline, Err: ctx.Err()}
}

func (r *Recorder) newAttempt(c *claim, result claimResult) (*Attempt, error) {
	if result.err != nil {
		return nil, result.err
	}
	return &Attempt{recorder: r, key: c.change.Key, version: result.version, record: c.change.Record}, nil
}

// wake makes the dispatcher check the queue.
func (r *Recorder) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Attempt is a claim that is in the table. Exactly one of its methods must be
// called, exactly once.
type Attempt struct {
	recorder *Recorder
	key      string
	version  uint64
	record   attempt.Record
}

// Finish records the endpoint's response without waiting for the write. Until
// the outcome is in the table, the record says that the request may have run.
func (a *Attempt) Finish(outcome attempt.Outcome) {
	record := a.record
	record.State = attempt.StateDone
	record.Outcome = &outcome
	a.recorder.enqueueOutcome(&attempt.Change{Kind: attempt.KindFinish, Key: a.key, Expected: a.version, Record: record})
}

// Release records that the request has not run, so that a repeated request may
// run. The caller must have proof that it has not. Release does not wait for
// the write.
func (a *Attempt) Release() {
	record := a.record
	record.State = attempt.StateReleased
	a.recorder.enqueueOutcome(&attempt.Change{Kind: attempt.KindRelease, Key: a.key, Expected: a.version, Record: record})
}

// Abandon leaves the record in the running state, which means that the request
// may have run.
func (a *Attempt) Abandon() { a.recorder.inFlight.remove(a.key) }

// enqueueOutcome queues a finish or a release. Requests at this instance see
// the new record at once.
func (r *Recorder) enqueueOutcome(c *attempt.Change) {
	r.inFlight.set(c.Key, c.Record)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.group.Add(c, time.Now()) // only claims can be rejected
	r.wake()
}
