package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/slots"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// relayHeaderTimeout is the timeout for reading the header of a relayed
	// request.
	relayHeaderTimeout = 5 * time.Second
	// relayIdleTimeout is how long an idle connection is kept open.
	relayIdleTimeout = 60 * time.Second
	// relayBufferBytes is the size of the buffer through which a response is
	// streamed.
	relayBufferBytes = 32 << 10
)

// RelayServer accepts requests that other instances relay into this region.
type RelayServer struct {
	dispatcher *Dispatcher
	http       *http.Server
	log        logrus.FieldLogger
}

// NewRelayServer returns a server that sends relayed requests with d. Its
// listener must accept only connections of instances.
func NewRelayServer(d *Dispatcher, log logrus.FieldLogger) *RelayServer {
	s := &RelayServer{dispatcher: d, log: log.WithField("prefix", "relay")}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout}
	return s
}

// Register publishes the address to other instances.
func (s *RelayServer) Register(srv *peer.Server, address string) {
	srv.Handle(methodRelayAddress, func(context.Context, json.RawMessage) (any, error) {
		return relayAddress{Address: address}, nil
	})
}

// Serve serves requests on l until Shutdown.
func (s *RelayServer) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and returns when all relayed requests
// have ended or ctx ends.
func (s *RelayServer) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// ServeHTTP implements http.Handler.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := parseRelayed(r)
	if err != nil {
		writeRelayError(w, &broker.UnavailableError{Reason: "bad-header", Err: err})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	response, err := s.dispatcher.SendAt(ctx, req, &endpoint.Request{
		HTTP: r, ID: r.Header.Get(endpoint.HeaderRequestID), Team: req.Team,
		Idempotent: r.Header.Get(headerIdempotent) == "true",
	})
	if err != nil {
		writeRelayError(w, err)
		return
	}
	if err := copyRelayedResponse(w, response, r.Header.Get(endpoint.HeaderExchange)); err != nil {
		s.log.WithError(err).Debug("Relayed response cut short.")
		panic(http.ErrAbortHandler)
	}
}

// parseRelayed reads the slot request of a relayed request from its headers.
func parseRelayed(r *http.Request) (broker.Request, error) {
	remainingMs, err1 := strconv.ParseInt(r.Header.Get(endpoint.HeaderDeadline), 10, 64)
	maxWaitMs, err2 := strconv.ParseInt(r.Header.Get(headerMaxWait), 10, 64)
	req := broker.Request{
		Group: slots.Group{
			Service: r.Header.Get(headerService),
			Version: r.Header.Get(headerVersion),
			Region:  r.Header.Get(headerRegion),
		},
		Team:     r.Header.Get(endpoint.HeaderTeam),
		Deadline: time.Now().Add(time.Duration(remainingMs) * time.Millisecond),
		MaxWait:  time.Duration(maxWaitMs) * time.Millisecond,
	}
	return req, errors.Join(err1, err2)
}

// writeRelayError reports the failure of a request to the sending instance,
// with the verdict.
func writeRelayError(w http.ResponseWriter, err error) {
	h := w.Header()
	var refusal *admission.Refusal
	var unavailable *broker.UnavailableError
	var endpointErr *endpoint.Error
	reason, outcome := string(endpoint.ReasonDeadline), verdict.NotRun
	switch {
	case errors.As(err, &refusal):
		reason = string(refusal.Reason)
		h.Set(headerWait, strconv.FormatInt(refusal.Wait.Milliseconds(), 10))
	case errors.As(err, &unavailable):
		reason = unavailable.Reason
		h.Set(headerWait, strconv.FormatInt(unavailable.RetryAfter.Milliseconds(), 10))
	case errors.As(err, &endpointErr):
		reason, outcome = string(endpointErr.Reason), endpointErr.Verdict
		h.Set(endpoint.HeaderRelayEndpoint, endpointErr.Address)
	}
	h.Set(endpoint.HeaderRelayFailed, reason)
	h.Set(endpoint.HeaderVerdict, outcome.String())
	w.WriteHeader(http.StatusBadGateway)
}

// copyRelayedResponse streams a response to the sending instance.
func copyRelayedResponse(w http.ResponseWriter, response *endpoint.Response, exchange string) error {
	defer func() { _ = response.Body.Close() }()
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(endpoint.HeaderExchange, exchange)
	h.Set(endpoint.HeaderRelayEndpoint, response.Address)
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
