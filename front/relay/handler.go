// Package relay accepts requests that one instance sends through another one, and
// carries the result back: the endpoint's response, or why there is none and
// whether the request may have run.
//
// The requests are sent with an endpoint.Client whose Request.RelayHeader is set.
// A listener for them must accept only connections of instances, since the team of
// a relayed request is trusted.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// headerWait is when the request may be sent again after a failure, in
	// milliseconds.
	headerWait = endpoint.HeaderPrefix + "Relay-Wait-Ms"
	// reasonBadHeader is the reason for a request that is no relayed request.
	reasonBadHeader = "bad-header"
	// copyBufferBytes is the size of the buffer through which a response is
	// streamed.
	copyBufferBytes = 32 << 10
)

// Failure is why a relayed request got no response.
type Failure struct {
	// Reason is machine-readable.
	Reason string
	// Verdict states whether the request may have run.
	Verdict verdict.Verdict
	// Endpoint is the address of the endpoint that it was sent to, or "".
	Endpoint string
	// Wait is when it may be sent again, nil if unknown.
	Wait *time.Duration
}

// FailureOf returns the failure for an error of an endpoint client.
func FailureOf(e *endpoint.Error) *Failure {
	return &Failure{Reason: string(e.Reason), Verdict: e.Verdict, Endpoint: e.Address}
}

// FailureWait returns Failure.Wait of an error that another instance reported.
func FailureWait(e *endpoint.Error) (time.Duration, bool) {
	ms, err := strconv.ParseInt(e.Header.Get(headerWait), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// Server serves one relayed request, whose context ends at its deadline.
type Server func(r *http.Request) (*endpoint.Response, *Failure)

// handler serves relayed requests.
type handler struct {
	serve Server
	log   logrus.FieldLogger
}

// NewHandler returns a handler of relayed requests.
func NewHandler(serve Server, log logrus.FieldLogger) http.Handler {
	return &handler{serve: serve, log: log.WithField("prefix", "relay")}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	remaining, err := Remaining(r)
	if err != nil {
		h.log.WithError(err).Warn("Failed to read a relayed request's deadline.")
		writeFailure(w, &Failure{Reason: reasonBadHeader, Verdict: verdict.NotRun})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	response, failure := h.serve(r.WithContext(ctx))
	if failure != nil {
		writeFailure(w, failure)
		return
	}
	if err := copyResponse(w, response, r.Header.Get(endpoint.HeaderExchange)); err != nil {
		h.log.WithError(err).Debug("Relayed response cut short.")
		panic(http.ErrAbortHandler)
	}
}

// Remaining returns the time left for a relayed request. Errors: a header that is
// missing or no number.
func Remaining(r *http.Request) (time.Duration, error) {
	ms, err := strconv.ParseInt(r.Header.Get(endpoint.HeaderDeadline), 10, 64)
	return time.Duration(ms) * time.Millisecond, err
}

// writeFailure reports a failure to the sending instance.
func writeFailure(w http.ResponseWriter, f *Failure) {
	h := w.Header()
	if f.Wait != nil {
		h.Set(headerWait, strconv.FormatInt(f.Wait.Milliseconds(), 10))
	}
	if f.Endpoint != "" {
		h.Set(endpoint.HeaderRelayEndpoint, f.Endpoint)
	}
	h.Set(endpoint.HeaderRelayFailed, f.Reason)
	h.Set(endpoint.HeaderVerdict, f.Verdict.String())
	w.WriteHeader(http.StatusBadGateway)
}

// copyResponse streams a response to the sending instance.
func copyResponse(w http.ResponseWriter, response *endpoint.Response, exchange string) error {
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
	buf := make([]byte, copyBufferBytes)
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
