package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes bounds what is held of a request's body so that the request can be
// sent again, in bytes.
const maxReplayBytes = 16 << 10

var errNotReplayable = errors.New("request body can't be sent again")

// replayBody is a request's body of which the beginning is held. While nothing
// beyond that has been read, it can be read again from the start.
type replayBody struct {
	mu sync.Mutex
	// source is the caller's body.
	source io.ReadCloser
	// buffered is what has been read of the source, up to maxReplay bytes.
	buffered []byte
	// overflowed says that more has been read than is held.
	overflowed bool
	// readPending says that a read of the source is waiting.
	readPending bool
	// sourceErr is the source's end or failure.
	sourceErr error
	// rewinds counts the rewinds; a reader of an older one gets nothing.
	rewinds int
}

// newReplayBody holds the beginning of a request's body.
func newReplayBody(r *http.Request) *replayBody {
	b := &replayBody{source: r.Body}
	if r.ContentLength == 0 {
		b.sourceErr = io.EOF
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
	failed := b.sourceErr != nil && !errors.Is(b.sourceErr, io.EOF)
	if b.overflowed || b.readPending || failed {
		return nil, false
	}
	b.rewinds++
	return &replayReader{body: b, rewinds: b.rewinds, buffered: bytes.NewReader(b.buffered)}, true
}

// replayReader reads what is held and then the source.
type replayReader struct {
	body     *replayBody
	rewinds  int
	buffered *bytes.Reader
}

// Read implements io.Reader.
func (r *replayReader) Read(buf []byte) (int, error) {
	if n, err, done := r.beginRead(buf); done {
		return n, err
	}
	n, err := r.body.source.Read(buf)
	r.body.endRead(buf[:n], err)
	return n, err
}

// beginRead reads from what is held, or starts a read of the caller's body. It
// tells whether the read is done.
func (r *replayReader) beginRead(buf []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.rewinds != b.rewinds || b.readPending {
		return 0, errNotReplayable, true
	}
	if r.buffered.Len() > 0 {
		n, err = r.buffered.Read(buf)
		return n, err, true
	}
	if b.sourceErr != nil {
		return 0, b.sourceErr, true
	}
	b.readPending = true
	return 0, nil, false
}

// endRead ends a read of the caller's body and holds what it gave, while there is
// room.
func (b *replayBody) endRead(chunk []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readPending = false
	b.sourceErr = err
	if b.overflowed || len(b.buffered)+len(chunk) > maxReplayBytes {
		b.overflowed = true
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, chunk...)
}

// Close implements io.Closer. The caller's body stays open: its owner closes
// it.
func (r *replayReader) Close() error { return nil }
