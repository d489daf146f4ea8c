// Package caller serves requests of callers. It passes each request through a
// chain of stages, each with one concern, and writes the response.
//
// A stage either passes the exchange on or returns a *Refusal. The outermost
// handler writes a refusal immediately, with a verdict that reports whether the
// request may have run.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Exchange is one request of a caller on its way through the stages. It is used
// by one goroutine at a time.
type Exchange struct {
	// ID identifies the request in logs and at endpoints.
	ID string
	// Arrived is the time at which the request header had been read.
	Arrived time.Time
	// Deadline is the time after which the response is no longer useful.
	Deadline time.Time
	// Request is the caller's request. Its context ends at the deadline or when
	// the caller disconnects.
	Request *http.Request
	// Writer receives the response.
	Writer ResponseWriter
	// Index is the configuration under which the request is served, the same
	// for all stages.
	Index *document.Index
	// Route is the matched route.
	Route *document.Route
	// Team is the name of the caller's team, empty on an open route.
	Team string
	// Admission is the decision with which the team's limits admitted the
	// request, zero on an open route.
	Admission limit.Decision
	// IdempotencyKey is the idempotency key sent by the caller, or empty.
	IdempotencyKey string
	// FailedAddresses lists the addresses of endpoints at which earlier
	// attempts failed.
	FailedAddresses []string
	// Version is the version of the route's service that the request goes to;
	// empty means the serving version.
	Version string
	// Endpoint is the endpoint of the latest attempt, nil before the first.
	Endpoint *document.Endpoint
	// Verdict is what is known so far about whether the request has run. Stages
	// that send the request keep it up to date.
	Verdict verdict.Verdict
}

// Context returns the context of the request.
func (x *Exchange) Context() context.Context { return x.Request.Context() }

// Idempotent reports whether the request may be sent more than once, because of
// the route's setting or its method (RFC 9110, 9.2.1).
func (x *Exchange) Idempotent() bool {
	if x.Route.Idempotent {
		return true
	}
	return x.Request.Method == http.MethodGet || x.Request.Method == http.MethodHead
}

// ResponseWriter is an http.ResponseWriter that reports whether the response
// has started.
type ResponseWriter interface {
	http.ResponseWriter
	http.Flusher
	// Written reports whether the response header has been sent.
	Written() bool
	// Status is the status that was sent, or 0 before that.
	Status() int
	// Size is the number of body bytes sent.
	Size() int
}

// Handler serves one exchange. A returned error that is not a *Refusal is an
// internal error.
type Handler interface {
	ServeExchange(x *Exchange) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(x *Exchange) error

// ServeExchange implements Handler.
func (f HandlerFunc) ServeExchange(x *Exchange) error { return f(x) }

// Stage is one concern in the processing of a request.
type Stage interface {
	// Wrap returns a handler that applies the stage around next.
	Wrap(next Handler) Handler
}

// Chain wraps last in the stages, the first stage outermost.
func Chain(last Handler, stages ...Stage) Handler {
	h := last
	for i := len(stages) - 1; i >= 0; i-- {
		h = stages[i].Wrap(h)
	}
	return h
}
