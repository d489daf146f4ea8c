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
	// latestTopology is the topology for the latest peers.
	latestTopology atomic.Pointer[topology]
	loads          singleflight.Group
	// background holds the reads, questions and offers that are under way.
	background sync.WaitGroup
	// announcements carries the heads that others sent to Run.
	announcements chan HeadAnnouncement

	mu        sync.Mutex
	tracker   *generation.Tracker
	intervals *backoff.ExponentialBackOff
	polling   map[string]bool
	// stopped says that Run waits for background to end.
	stopped bool
}

// maxQueuedAnnouncements is the number of offers that wait; more are dropped, as reads of
// the store bring the same news.
const maxQueuedAnnouncements = 64

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(s Settings, store Store, peers peer.Caller, directory Directory, log logrus.FieldLogger, m *Meters) *Watcher {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = s.RefreshPeriod
	intervals.Multiplier = intervalGrowth
	intervals.MaxInterval = time.Duration(maxIntervalPeriods * float64(s.RefreshPeriod))
	intervals.RandomizationFactor = intervalJitter
	w := &Watcher{
		settings:      s,
		store:         store,
		peers:         peers,
		directory:     directory,
		log:           log.WithField("prefix", "configuration"),
		metrics:       m.metrics,
		announcements: make(chan HeadAnnouncement, maxQueuedAnnouncements),
		tracker:       generation.NewTracker(s.Location, s.Generation),
		intervals:     intervals,
		polling:       map[string]bool{},
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
			timer.Reset(w.nextInterval())
		case announcement := <-w.announcements:
			w.spawn(func() { w.handleAnnouncement(ctx, announcement) })
		}
	}
}

func (w *Watcher) nextInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.intervals.NextBackOff()
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

// readResult is what a read of the head row brought.
type readResult struct {
	row storage.Row
	err error
}

// readHead reads the head row once. While the answer is awaited for longer than
// Unanswered, the readHead counts as failed.
func (w *Watcher) readHead(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	results := make(chan readResult, 1)
	go func() {
		row, err := w.store.Get(ctx, HeadKey(w.settings.Environment))
		results <- readResult{row: row, err: err}
	}()
	softTimeout := time.NewTimer(w.settings.ReadSoftTimeout)
	defer softTimeout.Stop()
	var result readResult
	select {
	case result = <-results:
		if result.err != nil && ctx.Err() == nil {
			w.readFailed(started)
		}
	case <-softTimeout.C:
		w.readFailed(started)
		result = <-results
	}
	if result.err == nil {
		w.readSucceeded(ctx, started, result.row)
	}
}

func (w *Watcher) readSucceeded(ctx context.Context, started time.Time, row storage.Row) {
	head, err := decodeHead(row)
	if err != nil {
		w.log.WithError(err).Error("Head row can't be read.")
		return
	}
	w.metrics.headRead(ctx, readOutcomeAnswered)
	w.mu.Lock()
	w.intervals.Reset()
	relation := w.tracker.StoreReadSucceeded(started, head.Head)
	w.publishSnapshot()
	w.mu.Unlock()
	w.handleHead(ctx, relation, observedHead{head: head.Head, asOf: started, fromStore: true})
}

// readFailed takes in a failed read and asks witnesses.
func (w *Watcher) readFailed(started time.Time) {
	w.metrics.headRead(context.Background(), readOutcomeFailed)
	w.mu.Lock()
	w.tracker.StoreReadFailed(started)
	w.publishSnapshot()
	w.mu.Unlock()
	for _, p := range w.topology().witnesses() {
		w.startPoll(p, func() {})
	}
}

// startPoll asks a peer in the background, unless it is being asked already, and
// calls done after the exchange.
func (w *Watcher) startPoll(p Peer, done func()) {
	if !w.markPolling(p.Addr) {
		return
	}
	w.spawn(func() {
		defer done()
		defer w.unmarkPolling(p.Addr)
		w.poll(p)
	})
}

func (w *Watcher) markPolling(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polling[addr] {
		return false
	}
	w.polling[addr] = true
	return true
}

func (w *Watcher) unmarkPolling(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.polling, addr)
}

// poll carries out one exchange.
func (w *Watcher) poll(p Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	sentAt := time.Now()
	var report generation.Report
	if err := w.peers.Call(ctx, p.Addr, methodReport, nil, &report); err != nil {
		w.log.WithError(err).WithField("instance", p.Name).Debug("Instance does not answer.")
		return
	}
	w.mu.Lock()
	relation := w.tracker.PeerReported(sentAt, time.Now(), report)
	w.publishSnapshot()
	w.mu.Unlock()
	w.handleHead(ctx, relation, observedHead{head: report.Head, asOf: report.AsOf(sentAt), sender: p.Addr})
}
