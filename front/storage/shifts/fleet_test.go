package shifts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

const testDocument = `environment: kano-trial
teams:
  - {name: ward-01, rate: 40/s, burst: 120, keys: [{id: ward-01-a, digest: "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}
regions:
  - {name: kano, failureDomains: [kano-a, kano-b]}
  - {name: kaduna, failureDomains: [kaduna-a, kaduna-b]}
services:
  - name: tracker
    versions:
      - {name: v1, endpoints: [{address: "127.0.0.1:9001", failureDomain: kano-a, slots: 3}, {address: "127.0.0.1:9003", failureDomain: kaduna-a, slots: 3}]}
      - {name: v2, endpoints: [{address: "127.0.0.1:9002", failureDomain: kano-a, slots: 3}]}
    serving: v1
  - name: ledger
    versions:
      - {name: v1, endpoints: [{address: "127.0.0.1:9011", failureDomain: kano-a, slots: 3}, {address: "127.0.0.1:9013", failureDomain: kaduna-a, slots: 3}]}
    serving: v1
routes:
  - {name: pay, path: /pay/, methods: [POST], service: ledger}
  - {name: read, path: /read/, methods: [GET], service: tracker, idempotent: true}
  - {name: book, path: /book/, methods: [POST], service: tracker}
shifts:
  - name: tracker-v2
    service: tracker
    to: v2
    start: 2000-01-01T00:00:05Z
    deadline: 2000-01-01T00:03:00Z
    stages: [{cap: 5%, hold: 15s}, {cap: 25%, hold: 15s}, {cap: 100%, hold: 5s}]
    watch: 30s
drains:
  - {region: kaduna, from: 2000-01-01T00:00:05Z, deadline: 2000-01-01T00:05:00Z}
`

// fixedSource is a source with one document.
type fixedSource struct{ snapshot configuration.Snapshot }

func (f *fixedSource) Current() *configuration.Snapshot { return &f.snapshot }

// freezableTable gives one instance access to the table. Its commits can be
// held up.
type freezableTable struct {
	storage.Table
	mu         sync.Mutex
	frozen     chan struct{}
	delayedErr error // result of the last commit that was held up
}

func (g *freezableTable) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = make(chan struct{})
}

func (g *freezableTable) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.frozen)
	g.frozen = nil
}

// lastDelayedErr returns the result of the last commit that was held up.
func (g *freezableTable) lastDelayedErr() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delayedErr
}

// Commit waits while the table is frozen, then commits even if ctx has ended.
func (g *freezableTable) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen == nil {
		return g.Table.Commit(ctx, writes)
	}
	<-frozen
	versions, err := g.Table.Commit(context.Background(), writes)
	g.mu.Lock()
	g.delayedErr = err
	g.mu.Unlock()
	return versions, err
}

// instance is a manager with its traffic.
type instance struct {
	*Manager
	table       *freezableTable
	fleet       *fleet
	name        string
	cancel      context.CancelFunc
	newRequests atomic.Uint64 // requests sent to the new version
}

// fleet is a number of instances that share one store.
type fleet struct {
	store        *standin.Store
	index        *document.Index
	startedAt    time.Time
	mu           sync.Mutex // guards instances
	instances    []*instance
	startedCount int
	// failAfterNanos is the time from the start of the fleet until the new
	// version begins to fail; 0 means never.
	failAfterNanos atomic.Int64
	// ledgerNanos is the duration of a request of the service ledger.
	ledgerNanos atomic.Int64
	background  sync.WaitGroup
}

func newFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	doc, err := document.Decode("test.yaml", []byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{store: standin.NewStore(), index: document.Compile(doc), startedAt: time.Now()}
	for range instances {
		f.start(t)
	}
	return f
}

// start adds an instance without any state and runs it.
func (f *fleet) start(t *testing.T) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	meters, err := NewMeters(noop.NewMeterProvider().Meter("test"))
	if err != nil {
		t.Fatal(err)
	}
	f.startedCount++
	i := &instance{name: fmt.Sprintf("i%d", f.startedCount), fleet: f, table: &freezableTable{Table: f.store}}
	source := &fixedSource{configuration.Snapshot{Index: f.index}}
	settings := Settings{
		Environment: "kano-trial", Instance: i.name, Region: "kano", LinkBytesPerSecond: DefaultLinkBytesPerSecond, Tuning: shift.DefaultTuning(),
	}
	i.Manager = NewManager(settings, Dependencies{
		Table: i.table, Source: source, Peers: i, Directory: i, Log: log, Meters: meters,
	})
	ctx, cancel := context.WithCancel(t.Context())
	i.cancel = cancel
	f.setInstances(append(f.members(), i))
	f.background.Go(func() { _ = i.Run(ctx) })
	f.background.Go(func() { i.sendTraffic(ctx) })
	return i
}

// stop stops an instance and removes it from the fleet.
func (f *fleet) stop(i *instance) {
	i.cancel()
	f.setInstances(slices.DeleteFunc(f.members(), func(other *instance) bool { return other == i }))
}

// members returns a copy of the running instances.
func (f *fleet) members() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// setInstances replaces the instances.
func (f *fleet) setInstances(all []*instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = all
}

// stopAll stops all instances and waits for them.
func (f *fleet) stopAll() {
	for _, i := range f.members() {
		i.cancel()
	}
	f.background.Wait()
}

// Peers implements configuration.Directory.
func (i *instance) Peers() []configuration.Peer {
	var all []configuration.Peer
	for _, other := range i.fleet.members() {
		if other != i {
			// The name of a member that lost its lease once.
			all = append(all, configuration.Peer{Name: other.name + "~2", Addr: other.name})
		}
	}
	return all
}

var errUnknownInstance = errors.New("no such instance")

// Call implements peer.Caller.
func (i *instance) Call(ctx context.Context, addr, _ string, params, _ any) error {
	content, err := json.Marshal(params)
	if err != nil {
		return err
	}
	for _, other := range i.fleet.members() {
		if other.name == addr {
			_, err = other.receiveReport(ctx, content)
			return err
		}
	}
	return errUnknownInstance
}

// sendTraffic sends requests through the instance until ctx ends.
func (i *instance) sendTraffic(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(20 * time.Millisecond)
		o := Outcome{Service: "tracker", Route: "read", FailureDomain: "kano-a", Latency: 20 * time.Millisecond}
		if n%2 == 0 {
			o.Route = "book"
		}
		o.Version = i.ChooseVersion(i.fleet.index, "tracker", time.Now())
		if o.Version == "v2" {
			sent := i.newRequests.Add(1)
			failAfter := time.Duration(i.fleet.failAfterNanos.Load())
			bad := failAfter > 0 && time.Since(i.fleet.startedAt) > failAfter
			o.Failed = bad && o.Route == "book" && sent%3 == 0
		}
		i.RecordOutcome(o)
		i.sendLedgerRequest(n)
	}
}

// sendLedgerRequest sends a request of the service ledger to kaduna, or to kano
// if it belongs to the drained share. It occupies a slot for the fleet's
// ledgerNanos.
func (i *instance) sendLedgerRequest(n int) {
	o := Outcome{Service: "ledger", Route: "pay", Version: "v1", FailureDomain: "kaduna-a"}
	o.Latency = time.Duration(i.fleet.ledgerNanos.Load())
	if float64(n%20) < 20*i.DrainedShare("kaduna") {
		o.FailureDomain = "kano-a"
	}
	i.RecordOutcome(o)
}

// record returns the shift's record in the store, whatever faults are set.
func (f *fleet) record(t *testing.T) shift.Record {
	t.Helper()
	faults := f.store.Faults()
	f.store.SetFaults(standin.Faults{})
	defer f.store.SetFaults(faults)
	row, err := f.store.Get(t.Context(), recordKey("kano-trial", "tracker-v2"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeRecord(row)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// events returns the recorded steps of the movements of a kind.
func (f *fleet) events(t *testing.T, kind Kind) []string {
	t.Helper()
	rows, err := f.store.Scan(t.Context(), eventPrefix("kano-trial"))
	if err != nil {
		t.Fatal(err)
	}
	var steps []string
	for _, row := range rows {
		var e Event
		if err := json.Unmarshal(row.Value, &e); err != nil {
			t.Fatal(err)
		}
		if e.Kind == kind {
			steps = append(steps, fmt.Sprintf("%s %d", e.Record.Phase, e.Record.Stage))
		}
	}
	return steps
}

// runFleet runs a test with a fleet in virtual time.
func runFleet(t *testing.T, instances int, f func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, instances)
		defer fl.stopAll()
		f(t, fl)
	})
}

// advanceTime lets virtual time pass and waits until all other goroutines are
// blocked.
func advanceTime(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
