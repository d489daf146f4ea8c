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

// responseBody is the body of an answer. At its end it gives the connection back.
type responseBody struct {
	exchange *exchange
	body     io.ReadCloser

	mu    sync.Mutex
	ended bool
}

// Read implements io.Reader. Errors: io.EOF at the end of a whole answer,
// *Error otherwise.
func (b *responseBody) Read(buf []byte) (int, error) {
	b.exchange.watchdog.resume()
	n, err := b.body.Read(buf)
	b.exchange.watchdog.stop()
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if b.markEnded() {
			b.exchange.finish()
		}
		return n, io.EOF
	case errors.Is(err, http.ErrBodyReadAfterClose):
		return n, err
	}
	failure := b.exchange.failBody(err)
	if b.markEnded() {
		b.exchange.abandon()
	}
	return n, failure
}

// Close implements io.Closer. A body that was not read to its end costs the
// connection, which tells the endpoint to stop.
func (b *responseBody) Close() error {
	if b.markEnded() {
		b.exchange.abandon()
	}
	return b.body.Close()
}

// markEnded reports whether this is the first markEnded of the body.
func (b *responseBody) markEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.ended
	b.ended = true
	return first
}

// callerBody is the caller's request body on its way to the endpoint.
type callerBody struct {
	body     io.ReadCloser
	watchdog *progressWatchdog

	mu          sync.Mutex
	readStarted bool
	fullyRead   bool
	readErr     error
}

// Read implements io.Reader.
func (b *callerBody) Read(buf []byte) (int, error) {
	b.watchdog.addCallerReads(1)
	n, err := b.body.Read(buf)
	b.watchdog.addCallerReads(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readStarted = true
	switch {
	case errors.Is(err, io.EOF):
		b.fullyRead = true
	case err != nil:
		b.readErr = err
	}
	return n, err
}

// Close implements io.Closer. The caller's body stays open: its owner closes
// it.
func (b *callerBody) Close() error { return nil }

// isUnread reports whether nothing was read yet.
func (b *callerBody) isUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// isFullyRead reports whether the whole body was read.
func (b *callerBody) isFullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullyRead
}

// readError returns the error of the caller's body, if any.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// outcomeForStatus returns what a whole answer says about the endpoint.
func outcomeForStatus(status int) health.Outcome {
	if status >= http.StatusInternalServerError {
		return health.OutcomeFailed
	}
	return health.OutcomeAnswered
}

// relayError returns the error that another instance gives in place of an
// endpoint's answer, or nil.
func relayError(resp *http.Response, address string) *Error {
	reason := resp.Header.Get(HeaderRelayFailed)
	if reason == "" {
		return nil
	}
	e := &Error{Reason: Reason(reason), Address: address, Header: resp.Header}
	if at := resp.Header.Get(HeaderRelayEndpoint); at != "" {
		e.Address = at
	}
	if resp.Header.Get(HeaderVerdict) == notRunValue {
		e.Verdict = notRun
	}
	return e
}
