package configuration

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// observedHead is a head together with its source.
type observedHead struct {
	head generation.Head
	// asOf is a time at which the store held the head; zero if unknown.
	asOf time.Time
	// fromStore reports whether the head was read from the store.
	fromStore bool
	// sender is the address of the peer that reported the head, if any.
	sender string
	// content is the document, if it was received with the head.
	content []byte
}

// handleHead adopts, ignores or refuses an observed head, by its relation to
// the head in force.
func (w *Watcher) handleHead(ctx context.Context, relation generation.Relation, observed observedHead) {
	switch relation {
	case generation.Newer:
		w.adopt(ctx, observed)
	case generation.Forked:
		w.metrics.headRefused(ctx, refusedForked)
		w.log.WithFields(fields(observed.head)).Error("Refused head: the generation in force has another document.")
	case generation.Older:
		if observed.fromStore {
			w.metrics.headRefused(ctx, refusedOlder)
			w.log.WithFields(fields(observed.head)).Warn("Refused head: the store has an older generation than the one in force.")
		}
	case generation.Same:
	}
}

// adopt loads a newer document, puts it in force on this instance and announces
// it to peers.
func (w *Watcher) adopt(ctx context.Context, observed observedHead) {
	index, content, err := w.loadDocument(ctx, observed)
	if err != nil {
		w.metrics.headRefused(ctx, refusedUnloaded)
		w.log.WithError(err).WithFields(fields(observed.head)).Error("Failed to load document.")
		return
	}
	w.mu.Lock()
	adopted := w.tracker.Adopt(observed.head, observed.asOf, observed.fromStore)
	if adopted {
		w.current.Store(&Snapshot{Head: observed.head, Index: index, content: content})
	} else {
		w.tracker.Confirm(observed.head, observed.asOf, observed.fromStore)
	}
	w.publishSnapshot()
	w.mu.Unlock()
	if !adopted {
		return
	}
	w.metrics.headAdopted(ctx, observed.head)
	w.log.WithFields(fields(observed.head)).Info("Document is in force.")
	if observed.sender == "" {
		w.announce(w.topology().announceTargets())
	} else {
		w.announce(w.topology().children())
	}
}

// publishSnapshot copies readiness and freshness from the tracker into a new
// snapshot. The caller holds w.mu.
func (w *Watcher) publishSnapshot() {
	next := *w.current.Load()
	next.Ready = w.tracker.Ready(time.Now())
	next.FreshUntil = w.tracker.FreshUntil()
	w.current.Store(&next)
}

// compiledDocument is a document with its index.
type compiledDocument struct {
	index   *document.Index
	content []byte
}

// loadDocument fetches and compiles a document. Concurrent calls for one digest
// share a single load.
func (w *Watcher) loadDocument(ctx context.Context, observed observedHead) (*document.Index, []byte, error) {
	loaded, err, _ := w.loads.Do(observed.head.Digest, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
		defer cancel()
		content, err := w.fetchDocument(ctx, observed)
		if err != nil {
			return nil, err
		}
		doc, err := document.Decode(observed.head.Digest, content)
		if err != nil {
			return nil, err
		}
		return compiledDocument{index: document.Compile(doc), content: content}, nil
	})
	if err != nil {
		return nil, nil, err
	}
	c := loaded.(compiledDocument)
	return c.index, c.content, nil
}

// fetchDocument returns a document after checking its digest. The sources, in
// order, are the content received with the head, the peer that reported the
// head, the store, and any other peer. A peer that does not respond in time is
// asked beside the store.
func (w *Watcher) fetchDocument(ctx context.Context, observed observedHead) ([]byte, error) {
	if observed.content != nil {
		return observed.content, checkDigest(observed.head.Digest, observed.content)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan fetchedDocument, 2)
	pending := 0
	start := func(fetch func() ([]byte, error)) {
		pending++
		go func() {
			content, err := fetch()
			responses <- fetchedDocument{content: content, err: err}
		}()
	}
	if observed.sender != "" {
		start(func() ([]byte, error) {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			return w.fetchFromPeer(ctx, observed.sender, observed.head.Digest)
		})
		patience := time.NewTimer(w.peerPatience())
		defer patience.Stop()
		select {
		case r := <-responses:
			if r.err == nil {
				return r.content, nil
			}
			pending--
		case <-patience.C:
		}
	}
	start(func() ([]byte, error) {
		content, err := w.store.GetObject(ctx, observed.head.Digest)
		if err != nil {
			return nil, err
		}
		return content, checkDigest(observed.head.Digest, content)
	})
	var err error
	for ; pending > 0; pending-- {
		r := <-responses
		if r.err == nil {
			return r.content, nil
		}
		err = r.err
	}
	for _, p := range w.directory.Peers() {
		if content, peerErr := w.fetchFromPeer(ctx, p.Addr, observed.head.Digest); peerErr == nil {
			return content, nil
		}
	}
	return nil, err
}

// fetchedDocument is the result of a request for a document.
type fetchedDocument struct {
	content []byte
	err     error
}

// peerPatience returns how long to wait for the peer that reported a head before the store
// is asked for the document too. It leaves storeLoadTime before the snapshot is stale.
func (w *Watcher) peerPatience() time.Duration {
	return min(peerCallTimeout, max(w.inPeriods(pollTimeoutPeriods), time.Until(w.Current().FreshUntil)-storeLoadTime))
}

// announce sends the head in force to peers.
func (w *Watcher) announce(peers []Peer) {
	announcement := HeadAnnouncement{Head: w.Current().Head, Sender: w.settings.PeerAddr}
	for _, p := range peers {
		w.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			if err := w.peers.Call(ctx, p.Addr, methodAnnounce, announcement, nil); err != nil {
				w.log.WithError(err).WithField("instance", p.Name).Debug("Failed to announce head to peer.")
			}
		})
	}
}

// enqueueAnnouncement queues an announcement for Run and drops it when the
// queue is full.
func (w *Watcher) enqueueAnnouncement(announcement HeadAnnouncement) {
	select {
	case w.announcements <- announcement:
	default:
	}
}

// handleAnnouncement processes a head that a peer announced.
func (w *Watcher) handleAnnouncement(ctx context.Context, announcement HeadAnnouncement) {
	w.mu.Lock()
	relation := w.tracker.ObserveHead(announcement.Head)
	w.mu.Unlock()
	w.handleHead(ctx, relation, observedHead{head: announcement.Head, sender: announcement.Sender})
}

// ApplyHead processes a head and its document from the operators' tool, which
// has seen the store accept them. The store is read first and decides if it
// responds; the tool's head is used only while the store does not respond.
// ApplyHead returns nil once the instance follows that head or a newer one.
// Errors: *DigestError, *document.Error, *HeadRefusedError.
func (w *Watcher) ApplyHead(ctx context.Context, head generation.Head, content []byte) error {
	if err := checkDigest(head.Digest, content); err != nil {
		return err
	}
	if _, err := document.Decode(head.Digest, content); err != nil {
		return err
	}
	if !w.tryReadHead(ctx) {
		w.mu.Lock()
		relation := w.tracker.ObserveHead(head)
		w.mu.Unlock()
		w.handleHead(ctx, relation, observedHead{head: head, content: content})
	}
	if current := w.Current().Head; current.Compare(head) == generation.Newer || current.Compare(head) == generation.Forked {
		return &HeadRefusedError{Offered: head, Current: current}
	}
	return nil
}

// tryReadHead reads the head row, processes the result and reports whether the
// store responded.
func (w *Watcher) tryReadHead(ctx context.Context) bool {
	started := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, w.settings.ReadSoftTimeout)
	defer cancel()
	row, err := w.store.Get(readCtx, HeadKey(w.settings.Environment))
	if err != nil {
		return false
	}
	w.readSucceeded(ctx, started, row)
	return true
}
