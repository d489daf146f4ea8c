package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
)

// In a large fleet, one instance of each region reads the tables of the store,
// and the others read them from each other; see relay.Sources. A table's age
// adds up on the way, and an instance whose sources are silent, out of touch with
// the store, or too far behind reads the store itself.

const (
	// methodTable reads a table from another instance.
	methodTable = "gateway.table"
	// maxRelayAge is the age from which a relayed table is not used. Without
	// faults it is at most the polls of the reader and of two relays.
	maxRelayAge = 2600 * time.Millisecond
	// directTimeout is added to the long-poll time of a call to the store.
	directTimeout = time.Second
	// sourceTimeout is added to the long-poll time of a call to another
	// instance.
	sourceTimeout = 600 * time.Millisecond
	// relayCallMargin covers two silent sources and a call to the store.
	relayCallMargin = 2*sourceTimeout + directTimeout + 100*time.Millisecond
	// directInterval is the time between two reads of one table from the store
	// by an instance whose sources have failed.
	directInterval = time.Second
	// directIntervalInOutage applies while no instance reaches the store.
	directIntervalInOutage = 4 * time.Second
	// startDirectDelay is how long after its start an instance waits for its
	// sources, which may have started at the same time.
	startDirectDelay = 700 * time.Millisecond
	// cutOffPeriod is how long after a failed call to the store an instance is
	// no reader.
	cutOffPeriod = 5 * time.Second
	// cachedReadAge is how long the result of a read is used for reads of tables
	// that are not followed.
	cachedReadAge = 400 * time.Millisecond
)

// Codes of errors in responses to methodTable.
const (
	codeGap        = 1
	codeNotCurrent = 2
)

// tableQuery asks another instance for a table.
type tableQuery struct {
	// Table is the table's name.
	Table string `json:"t"`
	// Full asks for all rows, otherwise for the changes after a version.
	Full bool `json:"f,omitempty"`
	// Era and Revision are that version.
	Era      uint64 `json:"e,omitempty"`
	Revision uint64 `json:"r,omitempty"`
	// WaitMS is how long to wait for a change, in milliseconds.
	WaitMS int64 `json:"w,omitempty"`
}

// tableRow is a row in the response to a tableQuery. Its era is that of the
// response.
type tableRow struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// tableResponse is the response to a tableQuery; see registry.Batch.
type tableResponse struct {
	Rows          []tableRow `json:"rows,omitempty"`
	Era           uint64     `json:"e,omitempty"`
	Revision      uint64     `json:"r"`
	AgeMS         int64      `json:"a"`
	SinceOutageMS int64      `json:"o,omitempty"`
	ClockMS       int64      `json:"c"`
}

// relayedStore reads tables from other instances of a large fleet, and from the
// store otherwise. Writes go to the store.
type relayedStore struct {
	Store
	mesh    *mesh
	log     logrus.FieldLogger
	started time.Time

	mu         sync.Mutex
	watchers   map[string]*registry.Watcher
	lastDirect map[string]time.Time
	cached     map[string]cachedRead
}

// cachedRead is the result of a read.
type cachedRead struct {
	batch registry.Batch
	at    time.Time
}

// newRelayedStore returns a store whose tables are served to other instances as
// well. The rollouts read their records through it.
func newRelayedStore(adapters Adapters, m *mesh, ro *rollouts.Rollouts, peers *peer.Server, log *logrus.Logger) *relayedStore {
	r := &relayedStore{
		Store: adapters.Store, mesh: m, log: log.WithField("prefix", "relay"), started: time.Now(),
		watchers: make(map[string]*registry.Watcher), lastDirect: make(map[string]time.Time), cached: make(map[string]cachedRead),
	}
	peers.Handle(methodTable, r.handleQuery)
	ro.SetStore(r)
	return r
}

// serve makes the table of a watcher available to other instances.
func (r *relayedStore) serve(w *registry.Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w.Table()] = w
}

// Read implements registry.Store. The batch of a table that is not followed may
// be as old as cachedReadAge at each relay.
func (r *relayedStore) Read(ctx context.Context, table string) (registry.Batch, error) {
	return r.fetch(ctx, tableQuery{Table: table, Full: true}, func(ctx context.Context, _ time.Duration) (registry.Batch, error) {
		return r.Store.Read(ctx, table)
	})
}

// Changes implements registry.Store. A call that is not answered by the first
// source does not wait for a change.
func (r *relayedStore) Changes(ctx context.Context, table string, after registry.Version, wait time.Duration) (registry.Batch, error) {
	query := tableQuery{Table: table, Era: after.Era, Revision: after.Revision, WaitMS: wait.Milliseconds()}
	return r.fetch(ctx, query, func(ctx context.Context, wait time.Duration) (registry.Batch, error) {
		return r.Store.Changes(ctx, table, after, wait)
	})
}

// storeRead reads from the store, which may hold the call for wait.
type storeRead func(ctx context.Context, wait time.Duration) (registry.Batch, error)

// fetch reads from the sources of this instance, or from the store with direct.
func (r *relayedStore) fetch(ctx context.Context, query tableQuery, direct storeRead) (registry.Batch, error) {
	sources := r.mesh.tableSources()
	if len(sources) == 0 {
		return r.readStore(ctx, query, direct)
	}
	var errs []error
	for _, s := range sources {
		b, err := r.querySource(ctx, s, query)
		var gap *registry.GapError
		if err == nil || errors.As(err, &gap) || ctx.Err() != nil {
			return b, err
		}
		errs = append(errs, err)
		query.WaitMS = 0
	}
	err := errors.Join(errs...)
	if !r.mayReadStore(query.Table, time.Now()) {
		return registry.Batch{}, err
	}
	r.log.WithError(err).WithField("table", query.Table).Info("No source has the table, reading the store.")
	return r.readStore(ctx, query, direct)
}

// readStore reads from the store and records whether it was reached.
func (r *relayedStore) readStore(ctx context.Context, query tableQuery, direct storeRead) (registry.Batch, error) {
	wait := time.Duration(query.WaitMS) * time.Millisecond
	callCtx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	defer cancel()
	b, err := direct(callCtx, wait)
	var gap *registry.GapError
	if ctx.Err() == nil || err == nil {
		r.mesh.recordStoreCall(err == nil || errors.As(err, &gap))
	}
	return b, err
}

// mayReadStore reports whether an instance whose sources have failed may read a
// table from the store now.
func (r *relayedStore) mayReadStore(table string, now time.Time) bool {
	interval := directInterval
	if r.mesh.storeReachableByPeersSince().IsZero() {
		interval = directIntervalInOutage
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.lastDirect[table]
	if !ok && now.Sub(r.started) < startDirectDelay || ok && now.Sub(last) < interval {
		return false
	}
	// Instances whose sources fail at the same time read at different times.
	r.lastDirect[table] = now.Add(-rand.N(interval / 4))
	return true
}

// tableSource is an instance from which tables are read.
type tableSource struct{ name, address string }

// querySource reads from another instance. Errors: *registry.GapError, or that
// the source does not have a current table.
func (r *relayedStore) querySource(ctx context.Context, s tableSource, query tableQuery) (registry.Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(query.WaitMS)*time.Millisecond+sourceTimeout)
	defer cancel()
	var response tableResponse
	err := r.mesh.caller.Call(callCtx, s.address, methodTable, query, &response)
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr) && rpcErr.Code == codeGap:
		return registry.Batch{}, &registry.GapError{Table: query.Table, After: query.Revision}
	case errors.As(err, &rpcErr):
		return registry.Batch{}, fmt.Errorf("instance %s: %w", s.name, err)
	case err != nil:
		if ctx.Err() == nil {
			r.mesh.recordUnreachable(s.name)
		}
		return registry.Batch{}, fmt.Errorf("instance %s: %w", s.name, err)
	}
	b := response.batch()
	if b.Age > maxAge(query.Table) {
		return registry.Batch{}, fmt.Errorf("instance %s: its table %s is %s old", s.name, query.Table, b.Age)
	}
	return b, nil
}

// maxAge returns the age that a table may reach by its polling alone.
func maxAge(table string) time.Duration {
	if table == TableInstances {
		return 3 * instancesPollInterval
	}
	return maxRelayAge
}

// batch converts the response.
func (t tableResponse) batch() registry.Batch {
	b := registry.Batch{
		Era: t.Era, Revision: t.Revision, Age: time.Duration(t.AgeMS) * time.Millisecond,
		SinceOutage: time.Duration(t.SinceOutageMS) * time.Millisecond, Clock: time.Duration(t.ClockMS) * time.Millisecond,
	}
	for _, row := range t.Rows {
		b.Rows = append(b.Rows, registry.Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Era: t.Era, Removed: row.Removed})
	}
	return b
}

// newTableResponse converts a batch.
func newTableResponse(b registry.Batch) tableResponse {
	t := tableResponse{
		Era: b.Era, Revision: b.Revision, AgeMS: b.Age.Milliseconds(),
		SinceOutageMS: b.SinceOutage.Milliseconds(), ClockMS: b.Clock.Milliseconds(),
	}
	for _, row := range b.Rows {
		t.Rows = append(t.Rows, tableRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed})
	}
	return t
}

// handleQuery handles a query of another instance.
func (r *relayedStore) handleQuery(ctx context.Context, params json.RawMessage) (any, error) {
	var q tableQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, fmt.Errorf("query for a table: %w", err)
	}
	b, err := r.answer(ctx, q)
	var gap *registry.GapError
	switch {
	case errors.As(err, &gap):
		return nil, &jsonrpc2.Error{Code: codeGap, Message: err.Error()}
	case err != nil:
		return nil, &jsonrpc2.Error{Code: codeNotCurrent, Message: err.Error()}
	}
	return newTableResponse(b), nil
}

// answer returns what a query asks for.
func (r *relayedStore) answer(ctx context.Context, q tableQuery) (registry.Batch, error) {
	r.mu.Lock()
	w := r.watchers[q.Table]
	r.mu.Unlock()
	switch {
	case w == nil:
		return r.readCached(ctx, q.Table)
	case q.Full:
		return w.ServeRead()
	}
	wait := min(time.Duration(q.WaitMS)*time.Millisecond, operatorLongPoll)
	return w.ServeChanges(ctx, registry.Version{Era: q.Era, Revision: q.Revision}, wait)
}

// readCached reads a table that is not followed. Queries of several instances
// share the result.
func (r *relayedStore) readCached(ctx context.Context, table string) (registry.Batch, error) {
	r.mu.Lock()
	known, ok := r.cached[table]
	r.mu.Unlock()
	if age := time.Since(known.at); ok && age < cachedReadAge {
		b := known.batch
		b.Age += age
		return b, nil
	}
	b, err := r.Read(ctx, table)
	if err != nil {
		return registry.Batch{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached[table] = cachedRead{batch: b, at: time.Now()}
	return b, nil
}

// tableSources returns the instances from which this instance reads tables; none
// if it reads the store.
func (m *mesh) tableSources() []tableSource {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.topologyAt) >= topologyInterval {
		m.topologyAt = now
		m.updateTopology(now)
		m.updateRemoteHubs(now)
	}
	var sources []tableSource
	for _, name := range m.sources {
		other := m.members[name]
		if other == nil || other.Peers == "" || time.Since(other.lastFailure) < hubFailureBackoff {
			continue
		}
		sources = append(sources, tableSource{name: name, address: other.Peers})
	}
	return sources
}

// recordStoreCall records whether a call to the store has reached it.
func (m *mesh) recordStoreCall(reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasCutOff := time.Now().Before(m.cutOffUntil)
	m.cutOffUntil = time.Time{}
	if !reached {
		m.cutOffUntil = time.Now().Add(cutOffPeriod)
	}
	if reached == wasCutOff {
		m.topologyAt = time.Time{}
	}
}

// Paces at which tables are polled in a large fleet. The pause of the endpoints'
// reader collects changes, since applying them costs each instance about the same
// for one endpoint as for many.
var (
	readerPace         = registry.Pace{LongPoll: 500 * time.Millisecond, PollInterval: 500 * time.Millisecond}
	operatorReaderPace = registry.Pace{LongPoll: time.Second}
	followerPace       = registry.Pace{LongPoll: 500 * time.Millisecond, PollInterval: 50 * time.Millisecond}
)

// endpointsPace returns how the endpoints table is polled.
func (m *mesh) endpointsPace() registry.Pace {
	return m.pace(registry.Pace{PollInterval: endpointsPollInterval}, readerPace)
}

// operatorPace returns how the operators' table is polled.
func (m *mesh) operatorPace() registry.Pace {
	return m.pace(registry.Pace{LongPoll: operatorLongPoll}, operatorReaderPace)
}

// pace returns how a table is polled: in a small fleet, and by a reader and by the
// others of a large one.
func (m *mesh) pace(small, reader registry.Pace) registry.Pace {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.isLarge():
		return small
	case len(m.sources) == 0:
		return reader
	}
	return followerPace
}

// bootstrapDelay is how long an instance waits at the first start of the system,
// so that all instances have registered before it reads their list.
const bootstrapDelay = 600 * time.Millisecond

// maxBootstrapJitter is how much longer instances wait that are unlikely to be
// hubs. Hubs sync with all instances of which they have read, which then need not
// read the list from the store.
const maxBootstrapJitter = 1500 * time.Millisecond

// afterRegistration delays a task at the first start of the system.
func (m *mesh) afterRegistration(run func(context.Context) error, bootstrap bool) func(context.Context) error {
	return func(ctx context.Context) error {
		if bootstrap {
			delay := bootstrapDelay
			if m.self.Capacity < hubCapacity {
				delay += rand.N(maxBootstrapJitter)
			}
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
		return run(ctx)
	}
}

// hubCapacity is a share of a processor from which an instance does not wait
// longer for hubs than they do.
const hubCapacity = 0.3

// maxMembersWait is how long an instance waits for the list of the others.
// Without it, it reads all tables from the store.
const maxMembersWait = 2 * time.Second

// afterMembersRead delays a task until the instances table has been read, from
// which the sources of the other tables follow.
func (m *mesh) afterMembersRead(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-m.membersRead:
		case <-time.After(maxMembersWait):
		}
		return run(ctx)
	}
}
