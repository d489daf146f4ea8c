package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

const (
	peerDelay   = 20 * time.Millisecond
	storeRegion = "kano"
)

// fleet is a set of keepers that share one store, in a synctest bubble.
type fleet struct {
	t     *testing.T
	store *standin.Store
	nodes []*node
	// partitioned reports whether two regions can't reach each other.
	partitioned atomic.Pointer[func(a, b string) bool]
	ended       sync.WaitGroup
	calls       atomic.Int64
}

// node is one instance: its keeper and its connections to the store and to its
// peers.
type node struct {
	*Keeper
	fleet  *fleet
	region string
	stop   context.CancelFunc
	dead   atomic.Bool
	// tableUnreachable is set if the node reaches its peers but not the table.
	tableUnreachable atomic.Bool

	mu         sync.Mutex
	leaseUntil time.Time
	resets     int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: standin.NewStore()}
	f.partition(func(string, string) bool { return false })
	for i := range n {
		f.add(fmt.Sprintf("i%d", i), []string{"kano", "kaduna", "sokoto"}[i%3])
	}
	// All nodes must exist before any of them runs, because they call each other
	// at once.
	for _, n := range f.nodes {
		f.run(n)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
		f.ended.Wait()
	})
	return f
}

func (f *fleet) partition(partitioned func(a, b string) bool) { f.partitioned.Store(&partitioned) }

func (f *fleet) add(process, region string) {
	n := &node{fleet: f, region: region}
	log := logrus.New()
	log.SetOutput(io.Discard)
	meters, err := NewMeters(noop.Meter{})
	if err != nil {
		f.t.Fatal(err)
	}
	s := Settings{
		Environment: "trial", Process: process, PeerAddress: process, CallerURL: "http://" + process,
		Region: region, FailureDomain: region + "-a", Timing: membership.DefaultSettings(),
	}
	n.Keeper = NewKeeper(s, &nodeStore{Store: f.store, n: n}, n, n, n, log, meters)
	f.nodes = append(f.nodes, n)
}

func (f *fleet) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.ended.Go(func() { _ = n.Run(ctx) })
}

// SetLease implements LeaseListener.
func (n *node) SetLease(until time.Time, _ uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaseUntil = until
}

// Reset implements LeaseListener.
func (n *node) Reset(time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resets++
}

// Report implements Reporter.
func (n *node) Report(time.Time) Report { return Report{} }

func (n *node) resetCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resets
}

func (n *node) valid() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.leaseUntil)
}

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, addr, method string, params, result any) error {
	n.fleet.calls.Add(1)
	for _, other := range n.fleet.nodes {
		if other.settings.PeerAddress != addr {
			continue
		}
		if (*n.fleet.partitioned.Load())(n.region, other.region) || other.dead.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(peerDelay)
		return other.serve(ctx, method, params, result)
	}
	return &peer.Error{Addr: addr, Method: method}
}

func (n *node) serve(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	methods := map[string]peer.Method{methodProbe: n.serveProbe, methodPromise: n.servePromise, methodReadRows: n.serveReadRows}
	response, err := methods[method](ctx, raw)
	if err != nil || result == nil {
		return err
	}
	time.Sleep(peerDelay)
	if raw, err = json.Marshal(response); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// kill stops a node without a shutdown.
func (n *node) kill() {
	n.dead.Store(true)
	n.stop()
}

// live returns the nodes that were not killed.
func (f *fleet) live() []*node {
	var live []*node
	for _, n := range f.nodes {
		if !n.dead.Load() {
			live = append(live, n)
		}
	}
	return live
}

// nodeStore is the store as reached from one node.
type nodeStore struct {
	*standin.Store
	n *node
}

func (s *nodeStore) blocked(ctx context.Context, op string) error {
	if !s.n.tableUnreachable.Load() && !(*s.n.fleet.partitioned.Load())(s.n.region, storeRegion) {
		return nil
	}
	<-ctx.Done()
	return &storage.Error{Op: op, Err: ctx.Err()}
}

// Scan implements storage.Table.
func (s *nodeStore) Scan(ctx context.Context, prefix string) ([]storage.Row, error) {
	if err := s.blocked(ctx, "scan"); err != nil {
		return nil, err
	}
	return s.Store.Scan(ctx, prefix)
}

// Get implements storage.Table.
func (s *nodeStore) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := s.blocked(ctx, "get"); err != nil {
		return storage.Row{}, err
	}
	return s.Store.Get(ctx, key)
}

// Commit implements storage.Table.
func (s *nodeStore) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	if err := s.blocked(ctx, "commit"); err != nil {
		return nil, err
	}
	return s.Store.Commit(ctx, writes)
}

// ListInstances implements storage.Instances.
func (s *nodeStore) ListInstances(ctx context.Context) ([]storage.ListedInstance, error) {
	if err := s.blocked(ctx, "list"); err != nil {
		return nil, err
	}
	return s.Store.ListInstances(ctx)
}
