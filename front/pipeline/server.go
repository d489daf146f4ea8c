// Package pipeline is an HTTP/1.1 server for callers that pipeline. net/http
// serves the connections; this package runs idempotent requests that a caller
// has sent ahead before their turn, and hands their answers over in order.
// docs/design/pipelining.md describes the design.
package pipeline

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// DefaultMaxHeldBytes is the default of Server.MaxHeldBytes.
	DefaultMaxHeldBytes = 8 << 20
	// drainPollInterval is how often Shutdown checks whether the requests read
	// ahead have been answered.
	drainPollInterval = 5 * time.Millisecond
	// panicStackSize bounds the stack in the log line on a panic.
	panicStackSize = 64 << 10
)

// Server serves HTTP/1.1 over plain connections. The fields must not be changed
// after the first call of Serve.
type Server struct {
	// Handler serves the requests. It must not hijack connections of requests
	// that MayRunAhead accepts. Required.
	Handler http.Handler
	// MayRunAhead reports whether a request is idempotent. It is called with
	// requests that have no body, before their turn, and must not block. Default:
	// nothing is read ahead.
	MayRunAhead func(*http.Request) bool
	// MaxAhead bounds the requests of one connection that are read ahead.
	MaxAhead int
	// MaxHeldBytes bounds the bytes of answers that wait for their turn and of
	// requests that have not been served. Default: DefaultMaxHeldBytes.
	MaxHeldBytes int64
	// ReadHeaderTimeout, IdleTimeout, MaxHeaderBytes and ErrorLog are as in
	// http.Server.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	ErrorLog          *log.Logger
	// ConnContext is as in http.Server, and gets the listener's connections.
	ConnContext func(ctx context.Context, c net.Conn) context.Context

	initOnce sync.Once
	http     *http.Server
	held     *semaphore.Weighted
	stopping atomic.Bool
	// pending counts the requests read ahead that are neither answered nor
	// dropped.
	pending  atomic.Int64
	counters counters

	mu        sync.Mutex
	listeners map[*listener]struct{}
}

// init creates the parts of the server.
func (s *Server) init() {
	s.initOnce.Do(func() {
		if s.MaxHeldBytes <= 0 {
			s.MaxHeldBytes = DefaultMaxHeldBytes
		}
		if s.MaxHeaderBytes <= 0 {
			s.MaxHeaderBytes = http.DefaultMaxHeaderBytes
		}
		s.held = semaphore.NewWeighted(s.MaxHeldBytes)
		s.listeners = make(map[*listener]struct{})
		s.http = &http.Server{
			Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: s.ReadHeaderTimeout,
			IdleTimeout: s.IdleTimeout, MaxHeaderBytes: s.MaxHeaderBytes, ErrorLog: s.ErrorLog,
			ConnContext: s.connContext,
		}
	})
}

// connContext returns the context of the requests of a connection.
func (s *Server) connContext(ctx context.Context, nc net.Conn) context.Context {
	c := nc.(*conn)
	if s.ConnContext != nil {
		ctx = s.ConnContext(ctx, c.Conn)
	}
	return c.start(ctx)
}

// Serve accepts and serves connections until Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	own := &listener{Listener: l, server: s}
	defer func() { _ = own.Close() }()
	if !s.track(own) {
		return http.ErrServerClosed
	}
	err := s.http.Serve(own)
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// track adds a listener, unless the server is stopping.
func (s *Server) track(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// stop closes the listeners. From then on nothing is read ahead.
func (s *Server) stop() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for l := range s.listeners {
		_ = l.Close() // its Serve call ends either way
	}
	clear(s.listeners)
}

// Shutdown stops as http.Server.Shutdown does. Requests that have been read ahead
// are answered first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.pending.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes all listeners and connections.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// serveHTTP is called by net/http for each request, in order.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	t := c.begin(r)
	if t.left {
		panic(http.ErrAbortHandler)
	}
	defer c.finish()
	if t.last {
		w.Header().Set("Connection", "close")
	}
	if t.ahead == nil {
		s.Handler.ServeHTTP(w, r)
		if closes(w.Header()) {
			c.dropBehind(nil)
		}
		return
	}
	defer s.pending.Add(-1)
	t.ahead.answer(w)
}

// closes reports whether an answer with this header closes its connection.
func closes(h http.Header) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// logPanic logs a panic of a handler as net/http does. It is called while the
// handler's goroutine panics.
func (s *Server) logPanic(remoteAddr string, v any) {
	stack := make([]byte, panicStackSize)
	stack = stack[:runtime.Stack(stack, false)]
	logf := log.Printf
	if s.ErrorLog != nil {
		logf = s.ErrorLog.Printf
	}
	logf("http: panic serving %v: %v\n%s", remoteAddr, v, stack)
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server    *Server
	closeOnce sync.Once
	closeErr  error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l.server, nc), nil
}

// Close implements net.Listener. Shutdown and net/http both call it, and the
// second call must not fail.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}
