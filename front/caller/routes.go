package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// HeaderTimeoutMs is the caller's timeout for a request, in milliseconds from
// its arrival. It can only shorten the timeout of the route.
const HeaderTimeoutMs = "Cardamomfront-Timeout-Ms"

// HeaderIdempotencyKey is the idempotency key of a request that must run at
// most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// Routes is the stage that finds a request's route and deadline.
type Routes struct {
	// Source returns the document in force.
	Source configuration.Source
}

// Wrap implements Stage.
func (s *Routes) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		snapshot := s.Source.Current()
		if !snapshot.Ready {
			refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonNoConfiguration)
			refusal.RetryAfter = time.Second
			return refusal
		}
		x.Index = snapshot.Index
		x.Route = x.Index.Route(x.Request.Method, x.Request.URL.Path)
		if x.Route == nil {
			return refuseNotRun(http.StatusNotFound, ReasonNoRoute)
		}
		if err := readHeaders(x); err != nil {
			return err
		}
		return serveUntilDeadline(x, next)
	})
}

// readHeaders reads the deadline and the idempotency key from the request
// headers and limits the size of the body.
func readHeaders(x *Exchange) error {
	timeout := x.Route.Timeout.Std()
	if text := x.Request.Header.Get(HeaderTimeoutMs); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return refuseNotRun(http.StatusBadRequest, ReasonBadHeader)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.Deadline = x.Arrived.Add(timeout)
	key, err := attempt.ParseKey(x.Request.Header.Values(HeaderIdempotencyKey))
	if err != nil {
		return refuseNotRun(http.StatusBadRequest, ReasonBadHeader)
	}
	x.IdempotencyKey = key
	if x.Request.ContentLength > x.Route.MaxBody.Bytes() {
		return refuseNotRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	x.Request.Body = http.MaxBytesReader(x.Writer, x.Request.Body, x.Route.MaxBody.Bytes())
	return nil
}

// serveUntilDeadline serves x with a context that ends at its deadline, so that
// the caller gets a response as soon as the deadline passes.
func serveUntilDeadline(x *Exchange, next Handler) error {
	ctx, cancel := context.WithDeadline(x.Context(), x.Deadline)
	defer cancel()
	x.Request = x.Request.WithContext(ctx)
	return next.ServeExchange(x)
}
