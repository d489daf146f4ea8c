package attempts

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

var (
	errResponseLost = errors.New("response lost")
	errDead         = errors.New("process is dead")
)

// faultRates are the rates of faults among an instance's writes, in percent.
type faultRates struct {
	// responseLost writes take effect, but their response is lost.
	responseLost int
	// dropped writes don't take effect and get no response.
	dropped int
	// late writes get no response and take effect up to lateBy afterwards.
	late   int
	lateBy time.Duration
	// refused writes get an error and don't take effect.
	refused int
}

// remoteTable is a table behind a network with latency and faults.
type remoteTable struct {
	*standin.Store
	oneWay time.Duration
	dead   atomic.Bool

	mu     sync.Mutex
	faults faultRates
	random *rand.Rand
}

func newRemoteTable(store *standin.Store, oneWay time.Duration, seed uint64, faults faultRates) *remoteTable {
	return &remoteTable{Store: store, oneWay: oneWay, faults: faults, random: rand.New(rand.NewPCG(seed, 1))}
}

func (r *remoteTable) percent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(100)
}

func (r *remoteTable) setFaults(faults faultRates) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

func (r *remoteTable) currentFaults() faultRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *remoteTable) unknownOutcome(err error) error {
	return &storage.Error{Op: "commit", Effect: storage.EffectUnknown, Err: err}
}

// Get implements storage.Table.
func (r *remoteTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if r.dead.Load() || !sleep(ctx, 2*r.oneWay) {
		return storage.Row{}, r.unknownOutcome(errDead)
	}
	return r.Store.Get(ctx, key)
}

// Commit implements storage.Table.
func (r *remoteTable) Commit(ctx context.Context, writes []storage.Write) ([]uint64, error) {
	if !sleep(ctx, r.oneWay) || r.dead.Load() {
		return nil, r.unknownOutcome(errDead)
	}
	draw := r.percent()
	f := r.currentFaults()
	switch {
	case draw < f.responseLost:
		r.apply(writes)
		return nil, r.unknownOutcome(errResponseLost)
	case draw < f.responseLost+f.dropped:
		return nil, r.unknownOutcome(errResponseLost)
	case draw < f.responseLost+f.dropped+f.late:
		go func() {
			time.Sleep(f.lateBy * time.Duration(r.percent()) / 100)
			r.apply(writes)
		}()
		return nil, r.unknownOutcome(errResponseLost)
	case draw < f.responseLost+f.dropped+f.late+f.refused:
		return nil, &storage.Error{Op: "commit", Effect: storage.EffectNone, Status: 503}
	}
	versions, err := r.Store.Commit(ctx, writes)
	if !sleep(ctx, r.oneWay) || r.dead.Load() {
		return nil, r.unknownOutcome(errResponseLost)
	}
	return versions, err
}

// apply carries out writes whose response is lost.
func (r *remoteTable) apply(writes []storage.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = r.Store.Commit(ctx, writes)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// startRecorder starts a recorder. The returned function stops it.
func startRecorder(t *testing.T, settings Settings, table storage.Table, instance string) (*Recorder, func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder, err := New(settings, table, "kano", instance, noop.NewMeterProvider().Meter("test"), log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- recorder.Run(ctx) }()
	return recorder, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// waitReady waits until the recorder can make claims.
func waitReady(r *Recorder) {
	for {
		if _, known := r.epoch.current(time.Now()); known {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func requestFor(key string) Request {
	return Request{Key: attempt.ScopedKey{Team: "ward-01", Route: "ledger-pay", IdempotencyKey: key}, Digest: "digest"}
}

func reasonOf(err error) Reason {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.Reason
	}
	return ""
}
