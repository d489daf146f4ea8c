package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// fakeNetwork connects a client to servers in memory. Existing connections can
// be made to drop all writes while new ones work.
type fakeNetwork struct {
	serve func(net.Conn)

	mu          sync.Mutex
	conns       []*droppingConn
	refuseDials bool
	dials       int
}

var errRefused = errors.New("connection refused")

func (n *fakeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	if n.refuseDials {
		return nil, errRefused
	}
	client, server := net.Pipe()
	c := &droppingConn{Conn: client}
	n.conns = append(n.conns, c)
	go n.serve(server)
	return c, nil
}

// dropAllWrites makes all existing connections drop their writes.
func (n *fakeNetwork) dropAllWrites() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.dropWrites.Store(true)
	}
}

func (n *fakeNetwork) dialed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// droppingConn silently drops writes once dropWrites is set.
type droppingConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func (c *droppingConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// serveHTTP serves one connection with h.
func serveHTTP(h http.Handler) func(net.Conn) {
	return func(c net.Conn) {
		l := &oneConnListener{conn: c, done: make(chan struct{})}
		srv := &http.Server{Handler: h, ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed || s == http.StateHijacked {
				close(l.done)
			}
		}}
		_ = srv.Serve(l)
	}
}

// oneConnListener accepts one connection and then blocks until it is closed.
type oneConnListener struct {
	conn net.Conn
	once sync.Once
	done chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	var c net.Conn
	l.once.Do(func() { c = l.conn })
	if c != nil {
		return c, nil
	}
	<-l.done
	return nil, io.EOF
}

func (l *oneConnListener) Close() error   { return nil }
func (l *oneConnListener) Addr() net.Addr { return l.conn.LocalAddr() }

// outcomes counts the outcomes that an observer receives.
type outcomes struct {
	mu     sync.Mutex
	counts map[health.Outcome]int
}

func (o *outcomes) Observe(_ string, outcome health.Outcome, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[health.Outcome]int)
	}
	o.counts[outcome]++
}

func (o *outcomes) count(outcome health.Outcome) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[outcome]
}

// newTestClient returns a client on a network whose servers run serve.
func newTestClient(t *testing.T, serve func(net.Conn)) (*Client, *fakeNetwork, *outcomes) {
	t.Helper()
	n := &fakeNetwork{serve: serve}
	o := &outcomes{}
	c := NewClient(Settings{Dial: n.dial}, o)
	t.Cleanup(c.Close)
	return c, n, o
}

// callerRequest returns a request as it is received from a caller.
func callerRequest(method, target string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://front"+target, body)
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	if body != nil {
		r.ContentLength = -1
	}
	return r
}

var target = Target{Address: "endpoint:80"}

// readAll reads a response body.
func readAll(resp *Response) (string, error) {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}
