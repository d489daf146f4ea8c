package linger

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// progressInterval is how often the delivery of a connection that is being
	// closed is checked.
	progressInterval = 200 * time.Millisecond
	// discardBufferBytes is how much is discarded at a time.
	discardBufferBytes = 2 << 10
	// unknownUnsent is returned by unsentBytes if the system can't tell.
	unknownUnsent = -1
)

// pastDeadline interrupts reads and writes.
var pastDeadline = time.Unix(1, 0)

// halfCloser is a connection whose writing side can be closed alone.
type halfCloser interface {
	CloseWrite() error
}

// conn is a connection that is closed in stages.
type conn struct {
	net.Conn
	closer *Closer

	// readMu is held while the connection below is read.
	readMu sync.Mutex
	// callerEnded is set when the caller has ended its side, callerGone when the
	// connection has failed.
	callerEnded, callerGone atomic.Bool
	// writing counts the calls of Write that have not returned.
	writing atomic.Int32
	// endDelimited is set while the response may end with the connection, and
	// responding until its handler has returned.
	endDelimited, responding atomic.Bool
	// abandonedFor is why the socket was closed while the caller was waited for.
	// abandoned is closed then.
	abandonedFor atomic.Int32
	abandoned    chan struct{}

	mu        sync.Mutex
	closed    bool
	reset     bool // closing resets the connection
	lastWrite time.Time

	element *list.Element // in Closer.conns; Closer.mu guards it
}

func newConn(nc net.Conn, c *Closer) *conn {
	return &conn{Conn: nc, closer: c, abandoned: make(chan struct{})}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	c.observe(err)
	return n, err
}

// observe remembers what the error of a read says about the caller.
func (c *conn) observe(err error) {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.callerEnded.Store(true)
	default:
		c.callerGone.Store(true)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	c.mu.Lock()
	closed := c.closed
	c.lastWrite = time.Now()
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetWriteDeadline, t) }

// setDeadline sets a deadline unless the connection is closed.
func (c *conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}

// CloseWrite ends the writing side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger with 0 makes Close reset the connection. Other values are ignored.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = seconds == 0
	return nil
}

// Close implements net.Conn. It does not wait for the caller.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	reset := c.reset || c.cutsResponse()
	lastWrite := c.lastWrite
	c.mu.Unlock()
	if reset {
		return c.closeWithReset()
	}
	half, ok := c.Conn.(halfCloser)
	if !ok || c.callerGone.Load() || !c.mayHaveToDeliver(lastWrite) {
		return c.Conn.Close()
	}
	_ = c.Conn.SetDeadline(pastDeadline) // a connection that is gone fails below
	if half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.closer.add(c)
	return nil
}

// mayHaveToDeliver reports whether the caller may not have received everything, or may
// send bytes that would reset the connection before it has taken everything.
func (c *conn) mayHaveToDeliver(lastWrite time.Time) bool {
	ended := c.callerEnded.Load()
	switch c.unsentBytes() {
	case unknownUnsent:
		return !ended
	case 0:
		return !ended && time.Since(lastWrite) < c.closer.limits.Delivered
	}
	return true
}

// isClosed reports whether Close has been called.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// cutsResponse reports whether closing now cuts a response that would then look
// complete.
func (c *conn) cutsResponse() bool {
	return c.endDelimited.Load() && (c.responding.Load() || c.writing.Load() > 0)
}

// closeWithReset closes the socket so that the caller gets an error.
func (c *conn) closeWithReset() error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // Close reports what is wrong
	}
	return c.Conn.Close()
}

// abandon closes the socket of a connection that waits for its caller.
func (c *conn) abandon(why end) {
	c.abandonedFor.CompareAndSwap(0, int32(why))
	c.countUndelivered()
	close(c.abandoned)
	_ = c.Conn.Close() // drain reports how it ended
}

// drain discards what arrives until the caller has ended its side or a limit is
// reached, and then closes the socket.
func (c *conn) drain() {
	c.readMu.Lock() // Close has interrupted a read
	defer c.readMu.Unlock()
	ended := c.discard()
	if why := end(c.abandonedFor.Load()); why != 0 {
		ended = why
	} else {
		if ended != endByCaller {
			c.countUndelivered()
		}
		_ = c.Conn.Close() // nothing can be done about an error
	}
	c.closer.counters.ended[ended].Add(1)
	c.closer.done(c)
}

// discard reads until the caller has ended its side and has received everything, or a
// limit is reached.
func (c *conn) discard() end {
	limits := c.closer.limits
	buf := make([]byte, discardBufferBytes)
	begin := time.Now()
	quietSince := begin
	unsent := c.unsentBytes()
	for discarded := int64(0); ; {
		n := c.discardOnce(buf)
		if c.callerGone.Load() || c.callerEnded.Load() && c.unsentBytes() <= 0 {
			return endByCaller
		}
		now := time.Now()
		before := unsent
		unsent = c.unsentBytes()
		if n > 0 || unsent != before {
			quietSince = now
		}
		discarded += int64(n)
		quiet := limits.Silence
		if unsent == 0 {
			quiet = limits.Delivered
		}
		switch {
		case discarded > limits.MaxBytes:
			return endBytes
		case now.Sub(begin) >= limits.Total:
			return endTotal
		case now.Sub(quietSince) >= quiet:
			return endSilence
		}
	}
}

// discardOnce discards what arrives within progressInterval, and returns the number of
// bytes.
func (c *conn) discardOnce(buf []byte) int {
	if c.callerEnded.Load() {
		timer := time.NewTimer(progressInterval)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.abandoned:
			c.callerGone.Store(true)
		}
		return 0
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(progressInterval)) // the read fails as well
	n, err := c.Conn.Read(buf)
	c.observe(err)
	return n
}

// countUndelivered counts the connection if its caller has not received everything.
func (c *conn) countUndelivered() {
	if c.unsentBytes() > 0 {
		c.closer.counters.undelivered.Add(1)
	}
}
