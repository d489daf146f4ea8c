package configuration

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// learned is a head and where it was learned.
type learned struct {
	head generation.Head
	// asOf is when the head was known to stand in the store; may be zero.
	asOf time.Time
	// fromStore says that the store itself named the head.
	fromStore bool
	// from is the address of the instance that named it, if one did.
	from string
	// content is the document, if it came with the head.
	content []byte
}

// act does what the relation of a learned head asks for.
func (w *Watcher) act(ctx context.Context, relation generation.Relation, l learned) {
	switch relation {
	case generation.Newer:
		w.adopt(ctx, l)
	case generation.Forked:
		w.metrics.refused(ctx, refusedForked)
		w.log.WithFields(fields(l.head)).Error("Another document has the generation in force.")
	case generation.Older:
		if l.fromStore {
			w.metrics.refused(ctx, refusedOlder)
			w.log.WithFields(fields(l.head)).Warn("Store names an older generation.")
		}
	case generation.Same:
	}
}

// adopt loads a newer document, follows it, and tells others.
func (w *Watcher) adopt(ctx context.Context, l learned) {
	index, content, err := w.load(ctx, l)
	if err != nil {
		w.metrics.refused(ctx, refusedUnloaded)
		w.log.WithError(err).WithFields(fields(l.head)).Error("Document can't be loaded.")
		return
	}
	w.mu.Lock()
	adopted := w.tracker.Adopt(l.head, l.asOf, l.fromStore)
	if adopted {
		w.current.Store(&Snapshot{Head: l.head, Index: index, content: content})
	}
	w.publish()
	w.mu.Unlock()
	if !adopted {
		return
	}
	w.metrics.adopted(ctx, l.head)
	w.log.WithFields(fields(l.head)).Info("Document is in force.")
	if l.from == "" {
		w.tell(w.topology().origin())
	} else {
		w.tell(w.topology().children())
	}
}

// publish puts the tracker's state into the snapshot. The lock is held.
func (w *Watcher) publish() {
	next := *w.current.Load()
	next.Ready = w.tracker.Ready(time.Now())
	next.FreshUntil = w.tracker.FreshUntil()
	w.current.Store(&next)
}

// compiled is a loaded document.
type compiled struct {
	index   *document.Index
	content []byte
}

// load fetches and compiles a document once for all who ask at the same time.
func (w *Watcher) load(ctx context.Context, l learned) (*document.Index, []byte, error) {
	loaded, err, _ := w.loads.Do(l.head.Digest, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
		defer cancel()
		content, err := w.fetch(ctx, l)
		if err != nil {
			return nil, err
		}
		doc, err := document.Decode(l.head.Digest, content)
		if err != nil {
			return nil, err
		}
		return compiled{index: document.Compile(doc), content: content}, nil
	})
	if err != nil {
		return nil, nil, err
	}
	c := loaded.(compiled)
	return c.index, c.content, nil
}

// fetch returns a document that has the right digest: as it came along, from
// the instance that told of it, from the store, or from any other instance.
func (w *Watcher) fetch(ctx context.Context, l learned) ([]byte, error) {
	if l.content != nil {
		return l.content, checkDigest(l.head.Digest, l.content)
	}
	if l.from != "" {
		limited, cancel := context.WithTimeout(ctx, askTimeout)
		content, err := w.documentFrom(limited, l.from, l.head.Digest)
		cancel()
		if err == nil {
			return content, nil
		}
	}
	content, err := w.store.GetObject(ctx, l.head.Digest)
	if err == nil {
		return content, checkDigest(l.head.Digest, content)
	}
	for _, p := range w.directory.Peers() {
		if content, peerErr := w.documentFrom(ctx, p.Addr, l.head.Digest); peerErr == nil {
			return content, nil
		}
	}
	return nil, err
}

// tell offers the head in force to peers.
func (w *Watcher) tell(peers []Peer) {
	offer := HeadAnnouncement{Head: w.Current().Head, Sender: w.settings.PeerAddr}
	for _, p := range peers {
		w.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			if err := w.peers.Call(ctx, p.Addr, methodOffer, offer, nil); err != nil {
				w.log.WithError(err).WithField("instance", p.Name).Debug("Instance was not told.")
			}
		})
	}
}

// takeOffer queues an offer for Run.
func (w *Watcher) takeOffer(offer HeadAnnouncement) {
	select {
	case w.offers <- offer:
	default:
	}
}

// follow takes in an offer of another instance.
func (w *Watcher) follow(ctx context.Context, offer HeadAnnouncement) {
	w.mu.Lock()
	relation := w.tracker.ObserveHead(offer.Head)
	w.mu.Unlock()
	w.act(ctx, relation, learned{head: offer.Head, from: offer.Sender})
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
	if !w.storeAnswers(ctx) {
		w.mu.Lock()
		relation := w.tracker.ObserveHead(head)
		w.mu.Unlock()
		w.act(ctx, relation, learned{head: head, content: content})
	}
	if current := w.Current().Head; current.Compare(head) == generation.Newer || current.Compare(head) == generation.Forked {
		return &HeadRefusedError{Offered: head, Current: current}
	}
	return nil
}

// storeAnswers reads the head row, takes in the answer and says whether there
// was one.
func (w *Watcher) storeAnswers(ctx context.Context) bool {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, w.settings.ReadSoftTimeout)
	defer cancel()
	row, err := w.store.Get(limited, HeadKey(w.settings.Environment))
	if err != nil {
		return false
	}
	w.readAnswered(ctx, started, row)
	return true
}
