package endpoint

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// Response is an endpoint's answer. The caller must read Body to its end or
// close it.
type Response struct {
	// Address is the address of the endpoint that answered.
	Address string
	// Status is the HTTP status code.
	Status int
	// Load is the endpoint's own word on how many requests it has, running and
	// waiting; -1 when it gave none.
	Load int
	// FirstUse says that the connection carried no request before.
	FirstUse bool
	// Header holds the headers to be passed on.
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 when not known.
	ContentLength int64
	// Body streams the answer. A body that ends early gives *Error with
	// ReasonCut and never io.EOF; the cut must be made visible to the caller.
	Body io.ReadCloser
}

// framed reports whether the end of an answer's body can be told from a cut
// (RFC 9112 section 8).
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// answerBody is the body of an answer. At its end it gives the connection back.
type answerBody struct {
	exchange *exchange
	body     io.ReadCloser

	mu    sync.Mutex
	ended bool
}

// Read implements io.Reader. Errors: io.EOF at the end of a whole answer,
// *Error otherwise.
func (b *answerBody) Read(buf []byte) (int, error) {
	b.exchange.watch.resume()
	n, err := b.body.Read(buf)
	b.exchange.watch.stop()
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if b.end() {
			b.exchange.finish()
		}
		return n, io.EOF
	case errors.Is(err, http.ErrBodyReadAfterClose):
		return n, err
	}
	failure := b.exchange.cut(err)
	if b.end() {
		b.exchange.abandon()
	}
	return n, failure
}

// Close implements io.Closer. A body that was not read to its end costs the
// connection, which tells the endpoint to stop.
func (b *answerBody) Close() error {
	if b.end() {
		b.exchange.abandon()
	}
	return b.body.Close()
}

// end reports whether this is the first end of the body.
func (b *answerBody) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.ended
	b.ended = true
	return first
}

// callerBody is the caller's request body on its way to the endpoint.
type callerBody struct {
	body  io.ReadCloser
	watch *silenceWatch

	mu       sync.Mutex
	touched  bool
	finished bool
	err      error
}

// Read implements io.Reader.
func (b *callerBody) Read(buf []byte) (int, error) {
	b.watch.callerWait(1)
	n, err := b.body.Read(buf)
	b.watch.callerWait(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touched = true
	switch {
	case errors.Is(err, io.EOF):
		b.finished = true
	case err != nil:
		b.err = err
	}
	return n, err
}

// Close implements io.Closer. The caller's body stays open: its owner closes
// it.
func (b *callerBody) Close() error { return nil }

// untouched reports whether nothing was read yet.
func (b *callerBody) untouched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.touched
}

// sent reports whether the whole body was read.
func (b *callerBody) sent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished
}

// failure returns the error of the caller's body, if any.
func (b *callerBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// outcomeOf returns what a whole answer says about the endpoint.
func outcomeOf(status int) health.Outcome {
	if status >= http.StatusInternalServerError {
		return health.OutcomeFailed
	}
	return health.OutcomeAnswered
}

// relayFailure returns the error that another instance gives in place of an
// endpoint's answer, or nil.
func relayFailure(resp *http.Response, address string) *Error {
	reason := resp.Header.Get(HeaderRelayFailed)
	if reason == "" {
		return nil
	}
	e := &Error{Reason: Reason(reason), Address: address, Header: resp.Header}
	if at := resp.Header.Get(HeaderRelayEndpoint); at != "" {
		e.Address = at
	}
	if resp.Header.Get(HeaderVerdict) == notRunWord {
		e.Verdict = notRun
	}
	return e
}
