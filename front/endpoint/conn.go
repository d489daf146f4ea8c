package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errSealed is returned for writes on a sealed connection. A connection is
// sealed when its request has failed: without further writes it is certain
// whether any byte of the request has been sent, that is, whether it may have
// run.
var errSealed = errors.New("write on a sealed connection")

// trackedConn is a network connection that tracks whether any byte of a request
// may have been handed to the network.
type trackedConn struct {
	net.Conn

	mu           sync.Mutex
	writeStarted bool
	sealed       bool

	// writing is held during a write.
	writing sync.Mutex
	// writeFailed reports whether a write has failed since beginExchange. It is
	// guarded by writing.
	writeFailed bool

	// exchanging is set until a request has been sent and its response has been read.
	exchanging atomic.Bool

	// progressUnixNano is when bytes were last sent or received, in nanoseconds
	// since the Unix epoch.
	progressUnixNano atomic.Int64
}

// beginExchange resets the tracking before a request is sent.
func (c *trackedConn) beginExchange(now time.Time) {
	c.exchanging.Store(true)
	c.writing.Lock()
	c.writeFailed = false
	c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
	c.progressUnixNano.Store(now.UnixNano())
}

// Close implements net.Conn. During an exchange it resets the connection. Otherwise the
// system would go on sending what has not been delivered of the request, which would
// arrive long after it has been given up.
func (c *trackedConn) Close() error {
	if c.exchanging.Load() {
		resetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// resetOnClose makes the close of a connection drop what has not been delivered.
func resetOnClose(c net.Conn) {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // a connection that is gone delivers nothing
	}
}

// seal forbids further writes and reports whether any write has started since
// beginExchange. If it reports false, no byte of the request has been sent or
// will be sent.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeStarted
}

// hasWriteFailed waits for the write that is in progress, if any, and reports
// whether a write has failed since beginExchange.
func (c *trackedConn) hasWriteFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// Write implements net.Conn. A write counts as started while it is in progress,
// and afterwards unless it failed without sending a byte.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.write(b)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// write implements Write. The caller holds writing.
func (c *trackedConn) write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	previous := c.writeStarted
	c.writeStarted = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.progressUnixNano.Store(time.Now().UnixNano())
		return n, err
	}
	c.mu.Lock()
	c.writeStarted = previous
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progressUnixNano.Store(time.Now().UnixNano())
	}
	return n, err
}

// lastProgress returns when bytes were last sent or received.
func (c *trackedConn) lastProgress() time.Time {
	return time.Unix(0, c.progressUnixNano.Load())
}

// conn is one HTTP connection to an endpoint. It carries one exchange at a time
// and is owned either by its pool or by that exchange.
type conn struct {
	http     *http.ClientConn
	tracked  *trackedConn
	firstUse bool
	// lastResponse is when the last response arrived, or when the connection
	// was made if there has been none.
	lastResponse time.Time
}

// close closes the connection. It must not be used again.
func (c *conn) close() { _ = c.http.Close() }

// maxResponseHeaderBytes bounds the head of a response, interim responses
// included.
const maxResponseHeaderBytes = 64 << 10

// dialedConnKey is the context key of the variable in which dialContext stores
// its connection.
type dialedConnKey struct{}

// dialer makes connections to endpoints.
type dialer struct {
	transport *http.Transport
	settings  Settings
}

// newDialer returns a dialer that makes tracked connections.
func newDialer(s Settings) *dialer {
	d := &dialer{settings: s}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d.transport = &http.Transport{
		DialContext:        d.dialContext,
		DisableCompression: true,
		Protocols:          protocols,
		// An endpoint may send a head without an end.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return d
}

// dialContext makes the network connection and stores it in the variable given
// by the context.
func (d *dialer) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DialTimeout)
	defer cancel()
	nc, err := d.settings.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: nc}
	if dialed, ok := ctx.Value(dialedConnKey{}).(*net.Conn); ok {
		*dialed = tracked
	}
	return tracked, nil
}

// dial makes a new connection to address.
func (d *dialer) dial(ctx context.Context, address string) (*conn, error) {
	var dialed net.Conn
	cc, err := d.transport.NewClientConn(context.WithValue(ctx, dialedConnKey{}, &dialed), "http", address)
	if err != nil {
		return nil, err
	}
	tracked, ok := dialed.(*trackedConn)
	if !ok {
		_ = cc.Close()
		return nil, errors.New("transport did not use the dialed connection")
	}
	return &conn{http: cc, tracked: tracked, firstUse: true, lastResponse: time.Now()}, nil
}
