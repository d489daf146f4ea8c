package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

// Server serves the calls of other instances.
type Server struct {
	// Traffic counts the bytes of all connections. Nil counts nothing. It must
	// be set before Serve.
	Traffic *telemetry.Traffic
	// AllowPlainTCP allows plain TCP on addresses other than loopback. It must
	// be set before Listen.
	AllowPlainTCP bool

	tls *tls.Config
	log logrus.FieldLogger

	mu      sync.RWMutex
	methods map[string]Method
	conns   map[*jsonrpc2.Conn]struct{}
	closed  bool
}

// NewServer returns a server without methods. A nil config means plain TCP.
func NewServer(config *tls.Config, log logrus.FieldLogger) *Server {
	return &Server{
		tls:     config,
		log:     log.WithField("prefix", "peer"),
		methods: make(map[string]Method),
		conns:   make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Handle registers m under name. It replaces an earlier registration of the
// same name.
func (s *Server) Handle(name string, m Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = m
}

// Listen opens the server's listener on addr. Errors: *PlainAddressError if
// addr requires TLS and none is configured, or a network error.
func (s *Server) Listen(addr string) (net.Listener, error) {
	return s.ListenWrapped(addr, func(l net.Listener) net.Listener { return l })
}

// ListenWrapped is like Listen. wrap is given the listener of the connections
// below TLS.
func (s *Server) ListenWrapped(addr string, wrap func(net.Listener) net.Listener) (net.Listener, error) {
	if s.tls == nil {
		if err := checkLoopback(addr); err != nil && !s.AllowPlainTCP {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if s.tls == nil {
		return wrap(l), nil
	}
	return tls.NewListener(wrap(l), s.tls), nil
}

// Serve accepts connections until ctx ends and then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeConns()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.serveConn(ctx, conn)
	}
}

// serveConn serves one accepted connection in the background.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(s.Traffic.Conn(conn), lengthCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch))
	rpc := jsonrpc2.NewConn(ctx, stream, handler, discardLog)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = rpc.Close()
		return
	}
	s.conns[rpc] = struct{}{}
	go s.removeOnDisconnect(rpc)
}

// removeOnDisconnect waits until rpc is disconnected and removes it from conns.
func (s *Server) removeOnDisconnect(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

// closeConns closes all connections and makes the server reject later ones.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

// dispatch runs the method that req names and maps its error to a JSON-RPC
// error.
func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	s.mu.RLock()
	m, ok := s.methods[req.Method]
	s.mu.RUnlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.runMethod(ctx, req.Method, m, params)
	if err == nil {
		return result, nil
	}
	s.log.WithError(err).WithField("method", req.Method).Debug("Peer method returned an error.")
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return nil, rpcErr
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// PanicError reports that a method panicked. The instance keeps running.
type PanicError struct {
	// Method is the method's name.
	Method string
}

// Error implements error.
func (e *PanicError) Error() string { return "method " + e.Method + " panicked" }

// runMethod runs one method. A panic fails only this call.
func (s *Server) runMethod(ctx context.Context, name string, m Method, params json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithFields(logrus.Fields{"method": name, "panic": p}).Error("Peer method panicked.")
			err = &PanicError{Method: name}
		}
	}()
	return m(ctx, params)
}
