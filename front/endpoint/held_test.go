package endpoint

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// heldConn is a connection over a link that holds back all bytes until it heals. As a
// system does, it goes on sending what was written after a close, unless the close
// resets the connection.
type heldConn struct {
	net.Conn

	mu     sync.Mutex
	held   []byte
	resets bool
	closed bool
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.held = append(c.held, b...)
	return len(b), nil
}

// SetLinger with 0 makes Close reset the connection.
func (c *heldConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return nil
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.resets {
		c.held = nil
	}
	return c.SetReadDeadline(time.Unix(1, 0)) // ends a read
}

// heal delivers what the link holds, and ends the connection if it was closed.
func (c *heldConn) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 {
		_, _ = c.Conn.Write(c.held) // the endpoint may be gone
	}
	if c.closed {
		_ = c.Conn.Close()
	}
}

// Guards against a request that reaches its endpoint after it was given up, since a link
// had held it back. The endpoint may be leaving by then, or the request may have been
// answered by another one.
func TestRequestGivenUpDoesNotArriveLater(t *testing.T) {
	for name, giveUp := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		},
		"answered by another endpoint": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			return ctx, cancel
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, theirs := net.Pipe()
				link := &heldConn{Conn: ours}
				arrived := make(chan bool, 1)
				go func() {
					defer func() { _ = theirs.Close() }()
					_, err := http.ReadRequest(bufio.NewReader(theirs))
					arrived <- err == nil
				}()
				client := NewClient(Settings{DisableProbes: true, Dial: func(context.Context, string, string) (net.Conn, error) { return link, nil }}, &outcomes{})
				defer client.Close()
				ctx, cancel := giveUp(t.Context())
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://endpoint/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := client.Send(ctx, Target{Address: "10.0.0.1:80"}, &Request{HTTP: r, ID: "x", Idempotent: true}); err == nil {
					t.Fatal("got a response")
				}
				synctest.Wait()
				if !link.closed {
					t.Fatal("the connection was not closed")
				}
				link.heal()
				if <-arrived {
					t.Error("the request arrived after it was given up")
				}
			})
		})
	}
}
