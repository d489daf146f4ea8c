package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

const testDocument = `
environment: test
teams:
  - {name: ward-01, rate: 6/s, burst: 24}
regions:
  - {name: kano, failureDomains: [kano-a]}
services:
  - name: tracker
    versions:
      - name: v1
        endpoints:
          - {address: "127.0.0.1:9001", failureDomain: kano-a, slots: 1}
          - {address: "127.0.0.1:9002", failureDomain: kano-a, slots: 2}
    serving: v1
routes:
  - {name: read, path: /, methods: [GET], service: tracker, open: true, timeout: TIMEOUT}
`

var testSlots = map[string]int{"127.0.0.1:9001": 1, "127.0.0.1:9002": 2}

var testGroup = slots.Group{Service: "tracker", Version: "v1", Region: "kano"}

// fakeFleet is a fleet whose members are set by the test.
type fakeFleet struct {
	mu      sync.Mutex
	members []membership.Member
}

func (f *fakeFleet) list() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]membership.Member(nil), f.members...)
}

func (f *fakeFleet) join(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, membership.Member{Record: membership.Record{
		Name: name, PeerAddress: address, Region: "kano", FailureDomain: "kano-a", State: membership.StateLive,
	}})
}

func (f *fakeFleet) evict(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.Name == name {
			f.members = append(f.members[:i], f.members[i+1:]...)
			return
		}
	}
}

func (f *fakeFleet) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.members {
		if f.members[i].Name == name {
			f.members[i].State = membership.StateLeaving
		}
	}
}

// fakeMember is one instance's view of a fake fleet.
type fakeMember struct {
	name  string
	fleet *fakeFleet
}

func (m *fakeMember) Name() string                 { return m.name }
func (m *fakeMember) Members() []membership.Member { return m.fleet.list() }

// ValidUntil implements Fleet. The lease is valid until the member is evicted.
func (m *fakeMember) ValidUntil() time.Time {
	for _, x := range m.fleet.list() {
		if x.Name == m.name {
			return time.Now().Add(time.Minute)
		}
	}
	return time.Time{}
}

// node is one running instance of the service.
type node struct {
	service *Service
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func (n *node) kill() {
	n.stop()
	n.done.Wait()
}

func startNode(t testing.TB, name string, f *fakeFleet, store *standin.Store, timeout time.Duration) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	doc, err := document.Decode("test.yaml", []byte(strings.ReplaceAll(testDocument, "TIMEOUT", timeout.String())))
	if err != nil {
		t.Fatal(err)
	}
	index := document.Compile(doc)
	client := peer.NewClient(nil, time.Second)
	srv := peer.NewServer(nil, log)
	n := &node{service: New(&fakeMember{name, f}, brokers.NewRows(store, "test"), func() *document.Index { return index }, client, log)}
	n.service.Register(srv)
	l, err := srv.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.join(name, l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done.Go(func() { _ = srv.Serve(ctx, l) })
	n.done.Go(func() { _ = n.service.Run(ctx) })
	t.Cleanup(func() {
		n.kill()
		client.Close()
	})
	return n
}

// gauge counts the running requests at each endpoint and records when they
// exceed the endpoint's slots.
type gauge struct {
	mu         sync.Mutex
	running    map[string]int
	violations []string
}

func (g *gauge) enter(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[address]++
	if g.running[address] > testSlots[address] {
		g.violations = append(g.violations, fmt.Sprintf("%d at %s", g.running[address], address))
	}
}

func (g *gauge) leave(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[address]--
}

// acquire retries until it gets a slot or the context ends.
func acquire(ctx context.Context, n *node, timeout time.Duration) (*Slot, error) {
	for {
		s, err := n.service.Acquire(ctx, Request{Group: testGroup, Team: "ward-01", Deadline: time.Now().Add(timeout)})
		if err == nil || ctx.Err() != nil {
			return s, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// load runs requests at a node and checks that no endpoint exceeds its slots.
func load(ctx context.Context, t *testing.T, n *node, g *gauge, requests int) {
	for range requests {
		s, err := acquire(ctx, n, time.Second/2)
		if err != nil {
			t.Errorf("no slot: %v", err)
			return
		}
		g.enter(s.Address)
		time.Sleep(time.Millisecond)
		g.leave(s.Address)
		s.Release(ReleaseInfo{Answered: true})
	}
}

func startNodes(t testing.TB, timeout time.Duration) (*fakeFleet, *standin.Store, []*node) {
	f, store := &fakeFleet{}, standin.NewStore()
	var nodes []*node
	for _, name := range []string{"one", "two", "three"} {
		nodes = append(nodes, startNode(t, name, f, store, timeout))
	}
	return f, store, nodes
}

// waitForBroker returns the group's broker once it differs from previous.
func waitForBroker(ctx context.Context, t testing.TB, store *standin.Store, previous string) string {
	rows := brokers.NewRows(store, "test")
	for {
		list, err := rows.Scan(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 1 && list[0].Holder != previous {
			return list[0].Holder
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// TestFleetKeepsToSlots runs requests at all instances at once and replaces the
// broker between the runs, first by killing it and then by letting it leave. No
// endpoint may exceed its slots.
func TestFleetKeepsToSlots(t *testing.T) {
	ctx := testContext(t)
	f, store, nodes := startNodes(t, time.Second/2)
	byName := map[string]*node{"one": nodes[0], "two": nodes[1], "three": nodes[2]}
	g := &gauge{running: make(map[string]int)}
	loadAll := func() {
		var wg sync.WaitGroup
		for _, n := range byName {
			for range 5 {
				wg.Go(func() { load(ctx, t, n, g, 20) })
			}
		}
		wg.Wait()
	}
	loadAll()
	first := waitForBroker(ctx, t, store, "")
	byName[first].kill()
	delete(byName, first)
	f.evict(first)
	loadAll()
	second := waitForBroker(ctx, t, store, first)
	f.leave(second)
	byName[second].service.SetLeaving()
	third := waitForBroker(ctx, t, store, second)
	loadAll()
	if third == first || third == second {
		t.Errorf("brokers were %s, %s, %s", first, second, third)
	}
	if len(g.violations) > 0 {
		t.Errorf("endpoints over their slots: %v", g.violations)
	}
}

// TestSuccessorCountsHeldSlots holds every slot while the broker is killed. The
// successor must not grant a slot before the held ones expire.
func TestSuccessorCountsHeldSlots(t *testing.T) {
	const held = 4 * time.Second
	ctx := testContext(t)
	f, store, nodes := startNodes(t, held)
	byName := map[string]*node{"one": nodes[0], "two": nodes[1], "three": nodes[2]}
	if s, err := acquire(ctx, nodes[0], held); err != nil {
		t.Fatal(err)
	} else {
		s.Release(ReleaseInfo{})
	}
	first := waitForBroker(ctx, t, store, "")
	var other *node
	for name, n := range byName {
		if name != first {
			other = n
		}
	}
	var inUse []*Slot
	for range 3 {
		s, err := acquire(ctx, other, held)
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, s)
	}
	byName[first].kill()
	f.evict(first)
	waitForBroker(ctx, t, store, first)
	until := inUse[len(inUse)-1].ExpiresAt
	s, err := acquire(ctx, other, held)
	if err != nil {
		t.Fatal(err)
	}
	if got := time.Now(); !got.After(until) {
		t.Errorf("a slot was granted %v before the held ones expired", until.Sub(got))
	}
	s.Release(ReleaseInfo{})
}

func TestNoBroker(t *testing.T) {
	f := &fakeFleet{}
	s := New(&fakeMember{"lone", f}, brokers.NewRows(standin.NewStore(), "test"), func() *document.Index { return nil }, nil, logrus.New())
	_, err := s.Acquire(t.Context(), Request{Group: testGroup, Deadline: time.Now().Add(time.Second)})
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || unavailable.RetryAfter <= 0 {
		t.Errorf("Acquire = %v, want an UnavailableError with a RetryAfter", err)
	}
}
