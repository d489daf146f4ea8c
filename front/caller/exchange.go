// Package caller serves the callers: it takes their requests through a chain
// of stages, each with one concern, and writes the answer.
//
// A stage either passes the exchange on or returns a *Refusal. The outermost
// handler writes a refusal at once, with a verdict that says whether the
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

// Exchange is one request of a caller on its way through the stages. It is
// used by one goroutine at a time.
type Exchange struct {
	// ID names the request in logs and towards endpoints.
	ID string
	// Arrived is when the request's header had been read.
	Arrived time.Time
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Request is the caller's request. Its context ends with the deadline or
	// when the caller goes away.
	Request *http.Request
	// Writer takes the answer.
	Writer ResponseWriter
	// Index is the configuration that the request is served under, the same
	// for all stages.
	Index *document.Index
	// Route is the matched route.
	Route *document.Route
	// Team is the name of the caller's team, empty on a route open to all.
	Team string
	// Admission is the decision by which the team's limits let the request
	// through; zero on a route open to all.
	Admission limit.Decision
	// IdempotencyKey is the caller's, empty when it sent none.
	IdempotencyKey string
	// FailedAddresses lists the addresses of endpoints that earlier attempts failed at.
	FailedAddresses []string
	// Version is the version of the route's service that the request goes to;
	// empty means the serving one.
	Version string
	// Endpoint is the endpoint of the latest try, nil before the first.
	Endpoint *document.Endpoint
	// Verdict is what is known of the request so far. Stages that send it
	// keep this up to date.
	Verdict verdict.Verdict
}

// Context returns the context of the request.
func (x *Exchange) Context() context.Context { return x.Request.Context() }

// Idempotent says whether the request may be sent more than once: by the
// route's setting or by its method (RFC 9110, 9.2.1).
func (x *Exchange) Idempotent() bool {
	if x.Route.Idempotent {
		return true
	}
	return x.Request.Method == http.MethodGet || x.Request.Method == http.MethodHead
}

// ResponseWriter is an http.ResponseWriter that knows whether the answer has
// begun.
type ResponseWriter interface {
	http.ResponseWriter
	http.Flusher
	// Written says whether the answer's header has been sent.
	Written() bool
	// Status is the status that was sent, 0 before.
	Status() int
	// Size is the number of body bytes sent.
	Size() int
}

// Handler serves one exchange. A returned error that is not a *Refusal is an
// internal fault.
type Handler interface {
	ServeExchange(x *Exchange) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(x *Exchange) error

// ServeExchange implements Handler.
func (f HandlerFunc) ServeExchange(x *Exchange) error { return f(x) }

// Stage is one concern on the way of a request.
type Stage interface {
	// Wrap returns a handler that does the stage's work around next.
	Wrap(next Handler) Handler
}

// Chain puts the stages around last, the first stage outermost.
func Chain(last Handler, stages ...Stage) Handler {
	h := last
	for i := len(stages) - 1; i >= 0; i-- {
		h = stages[i].Wrap(h)
	}
	return h
}
