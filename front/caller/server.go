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

	"github.com/cardamomfront/cardamomfront/front/abort"
	"github.com/cardamomfront/cardamomfront/front/duplex"
	"github.com/cardamomfront/cardamomfront/front/linger"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// idleTimeout is how long an idle connection is kept open between requests.
const idleTimeout = 90 * time.Second

// ServerSettings limits the resources that a caller can use.
type ServerSettings struct {
	// HeaderTimeout is how long a caller may take to send a request's header.
	HeaderTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a request header, in bytes.
	MaxHeaderBytes int
}

// Server accepts requests of callers and passes them to the chain of stages.
type Server struct {
	http    *http.Server
	entries http.Handler
	chain   Handler
	metrics *Metrics
	log     logrus.FieldLogger
}

// NewServer returns a server that serves the entries page and passes all other
// requests to chain.
func NewServer(s ServerSettings, chain Handler, entries http.Handler, m *Metrics, log logrus.FieldLogger) *Server {
	srv := &Server{chain: chain, entries: entries, metrics: m, log: log.WithField("prefix", "caller")}
	n := negroni.New()
	n.UseFunc(srv.recoverPanic)
	n.UseHandlerFunc(srv.route)
	srv.http = &http.Server{
		Handler:           linger.Handler(duplex.Handler(n)),
		ConnContext:       linger.ConnContext,
		ReadHeaderTimeout: s.HeaderTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return srv
}

// Serve serves requests on l until Shutdown. The listener must close its connections
// in stages.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives closes each connection after its next response.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting connections and returns when all requests have ended
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.Handler.ServeHTTP(w, r) }

// route separates the entries page from requests of callers.
func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == EntriesPath {
		s.entries.ServeHTTP(w, r)
		return
	}
	s.serve(w, r)
}

// serve passes one request through the chain and writes the refusal, if any.
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

// writeError writes the response for an exchange that ended with err. If the
// endpoint's response has started, the connection is aborted, since that is the
// only way to show the caller that the response is incomplete.
func (s *Server) writeError(x *Exchange, err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{Verdict: x.Verdict, Reason: ReasonInternal, Status: http.StatusInternalServerError, Err: err}
	}
	entry := s.log.WithError(refusal).WithField("request", x.ID)
	if x.Writer.Written() {
		entry.Warn("Response cut short.")
		s.metrics.record(x, err)
		abort.Response(x.Writer, x.Request)
	}
	entry.Debug("Request refused.")
	refusal.write(x.Writer)
}

// recoverPanic responds to a panic in a stage with 500 and passes on
// http.ErrAbortHandler. It replaces the recovery of negroni, which would
// swallow the abort and make a truncated response look complete.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		cause, _ := p.(error)
		if errors.Is(cause, http.ErrAbortHandler) || w.(ResponseWriter).Written() {
			abort.Response(w, r)
		}
		s.log.WithField("panic", p).Error("Request handler panicked.")
		refusal := &Refusal{Verdict: verdict.MayHaveRun, Reason: ReasonInternal, Status: http.StatusInternalServerError}
		refusal.write(w)
	}()
	next(w, r)
}
