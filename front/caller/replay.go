package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplay bounds what is held of a request's body so that the request can be
// sent again, in bytes.
const maxReplay = 16 << 10

var errNotReplayable = errors.New("request body can't be sent again")

// replayBody is a request's body of which the beginning is held. While nothing
// beyond that has been read, it can be read again from the start.
type replayBody struct {
	mu sync.Mutex
	// source is the caller's body.
	source io.ReadCloser
	// held is what has been read of the source, up to maxReplay bytes.
	held []byte
	// lost says that more has been read than is held.
	lost bool
	// reading says that a read of the source is waiting.
	reading bool
	// ended is the source's end or failure.
	ended error
	// generation counts the rewinds; a reader of an older one gets nothing.
	generation int
}

// newReplayBody holds the beginning of a request's body.
func newReplayBody(r *http.Request) *replayBody {
	b := &replayBody{source: r.Body}
	if r.ContentLength == 0 {
		b.ended = io.EOF
	}
	return b
}

// rewind returns a body that starts at the beginning, and ends the ones that
// it returned before: an attempt that was given up may still read. It returns
// false when the beginning is not held any more, or when a read of the
// caller's body is still waiting.
func (b *replayBody) rewind() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := b.ended != nil && !errors.Is(b.ended, io.EOF)
	if b.lost || b.reading || failed {
		return nil, false
	}
	b.generation++
	return &replayReader{body: b, generation: b.generation, held: bytes.NewReader(b.held)}, true
}

// replayReader reads what is held and then the source.
type replayReader struct {
	body       *replayBody
	generation int
	held       *bytes.Reader
}

// Read implements io.Reader.
func (r *replayReader) Read(buf []byte) (int, error) {
	if n, err, done := r.begin(buf); done {
		return n, err
	}
	n, err := r.body.source.Read(buf)
	r.body.end(buf[:n], err)
	return n, err
}

// begin reads from what is held, or starts a read of the caller's body. It
// tells whether the read is done.
func (r *replayReader) begin(buf []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.generation != b.generation || b.reading {
		return 0, errNotReplayable, true
	}
	if r.held.Len() > 0 {
		n, err = r.held.Read(buf)
		return n, err, true
	}
	if b.ended != nil {
		return 0, b.ended, true
	}
	b.reading = true
	return 0, nil, false
}

// end ends a read of the caller's body and holds what it gave, while there is
// room.
func (b *replayBody) end(part []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.ended = err
	if b.lost || len(b.held)+len(part) > maxReplay {
		b.lost = true
		b.held = nil
		return
	}
	b.held = append(b.held, part...)
}

// Close implements io.Closer. The caller's body stays open: its owner closes
// it.
func (r *replayReader) Close() error { return nil }
