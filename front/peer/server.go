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

// Server answers the calls of other instances.
type Server struct {
	// Traffic counts the bytes of connections; nil counts nothing. It is set
	// before Serve.
	Traffic *telemetry.Traffic
	// AllowPlainTCP allows plain TCP on addresses that are not loopback ones.
	// It is set before Listen.
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

// Handle registers m under name. A second registration of a name replaces the
// first.
func (s *Server) Handle(name string, m Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[name] = m
}

// Listen opens the server's listener on addr. Errors: *PlainAddressError when
// TLS is missing, or the error of the network.
func (s *Server) Listen(addr string) (net.Listener, error) {
	if s.tls == nil {
		if err := checkLoopback(addr); err != nil && !s.AllowPlainTCP {
			return nil, err
		}
		return net.Listen("tcp", addr)
	}
	return tls.Listen("tcp", addr, s.tls)
}

// Serve accepts connections until ctx ends, then closes them all.
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

// removeOnDisconnect drops a connection once it has ended.
func (s *Server) removeOnDisconnect(rpc *jsonrpc2.Conn) {
	<-rpc.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

// closeConns ends all connections and refuses later ones.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

// dispatch runs one method.
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
	s.log.WithError(err).WithField("method", req.Method).Debug("Method failed.")
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return nil, rpcErr
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// PanicError says that a method panicked on its message. The instance goes on.
type PanicError struct {
	// Method is the method's name.
	Method string
}

// Error implements error.
func (e *PanicError) Error() string { return "method " + e.Method + " panicked" }

// runMethod runs one method. A panic costs the call and nothing else.
func (s *Server) runMethod(ctx context.Context, name string, m Method, params json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithFields(logrus.Fields{"method": name, "panic": p}).Error("Method panicked.")
			err = &PanicError{Method: name}
		}
	}()
	return m(ctx, params)
}
