package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes is the maximum number of body bytes buffered so that a request
// can be sent again.
const maxReplayBytes = 16 << 10

var errNotReplayable = errors.New("request body can't be sent again")

// replayBody is a request body whose first bytes are buffered. It can be read
// again from the start until more than that has been read.
type replayBody struct {
	mu sync.Mutex
	// source is the caller's body.
	source io.ReadCloser
	// buffered holds the bytes read from source, up to maxReplayBytes.
	buffered []byte
	// overflowed reports whether more bytes were read than fit in the buffer.
	overflowed bool
	// readPending reports whether a read of source is in progress.
	readPending bool
	// sourceErr is the error that source returned, io.EOF at its end.
	sourceErr error
	// rewinds counts the calls of rewind. Readers of earlier calls return
	// errNotReplayable.
	rewinds int
}

// newReplayBody wraps the body of a request.
func newReplayBody(r *http.Request) *replayBody {
	b := &replayBody{source: r.Body}
	if r.ContentLength == 0 {
		b.sourceErr = io.EOF
	}
	return b
}

// rewind returns a reader from the start of the body and invalidates the
// readers it returned before, since an abandoned attempt may still be reading.
// It returns false if the start is no longer buffered, if a read of the
// caller's body failed, or if one is still in progress.
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

// replayReader reads the buffered bytes and then the source.
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

// beginRead reads from the buffer or starts a read of the caller's body. done
// reports whether the read is complete.
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

// endRead ends a read of the caller's body and buffers the bytes read if they
// fit.
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

// Close implements io.Closer. It leaves the caller's body open, since its owner
// closes it.
func (r *replayReader) Close() error { return nil }
