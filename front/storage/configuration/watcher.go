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

// Watcher keeps one instance up to date with the document in force. It reads
// the head row or polls peers periodically, and processes announcements of
// peers.
type Watcher struct {
	settings  Settings
	store     Store
	peers     peer.Caller
	directory Directory
	log       logrus.FieldLogger
	metrics   *metrics

	current atomic.Pointer[Snapshot]
	// latestTopology is the topology for the most recent list of peers.
	latestTopology atomic.Pointer[topology]
	loads          singleflight.Group
	// background tracks the reads, polls and announcements in flight.
	background sync.WaitGroup
	// announcements passes heads announced by peers to Run.
	announcements chan HeadAnnouncement

	mu        sync.Mutex
	tracker   *generation.Tracker
	intervals *backoff.ExponentialBackOff
	// polling holds the addresses of the peers with a poll in flight.
	polling map[string]bool
	// stopped is set when Run is ending; nothing new is started then.
	stopped bool
}

// maxQueuedAnnouncements bounds the queued announcements. Further ones are
// dropped, as the next refresh gets the same head.
const maxQueuedAnnouncements = 64

// NewWatcher returns a Watcher with an empty snapshot. Run starts it.
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

// Report returns the report that this instance sends to its peers.
func (w *Watcher) Report() generation.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Report(time.Now())
}

// Run refreshes the snapshot about once per period and processes announcements
// until ctx ends. It returns when all calls in flight have ended.
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

// spawn runs f in the background, unless the watcher is stopping.
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

// readResult is the result of a read of the head row.
type readResult struct {
	row storage.Row
	err error
}

// readHead reads the head row once. A read that takes longer than
// ReadSoftTimeout counts as failed, but its result is still used.
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
		w.log.WithError(err).Error("Failed to decode head row.")
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

// readFailed records a failed read and polls witnesses.
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

// startPoll polls a peer in the background and calls done after the exchange.
// It does nothing if a poll of the peer is already in flight.
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

// poll requests a peer's report and processes it.
func (w *Watcher) poll(p Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	sentAt := time.Now()
	var report generation.Report
	if err := w.peers.Call(ctx, p.Addr, methodReport, nil, &report); err != nil {
		w.log.WithError(err).WithField("instance", p.Name).Debug("Failed to get report from peer.")
		return
	}
	w.mu.Lock()
	relation := w.tracker.PeerReported(sentAt, time.Now(), report)
	w.publishSnapshot()
	w.mu.Unlock()
	w.handleHead(ctx, relation, observedHead{head: report.Head, asOf: report.AsOf(sentAt), sender: p.Addr})
}
