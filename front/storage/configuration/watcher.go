package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Watcher keeps one instance up to date with the document in force.
type Watcher struct {
	settings  Settings
	store     Store
	peers     peer.Caller
	directory Directory
	log       logrus.FieldLogger
	metrics   *metrics

	current atomic.Pointer[Snapshot]
	// seen is the topology for the latest peers.
	seen  atomic.Pointer[topology]
	loads singleflight.Group
	// background holds the reads, questions and offers that are under way.
	background sync.WaitGroup
	// offers carries the heads that others sent to Run.
	offers chan HeadAnnouncement

	mu      sync.Mutex
	tracker *generation.Tracker
	waits   *backoff.ExponentialBackOff
	asking  map[string]bool
	// stopped says that Run waits for background to end.
	stopped bool
}

// maxOffers is the number of offers that wait; more are dropped, as reads of
// the store bring the same news.
const maxOffers = 64

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(s Settings, store Store, peers peer.Caller, directory Directory, log logrus.FieldLogger, m *Meters) *Watcher {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = s.RefreshPeriod
	waits.Multiplier = periodGrowth
	waits.MaxInterval = time.Duration(periodLimit * float64(s.RefreshPeriod))
	waits.RandomizationFactor = periodJitter
	w := &Watcher{
		settings:  s,
		store:     store,
		peers:     peers,
		directory: directory,
		log:       log.WithField("prefix", "configuration"),
		metrics:   m.metrics,
		offers:    make(chan HeadAnnouncement, maxOffers),
		tracker:   generation.NewTracker(s.Location, s.Generation),
		waits:     waits,
		asking:    map[string]bool{},
	}
	w.current.Store(&Snapshot{})
	return w
}

// Current implements Source.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// Report returns what this instance can tell others.
func (w *Watcher) Report() generation.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Report(time.Now())
}

// Run refreshes what the instance knows about once per period and takes in
// offers until ctx ends. It returns after everything that it began has ended.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			w.spawn(func() { w.refresh(ctx) })
			timer.Reset(w.nextWait())
		case offer := <-w.offers:
			w.spawn(func() { w.follow(ctx, offer) })
		}
	}
}

func (w *Watcher) nextWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waits.NextBackOff()
}

// spawn runs f in the background, unless Run has stopped.
func (w *Watcher) spawn(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.background.Go(f)
	}
}

func (w *Watcher) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.background.Wait()
}

// answer is what a read of the head row brought.
type answer struct {
	row storage.Row
	err error
}

// read reads the head row once. While the answer is awaited for longer than
// Unanswered, the read counts as failed.
func (w *Watcher) read(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		row, err := w.store.Get(ctx, HeadKey(w.settings.Environment))
		answers <- answer{row: row, err: err}
	}()
	late := time.NewTimer(w.settings.ReadSoftTimeout)
	defer late.Stop()
	var a answer
	select {
	case a = <-answers:
		if a.err != nil && ctx.Err() == nil {
			w.readFailed(started)
		}
	case <-late.C:
		w.readFailed(started)
		a = <-answers
	}
	if a.err == nil {
		w.readAnswered(ctx, started, a.row)
	}
}

func (w *Watcher) readAnswered(ctx context.Context, started time.Time, row storage.Row) {
	head, err := decodeHead(row)
	if err != nil {
		w.log.WithError(err).Error("Head row can't be read.")
		return
	}
	w.metrics.read(ctx, readOutcomeAnswered)
	w.mu.Lock()
	w.waits.Reset()
	relation := w.tracker.StoreReadSucceeded(started, head.Head)
	w.publish()
	w.mu.Unlock()
	w.act(ctx, relation, learned{head: head.Head, asOf: started, fromStore: true})
}

// readFailed takes in a failed read and asks witnesses.
func (w *Watcher) readFailed(started time.Time) {
	w.metrics.read(context.Background(), readOutcomeFailed)
	w.mu.Lock()
	w.tracker.StoreReadFailed(started)
	w.publish()
	w.mu.Unlock()
	for _, p := range w.topology().witnesses() {
		w.startAsk(p, func() {})
	}
}

// startAsk asks a peer in the background, unless it is being asked already, and
// calls done after the exchange.
func (w *Watcher) startAsk(p Peer, done func()) {
	if !w.startAsking(p.Addr) {
		return
	}
	w.spawn(func() {
		defer done()
		defer w.stopAsking(p.Addr)
		w.ask(p)
	})
}

func (w *Watcher) startAsking(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asking[addr] {
		return false
	}
	w.asking[addr] = true
	return true
}

func (w *Watcher) stopAsking(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.asking, addr)
}

// ask carries out one exchange.
func (w *Watcher) ask(p Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked := time.Now()
	var statement generation.Report
	if err := w.peers.Call(ctx, p.Addr, methodStatement, nil, &statement); err != nil {
		w.log.WithError(err).WithField("instance", p.Name).Debug("Instance does not answer.")
		return
	}
	w.mu.Lock()
	relation := w.tracker.PeerReported(asked, time.Now(), statement)
	w.publish()
	w.mu.Unlock()
	w.act(ctx, relation, learned{head: statement.Head, asOf: statement.AsOf(asked), from: p.Addr})
}
