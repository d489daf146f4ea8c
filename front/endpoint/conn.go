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

// errSealed is returned for writes after the verdict on a request was given.
var errSealed = errors.New("connection is sealed")

// trackedConn is a network connection that proves whether anything of a request
// was handed to the network.
type trackedConn struct {
	net.Conn

	mu           sync.Mutex
	writeStarted bool
	sealed       bool

	// progressUnixNano is when bytes last moved, in nanoseconds since the Unix epoch.
	progressUnixNano atomic.Int64
}

// beginExchange forgets earlier writes before a request is sent.
func (c *trackedConn) beginExchange(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
	c.progressUnixNano.Store(now.UnixNano())
}

// seal forbids further writes and reports whether any write was begun since
// begin. When it reports false, nothing of the request has left or will leave.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writeStarted
}

// Write implements net.Conn. A write that fails without taking a byte counts
// as none; one that is still going on counts.
func (c *trackedConn) Write(b []byte) (int, error) {
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

// lastProgress returns when bytes last moved.
func (c *trackedConn) lastProgress() time.Time {
	return time.Unix(0, c.progressUnixNano.Load())
}

// conn is one HTTP connection to an endpoint. It carries one exchange at a
// time and is owned either by its pool or by that exchange.
type conn struct {
	http     *http.ClientConn
	tracked  *trackedConn
	firstUse bool
	// lastResponse is when an answer last arrived on it, or when it was made.
	lastResponse time.Time
}

// close ends the connection. It is never used again.
func (c *conn) close() { _ = c.http.Close() }

// dialedConnKey is the context key under which dial leaves its connection.
type dialedConnKey struct{}

// dialer makes connections to endpoints.
type dialer struct {
	transport *http.Transport
	settings  Settings
}

// newDialer returns a dialer whose connections prove what was written.
func newDialer(s Settings) *dialer {
	d := &dialer{settings: s}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d.transport = &http.Transport{
		DialContext:        d.dialContext,
		DisableCompression: true,
		Protocols:          protocols,
	}
	return d
}

// dialContext makes the network connection and leaves it in the context's slot.
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
		return nil, errors.New("dialed connection is missing")
	}
	return &conn{http: cc, tracked: tracked, firstUse: true, lastResponse: time.Now()}, nil
}
