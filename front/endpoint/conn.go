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

// provedConn is a network connection that proves whether anything of a request
// was handed to the network.
type provedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool

	// progress is when bytes last moved, in nanoseconds since the Unix epoch.
	progress atomic.Int64
}

// begin forgets earlier writes before a request is sent.
func (c *provedConn) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
	c.progress.Store(now.UnixNano())
}

// seal forbids further writes and reports whether any write was begun since
// begin. When it reports false, nothing of the request has left or will leave.
func (c *provedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Write implements net.Conn. A write that fails without taking a byte counts
// as none; one that is still going on counts.
func (c *provedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	before := c.written
	c.written = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
		return n, err
	}
	c.mu.Lock()
	c.written = before
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *provedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	return n, err
}

// lastProgress returns when bytes last moved.
func (c *provedConn) lastProgress() time.Time {
	return time.Unix(0, c.progress.Load())
}

// conn is one HTTP connection to an endpoint. It carries one exchange at a
// time and is owned either by its pool or by that exchange.
type conn struct {
	http  *http.ClientConn
	net   *provedConn
	fresh bool
	// lastAnswer is when an answer last arrived on it, or when it was made.
	lastAnswer time.Time
}

// close ends the connection. It is never used again.
func (c *conn) close() { _ = c.http.Close() }

// dialKey is the context key under which dial leaves its connection.
type dialKey struct{}

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
		DialContext:        d.dialNet,
		DisableCompression: true,
		Protocols:          protocols,
	}
	return d
}

// dialNet makes the network connection and leaves it in the context's slot.
func (d *dialer) dialNet(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DialTimeout)
	defer cancel()
	nc, err := d.settings.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	proved := &provedConn{Conn: nc}
	if slot, ok := ctx.Value(dialKey{}).(*net.Conn); ok {
		*slot = proved
	}
	return proved, nil
}

// dial makes a new connection to address.
func (d *dialer) dial(ctx context.Context, address string) (*conn, error) {
	var slot net.Conn
	cc, err := d.transport.NewClientConn(context.WithValue(ctx, dialKey{}, &slot), "http", address)
	if err != nil {
		return nil, err
	}
	proved, ok := slot.(*provedConn)
	if !ok {
		_ = cc.Close()
		return nil, errors.New("dialed connection is missing")
	}
	return &conn{http: cc, net: proved, fresh: true, lastAnswer: time.Now()}, nil
}
