package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/duplex"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/relay"
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
)

// RelayServer accepts requests that other instances relay into this region.
type RelayServer struct {
	dispatcher *Dispatcher
	http       *http.Server
}

// NewRelayServer returns a server that sends relayed requests with d. Its
// listener must accept only connections of instances.
func NewRelayServer(d *Dispatcher, log logrus.FieldLogger) *RelayServer {
	s := &RelayServer{dispatcher: d}
	s.http = &http.Server{Handler: duplex.Handler(relay.NewHandler(s.serve, log)), ReadHeaderTimeout: relayHeaderTimeout, IdleTimeout: relayIdleTimeout}
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

// serve sends a relayed request to an endpoint.
func (s *RelayServer) serve(r *http.Request) (*endpoint.Response, *relay.Failure) {
	req, err := parseRelayed(r)
	if err != nil {
		return nil, relayFailure(&broker.UnavailableError{Reason: "bad-header", Err: err})
	}
	response, err := s.dispatcher.SendAt(r.Context(), req, &endpoint.Request{
		HTTP: r, ID: r.Header.Get(endpoint.HeaderRequestID), Team: req.Team,
		Idempotent: r.Header.Get(headerIdempotent) == "true",
	})
	if err != nil {
		return nil, relayFailure(err)
	}
	return response, nil
}

// parseRelayed reads the slot request of a relayed request from its headers.
func parseRelayed(r *http.Request) (broker.Request, error) {
	remaining, err1 := relay.Remaining(r)
	maxWaitMs, err2 := strconv.ParseInt(r.Header.Get(headerMaxWait), 10, 64)
	req := broker.Request{
		Group: slots.Group{
			Service: r.Header.Get(headerService),
			Version: r.Header.Get(headerVersion),
			Region:  r.Header.Get(headerRegion),
		},
		Team:     r.Header.Get(endpoint.HeaderTeam),
		Deadline: time.Now().Add(remaining),
		MaxWait:  time.Duration(maxWaitMs) * time.Millisecond,
	}
	return req, errors.Join(err1, err2)
}

// relayFailure returns what the sending instance is told of an error.
func relayFailure(err error) *relay.Failure {
	var refusal *admission.Refusal
	var unavailable *broker.UnavailableError
	var endpointErr *endpoint.Error
	switch {
	case errors.As(err, &refusal):
		return &relay.Failure{Reason: string(refusal.Reason), Verdict: verdict.NotRun, Wait: &refusal.Wait}
	case errors.As(err, &unavailable):
		return &relay.Failure{Reason: unavailable.Reason, Verdict: verdict.NotRun, Wait: &unavailable.RetryAfter}
	case errors.As(err, &endpointErr):
		return relay.FailureOf(endpointErr)
	}
	return &relay.Failure{Reason: string(endpoint.ReasonDeadline), Verdict: verdict.NotRun}
}
