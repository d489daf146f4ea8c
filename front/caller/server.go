package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"

	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Handler of requests that wait for nothing else keep the connection open for
// this long between requests.
const idleTimeout = 90 * time.Second

// ServerSettings bounds what a caller can make the server hold.
type ServerSettings struct {
	// HeaderTimeout is how long a caller may take to send a request's header.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds a request's header, in bytes.
	MaxHeaderBytes int
}

// Server takes requests of callers from the network into the chain.
type Server struct {
	http *http.Server
	entries    http.Handler
	chain      Handler
	metrics    *Metrics
	log        logrus.FieldLogger
}

// NewServer returns a server that answers the entries page itself and gives
// all else to chain.
func NewServer(s ServerSettings, chain Handler, entries http.Handler, m *Metrics, log logrus.FieldLogger) *Server {
	srv := &Server{chain: chain, entries: entries, metrics: m, log: log.WithField("prefix", "caller")}
	n := negroni.New()
	n.UseFunc(srv.recoverPanic)
	n.UseHandlerFunc(srv.route)
	srv.http = &http.Server{
		Handler:           n,
		ReadHeaderTimeout: s.HeaderTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return srv
}

// Serve answers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives makes every further answer close its connection.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting and returns when all requests have ended or ctx has.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

// route parts the system's own pages from callers' requests.
func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == EntriesPath {
		s.entries.ServeHTTP(w, r)
		return
	}
	s.serve(w, r)
}

// serve takes one request through the chain and writes a refusal, if any.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{
		ID:      uuid.NewString(),
		Arrived: time.Now(),
		Request: r,
		Writer:  w.(ResponseWriter),
		Verdict: verdict.NotRun,
	}
	w.Header().Set(HeaderRequestID, x.ID)
	err := s.chain.ServeExchange(x)
	if err != nil {
		s.writeError(x, err)
	}
	s.metrics.record(x, err)
}

// writeError writes the answer for an exchange that ended with err. When the
// endpoint's answer has begun, only cutting the connection tells the caller
// that it is not whole.
func (s *Server) writeError(x *Exchange, err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{Verdict: x.Verdict, Reason: ReasonInternal, Status: http.StatusInternalServerError, Err: err}
	}
	entry := s.log.WithError(refusal).WithField("request", x.ID)
	if x.Writer.Written() {
		entry.Warn("Answer cut short.")
		s.metrics.record(x, err)
		panic(http.ErrAbortHandler)
	}
	entry.Debug("Request refused.")
	refusal.write(x.Writer)
}

// recoverPanic answers a panic of a stage with 500 and lets a deliberate abort
// through. It stands in for negroni's own recovery, which would swallow the
// abort and pass a short answer off as whole.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		abort, _ := p.(error)
		if errors.Is(abort, http.ErrAbortHandler) || w.(ResponseWriter).Written() {
			panic(http.ErrAbortHandler)
		}
		s.log.WithField("panic", p).Error("Request handler panicked.")
		refusal := &Refusal{Verdict: verdict.MayHaveRun, Reason: ReasonInternal, Status: http.StatusInternalServerError}
		refusal.write(w)
	}()
	next(w, r)
}
