package duties

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/duty"
)

const (
	// payloadInterval is the shortest time between two payloads with data for one
	// instance.
	payloadInterval = time.Second
	// peerTimeout is how long the state of an instance is kept after the last
	// payload from it or for it.
	peerTimeout = time.Minute
	// successorTimeout is how long after its last payload an instance counts as one that
	// may take over the duties. The holder's notices are acknowledged every window.
	successorTimeout = 10 * time.Second
	// maxUnacknowledged bounds the payloads to one instance whose receipt may still
	// be acknowledged.
	maxUnacknowledged = 8
	// maxPayloadBytes bounds a payload that is taken in.
	maxPayloadBytes = 2 * maxDataBytes
	// maxHolderBytes bounds the holder's name in a notice, which is kept and passed on.
	maxHolderBytes = 256
)

// errLongHolder reports a notice whose holder's name is too long.
var errLongHolder = errors.New("the holder's name in the notice is too long")

// tooLargeError reports data of another instance that is not taken in.
type tooLargeError struct{ bytes int }

// Error implements error.
func (e *tooLargeError) Error() string { return fmt.Sprintf("%d bytes are too many", e.bytes) }

// Peer is an instance that reports are exchanged with.
type Peer struct {
	// Name is the instance's name.
	Name string
	// Started is the start number of its process; 0 if it is not known.
	Started int64
	// Relation is what it is to this instance.
	Relation Relation
}

// payload is what one instance sends another beside its report.
type payload struct {
	// Seq numbers the payloads with parts of a process; 0 without parts.
	Seq uint64 `json:"q,omitempty"`
	// Ack is the highest Seq that the sender has received from the receiver.
	Ack uint64 `json:"a,omitempty"`
	// Parts are those of the duties.
	Parts map[Kind]part `json:"d,omitempty"`
}

// part is what a payload says of one duty.
type part struct {
	// Notice is the latest version of the duty's row that the sender knows.
	Notice *duty.Notice `json:"n,omitempty"`
	// Data is that of the duty's Sharer.
	Data json.RawMessage `json:"x,omitempty"`
}

// progress is how far an instance knows what this one knows of a duty.
type progress struct {
	change uint64
	notice duty.Notice
}

// sent is a payload whose receipt has not been acknowledged.
type sent struct {
	seq   uint64
	known map[Kind]progress
}

// peerState is the state of the exchange with one instance.
type peerState struct {
	started  int64
	relation Relation
	usedAt   time.Time
	heardAt  time.Time // last payload from it
	sentAt   time.Time
	ack      uint64 // highest received Seq
	ackDue   bool
	unacked  []sent
	known    map[Kind]progress
}

// exchange makes and applies the payloads for other instances.
type exchange struct {
	performers []*performer
	log        logrus.FieldLogger

	mu      sync.Mutex
	seq     uint64
	peers   map[string]*peerState
	leaving bool
}

// newExchange returns the exchange of a process. Its sequence numbers begin with
// its start number, so that an acknowledgement of an earlier process is not mistaken
// for one of its own.
func newExchange(performers []*performer, started int64, log logrus.FieldLogger) *exchange {
	return &exchange{performers: performers, log: log, seq: uint64(started), peers: make(map[string]*peerState)}
}

// peer returns the state of an instance. The caller holds mu.
func (e *exchange) peer(now time.Time, p Peer) *peerState {
	s := e.peers[p.Name]
	if s == nil || s.started != p.Started {
		s = &peerState{started: p.Started, relation: p.Relation, known: make(map[Kind]progress)}
		e.peers[p.Name] = s
	}
	s.usedAt = now
	return s
}

// build returns the payload for an instance, nil if there is nothing new.
func (e *exchange) build(now time.Time, p Peer) json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.peer(now, p)
	if s.relation != p.Relation {
		// Other data is due. Nothing of it is known to have been received.
		s.relation, s.unacked = p.Relation, nil
		s.known = make(map[Kind]progress)
	}
	var out payload
	if s.ackDue {
		out.Ack = s.ack
	}
	if e.leaving || now.Sub(s.sentAt) >= payloadInterval {
		e.addParts(&out, s)
	}
	if out.Ack == 0 && out.Parts == nil {
		return nil
	}
	encoded, err := json.Marshal(out)
	if err != nil {
		e.log.WithError(err).Error("Failed to encode what another instance is told of the duties.")
		return nil
	}
	s.ackDue = false
	if out.Parts != nil {
		s.sentAt = now
	}
	return encoded
}

// addParts adds what an instance is not known to have received.
func (e *exchange) addParts(out *payload, s *peerState) {
	known := make(map[Kind]progress, len(e.performers))
	for _, p := range e.performers {
		kind := p.duty.Kind()
		var added part
		now := s.known[kind]
		if n, ok := p.notice(); ok && n != now.notice {
			now.notice, added.Notice = n, &n
		}
		if sharer, ok := p.duty.(Sharer); ok {
			added.Data, now.change = sharer.Since(now.change, s.relation)
		}
		known[kind] = now
		if added.Notice != nil || added.Data != nil {
			if out.Parts == nil {
				out.Parts = make(map[Kind]part)
			}
			out.Parts[kind] = added
		}
	}
	if out.Parts == nil {
		return
	}
	e.seq++
	out.Seq = e.seq
	s.unacked = append(s.unacked, sent{seq: e.seq, known: known})
	if len(s.unacked) > maxUnacknowledged {
		s.unacked = s.unacked[1:]
	}
}

// receive applies a payload of an instance.
func (e *exchange) receive(now time.Time, from Peer, text json.RawMessage) error {
	if len(text) > maxPayloadBytes {
		return &tooLargeError{bytes: len(text)}
	}
	var in payload
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	for _, p := range in.Parts {
		if p.Notice != nil && len(p.Notice.Holder) > maxHolderBytes {
			return errLongHolder
		}
	}
	e.mu.Lock()
	s := e.peer(now, from)
	s.heardAt = now
	s.acknowledge(in.Ack)
	for _, p := range e.performers {
		if n := in.Parts[p.duty.Kind()].Notice; n != nil {
			known := s.known[p.duty.Kind()]
			known.notice = *n // it need not be told
			s.known[p.duty.Kind()] = known
		}
	}
	e.mu.Unlock()
	var failures []error
	for _, p := range e.performers {
		failures = append(failures, p.receive(now, in.Parts[p.duty.Kind()]))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Seq > 0 {
		// Also after a failure: the same data would fail again.
		s.ack, s.ackDue = max(s.ack, in.Seq), true
	}
	return errors.Join(failures...)
}

// acknowledge applies the acknowledgement of a payload.
func (s *peerState) acknowledge(seq uint64) {
	for i, u := range s.unacked {
		if u.seq == seq {
			for kind, known := range u.known {
				if notice := s.known[kind].notice; known.notice.Era < notice.Era || known.notice.Era == notice.Era && known.notice.Revision < notice.Revision {
					known.notice = notice
				}
				s.known[kind] = known
			}
			s.unacked = s.unacked[i+1:]
			return
		}
	}
}

// prune drops the states of instances that are gone.
func (e *exchange) prune(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range e.peers {
		if now.Sub(s.usedAt) > peerTimeout {
			delete(e.peers, name)
		}
	}
}

// hasSuccessor reports whether another instance may take over the duties.
func (e *exchange) hasSuccessor(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.peers {
		if !s.heardAt.IsZero() && now.Sub(s.heardAt) <= successorTimeout {
			return true
		}
	}
	return false
}

// leave lets the last counts pass without a pause.
func (e *exchange) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}
