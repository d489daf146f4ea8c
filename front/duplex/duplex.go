// Package duplex lets an endpoint read a request body while the caller already gets
// the response.
//
// Before net/http's server sends the head of a response, it consumes what is left of
// the request body, for callers that read the response after they have sent all. The
// transport to the endpoint reads the same body in a goroutine of its own. What the
// server consumed would be missing at the endpoint, and the end of a chunked body would
// pass the rest off as the whole.
package duplex

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// errEnded is returned for a read of a body that belongs to net/http's server again.
var errEnded = errors.New("the request body must no longer be read")

// bodyKey is the key of a request's *body in its context.
type bodyKey struct{}

// Handler makes sure that a request body has one reader: the handler and whoever it
// passes the body to, or net/http's server. A response that begins before a body that
// is being read has ended closes its connection.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, length: r.ContentLength}
		defer b.end()
		// A copy, since the server looks at the body of its own request.
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, b))
		r.Body = b
		next.ServeHTTP(&writer{ResponseWriter: w, body: b}, r)
	})
}

// PassOn is called before the body of the request that ctx belongs to is passed to a
// goroutine that reads it.
func PassOn(ctx context.Context) {
	if b, ok := ctx.Value(bodyKey{}).(*body); ok {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.passedOn = true
	}
}

// body is a request body.
type body struct {
	io.ReadCloser
	length int64 // -1 if unknown

	mu       sync.Mutex
	read     int64
	passedOn bool // somebody reads it, or is about to
	complete bool // all of it has been read
	ended    bool // it must no longer be read
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, errEnded
	}
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, errEnded
	}
	b.read += int64(n)
	b.complete = b.complete || errors.Is(err, io.EOF) || b.length >= 0 && b.read >= b.length
	return n, err
}

// begin reports whether the body may be read.
func (b *body) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passedOn = true
	return !b.ended
}

// end makes all reads fail, also one that is in progress.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// beginResponse decides who reads the body from now on. It reports whether that is
// still the handler.
func (b *body) beginResponse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.passedOn && !b.complete && !b.ended {
		return true
	}
	b.ended = b.ended || !b.complete
	return false
}

// writer is the http.ResponseWriter of a request with a body.
type writer struct {
	http.ResponseWriter
	body  *body
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *writer) Flush() {
	w.begin()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a write reports it
}

// Hijack implements http.Hijacker.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin is called before the response begins.
func (w *writer) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.body.beginResponse() {
		return
	}
	if http.NewResponseController(w.ResponseWriter).EnableFullDuplex() != nil {
		w.body.end() // whoever it was passed to sees that it is broken
	}
	w.Header().Set("Connection", "close")
}
