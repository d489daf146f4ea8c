package linger

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/pipeline"
	"github.com/cardamomfront/cardamomfront/platform/standin"
)

const (
	// callerBuffer is the receive buffer of a caller behind a slow link, and
	// answerBytes the length of an answer that does not fit into it.
	callerBuffer = 4 << 10
	answerBytes  = 100 << 10
)

// testServer is an *http.Server or a *pipeline.Server.
type testServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// announced is a listener that announces the calls of its connections' Close.
type announced struct {
	net.Listener
	closed chan struct{}
}

type announcedConn struct {
	net.Conn
	closed chan struct{}
}

func (l announced) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return announcedConn{c, l.closed}, nil
}

func (c announcedConn) NetConn() net.Conn { return c.Conn }

func (c announcedConn) Close() error {
	err := c.Conn.Close()
	c.closed <- struct{}{}
	return err
}

// buffering is a listener whose connections hold a whole answer for the caller.
type buffering struct{ net.Listener }

func (l buffering) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 * answerBytes)
	}
	return c, err
}

func newCloser(t *testing.T, limits Limits) *Closer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(limits, noop.NewMeterProvider().Meter(""), log)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// start serves on loopback and returns the address, and a channel that gets a value at
// each close of a connection.
func start(t *testing.T, s testServer, closer *Closer) (string, chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{}, 16)
	go func() { _ = s.Serve(announced{closer.Listener(buffering{l}), closed}) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), closed
}

// dial connects as a caller behind a slow link.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := standin.DialNarrow(address, callerBuffer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answer writes answerBytes, in an answer that closes the connection if the path says
// so.
func answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/closing" {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, strings.Repeat("a", answerBytes))
}

// Guards against a connection that is reset before its caller has received an answer,
// because the caller sends further requests meanwhile.
func TestAnswerIsDeliveredAfterClose(t *testing.T) {
	// whenIdle calls f when the connection is idle for the server.
	whenIdle := func(f func(testServer) error) func(testServer) error {
		return func(s testServer) error {
			time.Sleep(100 * time.Millisecond) // too early a call would wait for the answer
			return f(s)
		}
	}
	for _, reason := range []struct {
		name  string
		path  string
		extra string // sent with the request
		idle  time.Duration
		cause func(testServer) error
	}{
		{name: "closing answer", path: "/closing"},
		{name: "closing answer, request behind it", path: "/closing", extra: "GET /behind HTTP/1.1\r\nHost: a\r\n\r\n"},
		{name: "invalid request behind it", extra: "\x00\r\n\r\n" + strings.Repeat("x", 32<<10)},
		{name: "idle time", idle: time.Millisecond},
		{name: "planned stop", cause: whenIdle(func(s testServer) error { return s.Shutdown(context.Background()) })},
		{name: "end of the process", cause: whenIdle(func(s testServer) error { return s.Close() })},
	} {
		for _, kind := range []string{"net/http", "pipeline"} {
			t.Run(reason.name+", "+kind, func(t *testing.T) {
				t.Parallel()
				handler := Handler(http.HandlerFunc(answer))
				var s testServer = &http.Server{Handler: handler, ConnContext: ConnContext, IdleTimeout: reason.idle, ReadHeaderTimeout: time.Minute}
				if kind == "pipeline" {
					s = &pipeline.Server{
						Handler: handler, ConnContext: ConnContext, IdleTimeout: reason.idle, ReadHeaderTimeout: time.Minute,
						MaxAhead: 8, MayRunAhead: func(*http.Request) bool { return true },
					}
				}
				closer := newCloser(t, DefaultLimits())
				address, closed := start(t, s, closer)
				c := dial(t, address)
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n%s", cmp.Or(reason.path, "/"), reason.extra); err != nil {
					t.Fatal(err)
				}
				in := bufio.NewReaderSize(c, 16)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				if reason.cause != nil {
					if err := reason.cause(s); err != nil {
						t.Fatal(err)
					}
				}
				<-closed
				for range 3 {
					_, _ = io.WriteString(c, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n") // may be refused
				}
				defer func() { _ = resp.Body.Close() }()
				n, err := io.Copy(io.Discard, resp.Body)
				if err != nil || n != answerBytes {
					t.Errorf("got %d bytes of %d, error %v", n, answerBytes, err)
				}
				_ = c.Close()
				closer.Shutdown(context.Background())
				if stats := closer.Stats(); stats.Open != 0 || stats.Undelivered != 0 {
					t.Errorf("%+v", stats)
				}
			})
		}
	}
}

// Guards against a stop that ends the process before a slow caller has received its
// answer, also one that has ended its side behind its request, and against one that waits
// for a caller that has received it.
func TestShutdownWaitsForDelivery(t *testing.T) {
	for name, halfCloses := range map[string]bool{"open": false, "half-closed": true} {
		t.Run(name, func(t *testing.T) {
			limits := DefaultLimits()
			limits.Delivered = 10 * time.Millisecond
			closer := newCloser(t, limits)
			address, closed := start(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: time.Minute}, closer)
			c := dial(t, address)
			if _, err := io.WriteString(c, "GET /closing HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			end := "silence"
			if halfCloses {
				end = "caller"
				if err := c.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			<-closed
			stopped := make(chan struct{})
			go func() {
				closer.Shutdown(context.Background())
				close(stopped)
			}()
			time.Sleep(100 * time.Millisecond)
			select {
			case <-stopped:
				t.Fatal("stopped before the answer was delivered")
			default:
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != answerBytes {
				t.Fatalf("got %d bytes, error %v", n, err)
			}
			<-stopped // the caller has not closed the connection
			if stats := closer.Stats(); stats.Ended[end] != 1 || stats.Undelivered != 0 {
				t.Errorf("%+v", stats)
			}
		})
	}
}

// Guards against an HTTP/1.0 response that is cut at the end of the process and looks
// complete, because its connection ends in order.
func TestCutResponseWithoutLengthLooksCut(t *testing.T) {
	began := make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Minute, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-r.Context().Done()
	}))}
	address, _ := start(t, s, newCloser(t, DefaultLimits()))
	c := dial(t, address)
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(c); err == nil {
		t.Errorf("%q looks complete", b)
	}
}
