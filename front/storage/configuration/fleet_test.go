package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

const (
	environment  = "kano-trial"
	keptKey      = "example-key-ward-01"
	withdrawnKey = "example-key-ward-05"
	peerDelay    = 20 * time.Millisecond
)

// exampleDocument returns the example document, without the withdrawn key if
// withdrawn is set.
func exampleDocument(t testing.TB, withdrawn bool) []byte {
	t.Helper()
	content, err := os.ReadFile("../../../examples/kano.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !withdrawn {
		return content
	}
	var kept []string
	for line := range strings.Lines(string(content)) {
		if !strings.Contains(line, "id: ward-05-a") {
			kept = append(kept, line)
		}
	}
	return []byte(strings.Replace(strings.Join(kept, ""), "    burst: 8\n    keys:\n", "    burst: 8\n", 1))
}

// fleet is a set of watchers with one store in a synctest bubble.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	members []*member
	running sync.WaitGroup

	// mu guards members and partitioned, which the members' goroutines read.
	mu sync.RWMutex
	// partitioned reports whether two failure domains can't reach each other.
	// The store is in "kano-b".
	partitioned func(a, b string) bool
}

// member is one instance: its watcher, and its connections to the store and to
// its peers.
type member struct {
	fleet    *fleet
	location generation.Location
	w        *Watcher
	ring     *Keyring
	stop     context.CancelFunc
	storeCut atomic.Bool
	// unreachable makes calls of peers to the member time out.
	unreachable atomic.Bool
	dead        atomic.Bool
}

func newFleet(t *testing.T, domains ...string) *fleet {
	f := &fleet{t: t, store: standin.NewStore(), partitioned: func(string, string) bool { return false }}
	f.members = make([]*member, len(domains))
	for i, domain := range domains {
		f.start(i, domain)
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.stop()
		}
		f.running.Wait()
	})
	return f
}

// start runs a new process as member i of the fleet.
func (f *fleet) start(i int, domain string) *member {
	m := &member{fleet: f}
	m.location = generation.Location{Instance: uuid.NewString(), Region: domain[:len(domain)-2], FailureDomain: domain}
	log := logrus.New()
	log.SetOutput(io.Discard)
	meters, err := NewMeters(noop.Meter{})
	if err != nil {
		f.t.Fatal(err)
	}
	settings := DefaultSettings(environment, m.location, fmt.Sprint(i), "kano")
	m.w = NewWatcher(settings, memberStore{f.store, m}, m, m, log, meters)
	m.ring = NewKeyring(m.w, RefuseStale)
	f.mu.Lock()
	f.members[i] = m
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.running.Go(func() { _ = m.w.Run(ctx) })
	return m
}

func (f *fleet) member(i int) *member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members[i]
}

func (f *fleet) isPartitioned(a, b string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.partitioned(a, b)
}

func (f *fleet) partition(partitioned func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

// Peers implements Directory.
func (m *member) Peers() []Peer {
	m.fleet.mu.RLock()
	defer m.fleet.mu.RUnlock()
	var peers []Peer
	for i, other := range m.fleet.members {
		if other != m && other != nil {
			peers = append(peers, Peer{Name: other.location.Instance, Addr: fmt.Sprint(i), FailureDomain: other.location.FailureDomain})
		}
	}
	return peers
}

// Call implements peer.Caller.
func (m *member) Call(ctx context.Context, addr, method string, params, result any) error {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		return err
	}
	other := m.fleet.member(i)
	time.Sleep(peerDelay)
	if other.unreachable.Load() || m.fleet.isPartitioned(m.location.FailureDomain, other.location.FailureDomain) {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := other.serve(ctx, method, raw)
	if err != nil {
		return err
	}
	time.Sleep(peerDelay)
	if raw, err = json.Marshal(response); err != nil || result == nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (m *member) serve(ctx context.Context, method string, raw json.RawMessage) (any, error) {
	switch method {
	case methodReport:
		return m.w.serveReport(ctx, raw)
	case methodAnnounce:
		return m.w.serveAnnouncement(ctx, raw)
	default:
		return m.w.serveDocument(ctx, raw)
	}
}

// memberStore is the store as seen by one member, which may be partitioned from
// it.
type memberStore struct {
	*standin.Store
	m *member
}

func (s memberStore) isCutOff() bool {
	return s.m.storeCut.Load() || s.m.fleet.isPartitioned(s.m.location.FailureDomain, "kano-b")
}

// Get implements storage.Table.
func (s memberStore) Get(ctx context.Context, key string) (storage.Row, error) {
	if s.isCutOff() {
		<-ctx.Done()
		return storage.Row{}, &storage.Error{Op: "get", Effect: storage.EffectNone, Err: ctx.Err()}
	}
	return s.Store.Get(ctx, key)
}

// GetObject implements storage.Objects.
func (s memberStore) GetObject(ctx context.Context, digest string) ([]byte, error) {
	if s.isCutOff() {
		<-ctx.Done()
		return nil, &storage.Error{Op: "get object", Effect: storage.EffectNone, Err: ctx.Err()}
	}
	return s.Store.GetObject(ctx, digest)
}

// promote puts the example document in force as the generation after expect.
func (f *fleet) promote(expect uint64, withdrawn bool) (Promotion, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return NewPromoter(f.store).Promote(ctx, PromotionRequest{
		Environment: environment, ExpectedGeneration: expect, File: "kano.yaml", Content: exampleDocument(f.t, withdrawn),
		Operation: uuid.NewString(), Operator: "test",
	})
}

func (f *fleet) mustPromote(expect uint64, withdrawn bool) Promotion {
	f.t.Helper()
	promotion, err := f.promote(expect, withdrawn)
	if err != nil {
		f.t.Fatal(err)
	}
	return promotion
}

// keyMarks returns how each member treats a key, one character per member: "+"
// accepted, "s" refused as stale, "u" as unknown, "n" as not ready.
func (f *fleet) keyMarks(key string) string {
	marks := map[KeyReason]string{KeyStale: "s", KeyUnknown: "u", KeyNotReady: "n"}
	var out string
	for _, m := range f.members {
		_, err := m.ring.Authenticate(key)
		var refused *KeyError
		if errors.As(err, &refused) {
			out += marks[refused.Reason]
			continue
		}
		out += "+"
	}
	return out
}

// withFleet runs a test with a fleet of six and one generation in force.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "kano-a", "kano-b", "kaduna-a", "kaduna-b", "sokoto-a", "sokoto-b")
		f.mustPromote(0, false)
		time.Sleep(3 * time.Second)
		if got := f.keyMarks(withdrawnKey); got != "++++++" {
			t.Fatalf("key works on %q before the test", got)
		}
		test(t, f)
	})
}
