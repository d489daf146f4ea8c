package configuration

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// observedHead is a head and where it was observedHead.
type observedHead struct {
	head generation.Head
	// asOf is when the head was known to stand in the store; may be zero.
	asOf time.Time
	// fromStore says that the store itself named the head.
	fromStore bool
	// sender is the address of the instance that named it, if one did.
	sender string
	// content is the document, if it came with the head.
	content []byte
}

// handleHead does what the relation of a learned head asks for.
func (w *Watcher) handleHead(ctx context.Context, relation generation.Relation, observed observedHead) {
	switch relation {
	case generation.Newer:
		w.adopt(ctx, observed)
	case generation.Forked:
		w.metrics.headRefused(ctx, refusedForked)
		w.log.WithFields(fields(observed.head)).Error("Another document has the generation in force.")
	case generation.Older:
		if observed.fromStore {
			w.metrics.headRefused(ctx, refusedOlder)
			w.log.WithFields(fields(observed.head)).Warn("Store names an older generation.")
		}
	case generation.Same:
	}
}

// adopt loads a newer document, follows it, and tells others.
func (w *Watcher) adopt(ctx context.Context, observed observedHead) {
	index, content, err := w.loadDocument(ctx, observed)
	if err != nil {
		w.metrics.headRefused(ctx, refusedUnloaded)
		w.log.WithError(err).WithFields(fields(observed.head)).Error("Document can't be loaded.")
		return
	}
	w.mu.Lock()
	adopted := w.tracker.Adopt(observed.head, observed.asOf, observed.fromStore)
	if adopted {
		w.current.Store(&Snapshot{Head: observed.head, Index: index, content: content})
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

// publishSnapshot puts the tracker's state into the snapshot. The lock is held.
func (w *Watcher) publishSnapshot() {
	next := *w.current.Load()
	next.Ready = w.tracker.Ready(time.Now())
	next.FreshUntil = w.tracker.FreshUntil()
	w.current.Store(&next)
}

// compiledDocument is a loaded document.
type compiledDocument struct {
	index   *document.Index
	content []byte
}

// loadDocument fetches and compiles a document once for all who ask at the same time.
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

// fetchDocument returns a document that has the right digest: as it came along, from
// the instance that told of it, from the store, or from any other instance.
func (w *Watcher) fetchDocument(ctx context.Context, observed observedHead) ([]byte, error) {
	if observed.content != nil {
		return observed.content, checkDigest(observed.head.Digest, observed.content)
	}
	if observed.sender != "" {
		fetchCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		content, err := w.fetchFromPeer(fetchCtx, observed.sender, observed.head.Digest)
		cancel()
		if err == nil {
			return content, nil
		}
	}
	content, err := w.store.GetObject(ctx, observed.head.Digest)
	if err == nil {
		return content, checkDigest(observed.head.Digest, content)
	}
	for _, p := range w.directory.Peers() {
		if content, peerErr := w.fetchFromPeer(ctx, p.Addr, observed.head.Digest); peerErr == nil {
			return content, nil
		}
	}
	return nil, err
}

// announce offers the head in force to peers.
func (w *Watcher) announce(peers []Peer) {
	announcement := HeadAnnouncement{Head: w.Current().Head, Sender: w.settings.PeerAddr}
	for _, p := range peers {
		w.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			if err := w.peers.Call(ctx, p.Addr, methodAnnounce, announcement, nil); err != nil {
				w.log.WithError(err).WithField("instance", p.Name).Debug("Instance was not told.")
			}
		})
	}
}

// enqueueAnnouncement queues an offer for Run.
func (w *Watcher) enqueueAnnouncement(announcement HeadAnnouncement) {
	select {
	case w.announcements <- announcement:
	default:
	}
}

// handleAnnouncement takes in an offer of another instance.
func (w *Watcher) handleAnnouncement(ctx context.Context, announcement HeadAnnouncement) {
	w.mu.Lock()
	relation := w.tracker.ObserveHead(announcement.Head)
	w.mu.Unlock()
	w.handleHead(ctx, relation, observedHead{head: announcement.Head, sender: announcement.Sender})
}

// ApplyHead takes in a head with its document from the operators' tool, which has
// seen the store accept it. The store is read first, and its word counts when
// it answers; the tool's word counts only while the store is silent. ApplyHead
// returns when the instance follows that head or a newer one. Errors:
// *DigestError, *document.Error, *NotFollowedError.
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

// tryReadHead reads the head row, takes in the answer and says whether there
// was one.
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
