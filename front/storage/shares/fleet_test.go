package shares

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	members "github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

const (
	environment     = "trial"
	peerDelay       = 5 * time.Millisecond
	convergenceTime = 8 * time.Second
)

const testDocument = `environment: trial
teams:
  - {name: large, rate: 50/s, burst: 100}
  - {name: ward-01, rate: 4/s, burst: 8}
regions: [{name: kano, failureDomains: [kano-a, kano-b]}, {name: kaduna, failureDomains: [kaduna-a]}]
services: []
routes: []
`

// fleet is a number of instances with keeper, agent and limiter that share one
// store.
type fleet struct {
	t                 *testing.T
	store             *standin.Store
	source            fixedSource
	nodes             []*node
	background        sync.WaitGroup
	partitioned       atomic.Pointer[func(a, b string) bool]
	duplicateMessages atomic.Bool // each message is delivered twice
	hiddenMember      string      // a member missing in the list that i0's agent gets

	mu      sync.Mutex
	buckets map[string]*teamBucket
}

// teamBucket is a token bucket for all admitted requests of a team. If it runs
// out of tokens, more requests were admitted in some window than rate times its
// length plus the burst.
type teamBucket struct {
	quota     limit.Quota
	tokens    float64
	updatedAt time.Time
	admitted  int
}

type fixedSource struct{ snapshot *configuration.Snapshot }

func (s fixedSource) Current() *configuration.Snapshot { return s.snapshot }

// node is one instance.
type node struct {
	fleet   *fleet
	region  string
	keeper  *members.Keeper
	agent   *Agent
	limiter *limit.Limiter
	methods map[string]peer.Method
	stop    context.CancelFunc
	dead    atomic.Bool
	// lostCommits is the number of further commits of divisions that never reach
	// the store. The node gets an error with an unknown outcome.
	lostCommits atomic.Int64
}

// partialMembers is a membership whose list lacks one member.
type partialMembers struct {
	*members.Keeper
	hiddenMember string
}

func (h partialMembers) Members() []membership.Member {
	return slices.DeleteFunc(h.Keeper.Members(), func(m membership.Member) bool { return m.Name == h.hiddenMember })
}

func newFleet(t *testing.T, n int, options ...func(*fleet)) *fleet {
	doc, err := document.Decode("trial.yaml", []byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, store: standin.NewStore(), buckets: map[string]*teamBucket{}}
	f.source.snapshot = &configuration.Snapshot{Index: document.Compile(doc), Ready: true}
	f.setPartition(func(string, string) bool { return false })
	for _, option := range options {
		option(f)
	}
	for _, team := range doc.Teams {
		q := limit.Quota{Rate: float64(team.Rate), Burst: float64(team.Burst)}
		f.buckets[team.Name] = &teamBucket{quota: q, tokens: q.Burst, updatedAt: time.Now()}
	}
	for i := range n {
		f.add(fmt.Sprintf("i%d", i), []string{"kano", "kaduna"}[i%2])
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
		f.background.Wait()
	})
	return f
}

func (f *fleet) setPartition(partitioned func(a, b string) bool) { f.partitioned.Store(&partitioned) }

func (f *fleet) add(process, region string) {
	n := &node{fleet: f, region: region, limiter: limit.NewLimiter(), methods: map[string]peer.Method{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	keeperMeters, err1 := members.NewMeters(noop.Meter{})
	agentMeters, err2 := NewMeters(noop.Meter{})
	if err := errors.Join(err1, err2); err != nil {
		f.t.Fatal(err)
	}
	s := members.Settings{
		Environment: environment, Process: process, PeerAddress: process, CallerURL: "http://" + process,
		Region: region, FailureDomain: region + "-a", Timing: membership.DefaultSettings(),
	}
	table := &nodeTable{Store: f.store, n: n}
	n.keeper = members.NewKeeper(s, table, n, n.limiter, n, log, keeperMeters)
	settings := Settings{Environment: environment, Region: region, ReadPeriod: DefaultReadPeriod}
	var known Members = n.keeper
	if process == "i0" {
		known = partialMembers{Keeper: n.keeper, hiddenMember: f.hiddenMember}
	}
	n.agent = NewAgent(settings, table, n, known, f.source, n.limiter, log, agentMeters)
	n.keeper.Register(n)
	n.agent.Register(n)
	f.nodes = append(f.nodes, n)
}

func (f *fleet) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.background.Go(func() { _ = n.keeper.Run(ctx) })
	f.background.Go(func() { _ = n.agent.Run(ctx) })
}

// Handle implements the registries of keeper and agent.
func (n *node) Handle(name string, m peer.Method) { n.methods[name] = m }

// Report implements members.Reporter.
func (n *node) Report(now time.Time) members.Report {
	return members.Report{Demand: n.agent.Demand(now)}
}

// kill stops a node without a shutdown sequence.
func (n *node) kill() {
	n.dead.Store(true)
	n.stop()
}

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, addr, method string, params, result any) error {
	for _, other := range n.fleet.nodes {
		if name := other.process(); name != addr {
			continue
		}
		if (*n.fleet.partitioned.Load())(n.region, other.region) || other.dead.Load() || n.dead.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		return other.serve(ctx, method, params, result)
	}
	return &peer.Error{Addr: addr, Method: method}
}

func (n *node) process() string { return fmt.Sprintf("i%d", n.index()) }

func (n *node) index() int {
	for i, o := range n.fleet.nodes {
		if o == n {
			return i
		}
	}
	return -1
}

func (n *node) serve(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(peerDelay)
	reply, err := n.methods[method](ctx, raw)
	if n.fleet.duplicateMessages.Load() {
		reply, err = n.methods[method](ctx, raw)
	}
	if err != nil || result == nil {
		return err
	}
	time.Sleep(peerDelay)
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// nodeTable gives one node access to the store, which is in Kano, subject to
// the partition.
type nodeTable struct {
	*standin.Store
	n *node
}

func (w *nodeTable) waitIfPartitioned(ctx context.Context, op string) error {
	if !(*w.n.fleet.partitioned.Load())(w.n.region, "kano") {
		return nil
	}
	<-ctx.Done()
	return &storage.Error{Op: op, Err: ctx.Err()}
}

// Scan implements storage.Table.
func (w *nodeTable) Scan(ctx context.Context, prefix string) ([]storage.Row, error) {
	if err := w.waitIfPartitioned(ctx, "scan"); err != nil {
		return nil, err
	}
	return w.Store.Scan(ctx, prefix)
}

// Commit implements storage.Table.
func (w *nodeTable) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	if err := w.waitIfPartitioned(ctx, "commit"); err != nil {
		return nil, err
	}
	if strings.HasPrefix(writes[0].Key, Prefix(environment)) && w.n.lostCommits.Add(-1) >= 0 {
		return nil, &storage.Error{Op: "commit"}
	}
	return w.Store.Commit(ctx, writes)
}

// division returns the division of a team in the store.
func (f *fleet) division(team string) share.Division {
	row, _ := f.store.Get(context.Background(), Key(environment, team))
	d, err := share.DecodeDivision(row.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

// countAdmitted takes a token for an admitted request from the team's bucket,
// and reports an error if there is none.
func (f *fleet) countAdmitted(team string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.buckets[team]
	now := time.Now()
	b.tokens = math.Min(b.quota.Burst, b.tokens+b.quota.Rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens--
	b.admitted++
	if b.tokens < -1e-6 {
		f.t.Errorf("request %d of %s exceeds rate and burst by %.3f", b.admitted, team, -b.tokens)
	}
}

// offer sends requests of a team to a node at a rate for the duration d. It
// returns at once, with a counter of the refused requests.
func (f *fleet) offer(n *node, team string, rate float64, d time.Duration) *atomic.Int64 {
	refused := new(atomic.Int64)
	f.background.Go(func() {
		end := time.Now().Add(d)
		var requests sync.WaitGroup
		for time.Now().Before(end) && !n.dead.Load() {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			requests.Go(func() {
				if n.agent.Admit(context.Background(), team).Admitted() {
					f.countAdmitted(team)
				} else {
					refused.Add(1)
				}
			})
		}
		requests.Wait()
	})
	return refused
}
