package pipeline

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
)

// maxHeldAnswer bounds the bytes of one answer that are held until its turn, so that
// a large one does not take the room of all others.
const maxHeldAnswer = 512 << 10

// ahead is a request that runs before its turn. It implements
// http.ResponseWriter for its handler.
type ahead struct {
	conn              *conn
	method, uri, host string
	end               int64 // of the request, in the connection
	ctx               context.Context
	cancel            context.CancelFunc
	waiting           context.Context // ends with ctx, and when the turn comes
	endWait           context.CancelFunc
	done              chan struct{} // the handler has returned
	completed         bool          // it did not panic; valid after done
	header            http.Header   // of the handler
	dropped           bool          // removed from the queue; conn.mu guards it

	mu        sync.Mutex
	status    int         // 0 before WriteHeader
	sent      http.Header // the header at WriteHeader
	body      []byte
	flush     bool
	flushAt   int                 // length of the body at the first Flush
	out       http.ResponseWriter // set when the turn has come
	discarded bool
}

// runAhead starts the handler of a request read ahead. c.mu is held.
func (c *conn) runAhead(r *http.Request) *ahead {
	a := &ahead{
		conn: c, method: r.Method, uri: r.RequestURI, host: r.Host, end: c.next,
		done: make(chan struct{}), header: make(http.Header),
	}
	a.ctx, a.cancel = context.WithCancel(context.WithValue(c.ctx, http.LocalAddrContextKey, c.LocalAddr()))
	a.waiting, a.endWait = context.WithCancel(a.ctx)
	r = r.WithContext(a.ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	go a.run(r)
	return a
}

// run runs the handler.
func (a *ahead) run(r *http.Request) {
	defer close(a.done)
	defer func() {
		v := recover()
		if err, _ := v.(error); v != nil && !errors.Is(err, http.ErrAbortHandler) {
			a.conn.server.logPanic(r.RemoteAddr, v)
		}
		if !a.completed || closes(a.header) {
			a.conn.dropBehind(a)
		}
	}()
	a.conn.server.Handler.ServeHTTP(a, r)
	a.completed = true
}

// answer writes the answer when its turn has come. It returns when the handler has
// returned.
func (a *ahead) answer(w http.ResponseWriter) {
	defer a.cancel()
	a.takeTurn(w)
	<-a.done
	if !a.completed {
		panic(http.ErrAbortHandler)
	}
	// The whole header if the handler wrote nothing, else its trailers.
	maps.Copy(w.Header(), a.header)
}

// takeTurn writes what the handler has written so far. From now on it writes to w.
func (a *ahead) takeTurn(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out = w
	a.endWait()
	if a.status == 0 {
		return
	}
	a.writeHead()
	// Errors end the connection, and thereby the handler's context.
	if a.flush {
		// net/http sends the header at the first Flush, by what it has until then.
		_, _ = w.Write(a.body[:a.flushAt])
		_ = http.NewResponseController(w).Flush()
	}
	if rest := a.body[a.flushAt:]; len(rest) > 0 {
		_, _ = w.Write(rest)
	}
	a.release()
}

// writeHead writes the header to the caller. a.mu is held.
func (a *ahead) writeHead() {
	maps.Copy(a.out.Header(), a.sent)
	a.out.WriteHeader(a.status)
}

// release frees the bytes that are held. a.mu is held.
func (a *ahead) release() {
	a.conn.server.held.Release(int64(len(a.body)))
	a.body = nil
}

// discard cancels the request and drops its answer.
func (a *ahead) discard() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discarded = true
	a.release()
}

// Header implements http.ResponseWriter.
func (a *ahead) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter. Informational responses are not passed
// on.
func (a *ahead) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid WriteHeader code %v", status))
	}
	if status < http.StatusOK && status != http.StatusSwitchingProtocols {
		return
	}
	if closes(a.header) {
		a.conn.dropBehind(a)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status, a.sent = status, a.header.Clone()
	if a.out != nil {
		a.writeHead()
	}
}

// Write implements http.ResponseWriter. It waits for room or for the turn.
func (a *ahead) Write(p []byte) (int, error) {
	a.mu.Lock()
	first := a.status == 0
	a.mu.Unlock()
	if first {
		a.WriteHeader(http.StatusOK)
	}
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		return 0, http.ErrBodyNotAllowed
	}
	reserved := a.reserve(len(p))
	a.mu.Lock()
	defer a.mu.Unlock()
	if reserved && a.out == nil && !a.discarded {
		a.body = append(a.body, p...)
		return len(p), nil
	}
	if reserved {
		a.conn.server.held.Release(int64(len(p)))
	}
	if a.out == nil {
		return 0, context.Cause(a.ctx)
	}
	return a.out.Write(p)
}

// reserve waits for room for n bytes. It returns false if there is none by the time
// that the turn comes or the request is cancelled.
func (a *ahead) reserve(n int) bool {
	a.mu.Lock()
	turn, held := a.out != nil, len(a.body)
	a.mu.Unlock()
	s := a.conn.server
	switch {
	case turn:
		return false
	case held+n > maxHeldAnswer:
		s.counters.bounded.Add(1)
		<-a.waiting.Done()
		return false
	case s.held.TryAcquire(int64(n)):
		return true
	}
	s.counters.bounded.Add(1)
	return s.held.Acquire(a.waiting, int64(n)) == nil
}

// Flush implements http.Flusher.
func (a *ahead) Flush() {
	a.mu.Lock()
	first := a.status == 0
	a.mu.Unlock()
	if first {
		a.WriteHeader(http.StatusOK)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.out != nil:
		_ = http.NewResponseController(a.out).Flush() // an error ends the connection
	case !a.flush:
		a.flush, a.flushAt = true, len(a.body)
	}
}
