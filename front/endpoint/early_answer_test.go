package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// unframedProtocol allows responses whose end is the end of their connection.
type unframedProtocol struct{ defaultProtocol }

func (unframedProtocol) AllowsUnframed() bool { return true }

// raceConn is a connection that is reset after its response. A socket reports a reset
// to one system call only: if a write gets it, the next read ends as if the endpoint
// had closed the connection.
type raceConn struct {
	answer io.Reader
	// accepted is the number of request bytes that are sent before writes block;
	// they fail once the connection has been reset, or never if it is negative.
	accepted int
	reset    chan struct{}
	readErr  error
	written  chan struct{} // closed at the first write

	mu     sync.Mutex
	failed chan struct{} // closed when a write has failed
	sent   int
	once   sync.Once
	closed chan struct{}
}

func newRaceConn(answer string, accepted int, readErr error) *raceConn {
	return &raceConn{
		answer: strings.NewReader(answer), accepted: accepted, reset: make(chan struct{}), readErr: readErr,
		written: make(chan struct{}), failed: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *raceConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == 0 {
		close(c.written)
	}
	c.sent += max(1, len(b))
	if c.accepted < 0 || c.sent <= c.accepted {
		return len(b), nil
	}
	select {
	case <-c.reset:
	case <-c.closed:
	}
	select {
	case <-c.failed:
	default:
		close(c.failed)
	}
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *raceConn) Read(b []byte) (int, error) {
	select {
	case <-c.written:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if n, err := c.answer.Read(b); err == nil {
		return n, nil
	}
	<-c.reset
	if c.accepted >= 0 {
		<-c.failed
	}
	return 0, c.readErr
}

func (c *raceConn) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }
func (c *raceConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *raceConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *raceConn) SetDeadline(time.Time) error      { return nil }
func (c *raceConn) SetReadDeadline(time.Time) error  { return nil }
func (c *raceConn) SetWriteDeadline(time.Time) error { return nil }

// newRaceClient returns a client of the endpoint at the other end of c.
func newRaceClient(t *testing.T, c net.Conn) (*Client, *outcomes) {
	o := &outcomes{}
	dial := func(context.Context, string, string) (net.Conn, error) { return c, nil }
	client := NewClient(Settings{Dial: dial, Protocol: unframedProtocol{}, DisableProbes: true}, o)
	t.Cleanup(client.Close)
	return client, o
}

// A response without framing whose connection is reset while the request is still
// being written must not look complete, whichever of the read and the write gets the
// reset.
func TestUnframedResponseResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const large = 1 << 20
	for _, tt := range []struct {
		name, answer string
		body         int
		declared     bool
		accepted     int
		readErr      error
	}{
		{"large, write gets the reset", head + "\r\npart", large, true, 100_000, io.EOF},
		{"large, read gets the reset", head + "\r\npart", large, true, 100_000, syscall.ECONNRESET},
		{"streamed, write gets the reset", head + "\r\npart", large, false, 100_000, io.EOF},
		{"connection: close", head + "Connection: close\r\n\r\npart", large, true, 100_000, io.EOF},
		{"head only", head + "\r\n", large, true, 100_000, io.EOF},
		{"long part", head + "\r\n" + strings.Repeat("x", 300<<10), large, true, 100_000, io.EOF},
		{"small, last write gets the reset", head + "\r\npart", 5000, true, 4096, io.EOF},
		{"small, streamed", head + "\r\npart", 5000, false, 4096, io.EOF},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", large, true, 100_000, io.EOF},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn := newRaceConn(tt.answer, tt.accepted, tt.readErr)
			c, o := newRaceClient(t, conn)
			r := callerRequest(http.MethodPost, "/book", bytes.NewReader(make([]byte, tt.body)))
			if tt.declared {
				r.ContentLength = int64(tt.body)
			}
			resp, err := c.Send(t.Context(), target, &Request{HTTP: r})
			if err == nil {
				close(conn.reset)
				_, err = readAll(resp)
			}
			var e *Error
			if !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun {
				t.Fatalf("error %v, want one that leaves open whether the request ran", err)
			}
			if o.count(health.OutcomeBroken) != 1 {
				t.Errorf("outcomes %v, want one broken", o.counts)
			}
		})
	}
}

// An endpoint that ends a response without framing while the request is still being
// sent may have stopped in the middle of it: its process's end looks the same.
// Responses that end after the request are complete, and so are those with framing.
func TestEndOfAnEarlyResponse(t *testing.T) {
	const body = 1 << 20
	answer := func(head string, whole, reset bool) func(net.Conn) {
		return func(c net.Conn) {
			defer func() { _ = c.Close() }()
			requests := bufio.NewReader(c)
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if whole {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, head+"\r\nhello")
			tcp := c.(*net.TCPConn)
			if reset {
				_ = tcp.SetLinger(0)
				return
			}
			_ = tcp.CloseWrite()
			_, _ = io.Copy(io.Discard, requests)
		}
	}
	const unframed, framed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	for _, tt := range []struct {
		name     string
		serve    func(net.Conn)
		size     int
		unsent   bool // the caller does not send the end of the body
		complete bool
	}{
		{"after the request, closed", answer(unframed, true, false), body, false, true},
		{"after a small request, closed", answer(unframed, true, false), 4096, false, true},
		{"after a request without a body, closed", answer(unframed, true, false), 0, false, true},
		{"before the request has ended, half closed", answer(unframed, false, false), body, true, false},
		{"before the request has ended, reset", answer(unframed, false, true), body, false, false},
		{"before a small request has ended, reset", answer(unframed, false, true), 8000, true, false},
		{"with a length, half closed", answer(framed, false, false), body, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					if c, err := l.Accept(); err == nil {
						tt.serve(c)
					}
				}()
				c := NewClient(Settings{Protocol: unframedProtocol{}, DisableProbes: true}, &outcomes{})
				t.Cleanup(c.Close)
				r := callerRequest(http.MethodPost, "/book", bytes.NewReader(make([]byte, tt.size)))
				if tt.unsent {
					unsent, w := io.Pipe()
					t.Cleanup(func() { _ = w.Close() })
					r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, tt.size-1)), unsent))
				}
				r.ContentLength = int64(tt.size)
				resp, err := c.Send(t.Context(), Target{Address: l.Addr().String()}, &Request{HTTP: r})
				text := ""
				if err == nil {
					text, err = readAll(resp)
				}
				if complete := err == nil; complete != tt.complete {
					t.Fatalf("body %q, error %v, want a complete response: %v", text, err, tt.complete)
				}
			}
		})
	}
}
