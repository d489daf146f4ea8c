package endpoint

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// Response is an endpoint's response. The caller must read Body to its end or
// close it.
type Response struct {
	// Address is the address of the endpoint that responded.
	Address string
	// Status is the HTTP status code.
	Status int
	// Load is the load that the endpoint reported.
	Load Load
	// FirstUse reports whether this was the first request on its connection.
	FirstUse bool
	// RetryAfter is the retry delay that the endpoint requested with status 503,
	// or 0.
	RetryAfter time.Duration
	// Leaving reports whether the endpoint stated that it is about to stop.
	Leaving bool
	// RateLimit is what the endpoint stated about its limit on requests per
	// second, or nil. RateLimitErr tells why it could not be read.
	RateLimit    *ratelimit.Limit
	RateLimitErr error
	// Header holds the headers to pass on.
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	// Body streams the response body. If the body ends early, Read returns an
	// *Error with ReasonTruncated and never io.EOF. The truncation must be made
	// visible to the caller.
	Body io.ReadCloser
}

// framed reports whether the end of a response body can be distinguished from a
// truncation (RFC 9112 section 8).
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// errRequestUnfinished is the error of a response without framing whose connection
// ended before the whole request was sent. A socket reports a reset to one system call
// only: if a write has got it, the next read sees the end of the stream.
var errRequestUnfinished = errors.New("connection ended before the request was sent")

// isRequestSent closes the connection and reports whether the whole request was sent
// on it.
func (x *exchange) isRequestSent() bool {
	x.conn.close() // ends a write that is in progress
	return x.body.isFullySent() && !x.conn.tracked.hasWriteFailed()
}

// maxStatus is the highest status code of a response (RFC 9110 section 15).
const maxStatus = 599

// validStatus reports whether a final response may have a status code. The parser of
// net/http accepts 0 to 999. Status 101 is judged separately, and the transport does
// not return other interim responses.
func validStatus(code int) bool {
	return code == http.StatusSwitchingProtocols || code >= http.StatusOK && code <= maxStatus
}

// responseBody is the body of a response. At its end it returns the connection
// to the pool.
type responseBody struct {
	exchange *exchange
	body     io.ReadCloser
	// framed reports whether the body's end is marked by the response itself.
	framed bool

	mu    sync.Mutex
	ended bool
}

// Read implements io.Reader. Errors: io.EOF at the end of a complete response,
// otherwise *Error.
func (b *responseBody) Read(buf []byte) (int, error) {
	b.exchange.watchdog.resume()
	n, err := b.body.Read(buf)
	b.exchange.watchdog.stop()
	if errors.Is(err, io.EOF) && !b.framed && !b.exchange.isRequestSent() {
		err = errRequestUnfinished
	}
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

// Close implements io.Closer. If the body was not read to its end, the
// connection is closed, which cancels the request at the endpoint.
func (b *responseBody) Close() error {
	if b.markEnded() {
		b.exchange.abandon()
	}
	return b.body.Close()
}

// markEnded marks the body as ended and reports whether this was the first
// call.
func (b *responseBody) markEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.ended
	b.ended = true
	return first
}

// callerBody is the caller's request body while it is sent to the endpoint.
type callerBody struct {
	body     io.ReadCloser
	watchdog *progressWatchdog
	length   int64 // declared length, -1 if unknown

	mu          sync.Mutex
	read        int64
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
	b.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.fullyRead = true
	case err != nil:
		b.readErr = err
	}
	return n, err
}

// Close implements io.Closer. It leaves the caller's body open, because its
// owner closes it.
func (b *callerBody) Close() error { return nil }

// isUnread reports whether nothing has been read yet.
func (b *callerBody) isUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// isFullyRead reports whether the whole body has been read.
func (b *callerBody) isFullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullyRead
}

// isFullySent reports whether everything that the endpoint waits for has been read. Of
// a body with a declared length that may be before its end has been read.
func (b *callerBody) isFullySent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullyRead || b.length >= 0 && b.read >= b.length
}

// readError returns the error of reading the caller's body, if any.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// outcomeForStatus returns the outcome of a response with the given status.
func outcomeForStatus(status int) health.Outcome {
	if status >= http.StatusInternalServerError {
		return health.OutcomeFailed
	}
	return health.OutcomeAnswered
}

// relayError returns the error that a relaying instance reports in its
// response, or nil.
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
