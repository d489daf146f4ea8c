package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// reason says in one word why a request was not served. It is the value of the
// counters' reason attribute.
type reason string

// Reasons of refusals.
const (
	reasonStopping       reason = "stopping"
	reasonNotReady       reason = "not-ready"
	reasonNoRoute        reason = "no-route"
	reasonUnknownKey     reason = "unknown-key"
	reasonQuota          reason = "quota"
	reasonTooLarge       reason = "body-too-large"
	reasonBody           reason = "body-unreadable"
	reasonDeadline       reason = "deadline"
	reasonCallerLeft     reason = "caller-left"
	reasonFailed         reason = "endpoint-failed"
	reasonNotRun         reason = "endpoint-refused"
	reasonUnprovenNotRun reason = "endpoint-promise-unproved"
)

// Times to come back where nothing better is known.
const (
	// stoppingRetryAfter is short: another instance can serve at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is about the time in which an instance learns the catalog.
	notReadyRetryAfter = 500 * time.Millisecond
	// minRetryAfter keeps callers from coming back within the same wave.
	minRetryAfter = 100 * time.Millisecond
)

// refusal is the final answer to a request that was not served.
type refusal struct {
	status int
	reason reason
	// retryAfter is when the caller should come back, 0 to say nothing.
	retryAfter time.Duration
	// placing is why no endpoint was chosen, nil where that is not the cause.
	placing *placing.Refusal
	err     error
}

// writeRefusal answers a request that was not served.
func (h *handler) writeRefusal(w http.ResponseWriter, x *exchange, r *refusal) {
	h.metrics.recordRefusal(x, r)
	h.logRefusal(x, r)
	if errors.Is(x.request.Context().Err(), context.Canceled) {
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	h.protocol.Identify(w.Header(), x.caller.ID)
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
}

// logRefusal logs a refusal with what decided it.
func (h *handler) logRefusal(x *exchange, r *refusal) {
	if !x.logAll && !h.logLimiter.allowFailure(time.Now()) {
		return
	}
	fields := logrus.Fields{
		"reason": r.reason, "status": r.status, "verdict": x.verdict.String(),
		"tries": x.attempts, "ms": time.Since(x.arrived).Milliseconds(), "team": x.teamName(),
	}
	if x.route != nil {
		fields["route"] = x.route.Name
		fields["catalog"] = x.catalog.Version
	}
	if x.service != "" {
		fields["service"] = x.service
		fields["object"] = x.caller.Object
	}
	if p := r.placing; p != nil {
		fields["expected_ms"], fields["wait_ms"] = p.Expected.Milliseconds(), p.QueueWait.Milliseconds()
		fields["candidates"], fields["busy"] = p.Candidates, math.Round(100*p.Utilization)/100
		fields["known"], fields["endpoint"] = p.Warmth, p.BestEndpoint
	}
	if r.retryAfter > 0 {
		fields["retry_ms"] = r.retryAfter.Milliseconds()
	}
	entry := x.log.WithFields(fields)
	if r.err != nil {
		entry = entry.WithError(r.err)
	}
	entry.Info("Request refused.")
}
