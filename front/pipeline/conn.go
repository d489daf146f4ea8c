package pipeline

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// maxUnread bounds the bytes of a connection that net/http has not read. A
	// thousand short requests fit.
	maxUnread = 256 << 10
	// readSize is how much is read ahead at a time.
	readSize = 4 << 10
	// maxIdleBuffer bounds the buffer that an idle connection keeps.
	maxIdleBuffer = 4 << 10
	// unknown is the offset of a message boundary that can't be known.
	unknown = math.MaxInt64
)

// pastDeadline interrupts a read.
var pastDeadline = time.Unix(1, 0)

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// conn is a connection under net/http's server. It keeps the bytes from the first
// message whose handler has not begun, and reads further ones while a handler runs.
// Positions are offsets in the stream of bytes from the caller.
type conn struct {
	net.Conn
	server *Server
	ctx    context.Context // of all requests of the connection
	cancel context.CancelFunc

	mu     sync.Mutex
	reader sync.Cond // readAhead has returned
	buf    []byte
	base   int64 // position of buf[0]
	given  int64 // up to here net/http has read
	next   int64 // begin of the first message without a handler; unknown if lost
	end    int64 // end of the message whose handler runs
	// scanned is how far, from next, the end of a head has been searched for.
	scanned int
	// lastRead is where net/http's last successful read began. If that is at end or
	// behind it, net/http holds a byte of the next message and reads no more until
	// the handler returns.
	lastRead     int64
	reading      bool // net/http is in Read
	readingAhead bool // readAhead runs
	running      bool // a handler runs
	mayRead      bool // requests may be read ahead behind those known
	closing      bool // an answer closes the connection, or is the last one in a stop
	full         bool // the bound on requests was counted for the request at next
	left         bool // the connection has ended
	queue        []*ahead
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, lastRead: -1, cancel: func() {}}
	c.reader.L = &c.mu
	return c
}

// start returns the context of the connection.
func (c *conn) start(ctx context.Context) context.Context {
	c.ctx, c.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	return c.ctx
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadAhead()
	if c.left {
		return 0, io.EOF
	}
	begin := c.given
	n := copy(p, c.buf[c.given-c.base:])
	if n > 0 {
		c.server.held.Release(int64(n))
		c.given += int64(n)
	} else {
		c.reading = true
		c.mu.Unlock()
		var err error
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.reading = false
		c.keep(p[:n])
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.leave()
			}
			return n, err
		}
	}
	c.lastRead = begin
	c.trim()
	c.fill() // net/http's read during a handler may complete a head
	c.startReadAhead()
	return n, nil
}

// keep adds bytes that net/http has read from the connection itself. c.mu is held.
func (c *conn) keep(p []byte) {
	if c.next < c.given+int64(len(p)) {
		c.buf = append(c.buf, p...)
	} else {
		c.buf, c.base = c.buf[:0], c.given+int64(len(p))
	}
	c.given += int64(len(p))
}

// trim removes the bytes that nobody needs any more. c.mu is held.
func (c *conn) trim() {
	needed := min(c.next, c.given)
	if needed <= c.base {
		return
	}
	rest := copy(c.buf, c.buf[needed-c.base:])
	c.buf, c.base = c.buf[:rest], needed
	if rest == 0 && cap(c.buf) > maxIdleBuffer {
		c.buf = nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.leave()
	}
	return n, err
}

// NetConn returns the connection below, for handlers that have hijacked it.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.leave()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http close its side first after an error.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// leave cancels all requests of the connection. c.mu is held.
func (c *conn) leave() {
	if c.left {
		return
	}
	c.left, c.mayRead = true, false
	c.cancel()
	c.server.counters.cancelled.Add(int64(len(c.queue)))
	c.drop(0)
	c.server.held.Release(c.unread())
	c.buf, c.base, c.next = nil, c.given, unknown
}

// unread returns the number of bytes that net/http has not read. c.mu is held.
func (c *conn) unread() int64 { return c.base + int64(len(c.buf)) - c.given }

// drop cancels the requests read ahead from position i of the queue on. c.mu is
// held.
func (c *conn) drop(i int) {
	for _, a := range c.queue[i:] {
		a.dropped = true
		a.discard()
		c.server.pending.Add(-1)
	}
	clear(c.queue[i:])
	c.queue = c.queue[:i]
}

// dropBehind cancels the requests behind one whose answer closes the connection. nil
// stands for the request whose turn it is.
func (c *conn) dropBehind(a *ahead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a != nil && a.dropped {
		return
	}
	first := 0
	for i := range c.queue {
		if c.queue[i] == a {
			first = i + 1
		}
	}
	c.server.counters.dropped.Add(int64(len(c.queue) - first))
	c.drop(first)
	c.closing, c.mayRead = true, false
}

// turn is what begin has found out about a request.
type turn struct {
	ahead *ahead // set if the request was read ahead
	last  bool   // the answer must close the connection
	left  bool   // the caller has left
}

// begin is called when net/http begins to serve a request.
func (c *conn) begin(r *http.Request) turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return turn{left: true}
	}
	c.running = true
	a := c.take(r)
	if a == nil {
		c.locate(r)
	}
	last := c.server.stopping.Load() && len(c.queue) == 0
	if last {
		c.closing, c.mayRead = true, false
	}
	c.trim()
	c.fill()
	c.startReadAhead()
	return turn{ahead: a, last: last}
}

// take removes the request from the queue of those read ahead. If another one is
// expected there, nothing is read ahead on this connection any more. c.mu is held.
func (c *conn) take(r *http.Request) *ahead {
	if len(c.queue) == 0 {
		return nil
	}
	a := c.queue[0]
	if a.method != r.Method || a.uri != r.RequestURI || a.host != r.Host {
		c.server.counters.cancelled.Add(int64(len(c.queue)))
		c.drop(0)
		c.next = unknown
		return nil
	}
	c.queue[0] = nil
	c.queue = c.queue[1:]
	c.end = a.end
	return a
}

// locate finds the end of a request that was not read ahead. c.mu is held.
func (c *conn) locate(r *http.Request) {
	c.mayRead, c.end = false, unknown
	if c.next >= c.given {
		c.next = unknown
		return
	}
	b := c.buf[c.next-c.base : c.given-c.base]
	skipped := leadingLineBreaks(b)
	b = b[skipped:]
	length, _ := headEnd(b, 0)
	if length < 0 || r.ContentLength < 0 || !strings.HasPrefix(string(b[:length]), r.Method+" "+r.RequestURI+" ") {
		c.next = unknown
		return
	}
	c.next += int64(skipped+length) + r.ContentLength
	c.end, c.scanned, c.full = c.next, 0, false
	c.mayRead = !c.closing && c.mayRunAhead(r) && !r.Close
}

// mayRunAhead reports whether a request may run before its turn, or others before
// theirs behind it.
func (c *conn) mayRunAhead(r *http.Request) bool {
	return c.server.MayRunAhead != nil && suitable(r) && c.server.MayRunAhead(r)
}

// fill begins the requests that may be read ahead. c.mu is held.
func (c *conn) fill() {
	for c.running && c.mayRead {
		b := c.buf[c.next-c.base:]
		length, scanned := headEnd(b, c.scanned)
		c.scanned = scanned
		switch {
		case length > c.server.MaxHeaderBytes, length < 0 && len(b) > c.server.MaxHeaderBytes:
			c.mayRead = false
			return
		case length < 0:
			return
		case len(c.queue) >= c.server.MaxAhead:
			if !c.full {
				c.full = true
				c.server.counters.bounded.Add(1)
			}
			return
		}
		r := parse(b[:length])
		if r == nil || !c.mayRunAhead(r) || !c.server.admit() {
			c.mayRead = false
			return
		}
		c.next += int64(length)
		c.full = false
		c.mayRead = !r.Close
		c.queue = append(c.queue, c.runAhead(r))
	}
}

// admit counts a request that is read ahead, unless the server is stopping. Shutdown
// sees either the request or none begins after it.
func (s *Server) admit() bool {
	s.pending.Add(1)
	if s.stopping.Load() {
		s.pending.Add(-1)
		return false
	}
	s.counters.readAhead.Add(1)
	return true
}

// startReadAhead starts to read from the connection if net/http does not until the
// handler returns. c.mu is held.
func (c *conn) startReadAhead() {
	if !c.running || c.readingAhead || c.reading || c.left || c.lastRead < c.end || c.unread() >= maxUnread {
		return
	}
	c.readingAhead = true
	go c.readAhead()
}

// stopReadAhead waits until readAhead has returned. c.mu is held.
func (c *conn) stopReadAhead() {
	if !c.readingAhead {
		return
	}
	_ = c.SetReadDeadline(pastDeadline) // a closed connection ends the read as well
	for c.readingAhead {
		c.reader.Wait()
	}
	_ = c.SetReadDeadline(time.Time{})
}

// readAhead reads from the connection until stopReadAhead, an error or a bound.
// Without it neither further requests nor the end of the connection would be
// noticed while a handler runs.
func (c *conn) readAhead() {
	chunk := make([]byte, readSize)
	for more := true; more; {
		if !c.server.held.TryAcquire(readSize) {
			c.server.counters.bounded.Add(1)
			c.mu.Lock()
			break
		}
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		if c.left {
			n = 0
		}
		c.server.held.Release(int64(readSize - n))
		c.buf = append(c.buf, chunk[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.leave()
		}
		c.fill()
		full := c.unread() >= maxUnread
		if full {
			c.server.counters.bounded.Add(1)
		}
		if more = err == nil && !full && !c.left; more {
			c.mu.Unlock()
		}
	}
	c.readingAhead = false
	c.reader.Broadcast()
	c.mu.Unlock()
}

// finish is called when the handler of a request has returned.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadAhead()
	c.running = false
}
