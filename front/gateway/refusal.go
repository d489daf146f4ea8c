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

// reason is why a request was not served. It is the value of the metrics'
// reason attribute.
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
	// reasonCrashes means that such requests have crashed endpoints.
	reasonCrashes reason = "crashes-endpoints"
	// reasonCrashSuspected means that they may have, and that one is running.
	reasonCrashSuspected reason = "crash-suspected"
)

// Retry-After times where no better estimate is known.
const (
	// stoppingRetryAfter is short: another instance can serve at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is about the time in which an instance reads the
	// catalog.
	notReadyRetryAfter = 500 * time.Millisecond
	// minRetryAfter keeps callers from retrying during the same load peak.
	minRetryAfter = 100 * time.Millisecond
)

// refusal is the final response to a request that was not served.
type refusal struct {
	status int
	reason reason
	// retryAfter is when the caller should retry, 0 to send no Retry-After.
	retryAfter time.Duration
	// placing is why no endpoint was chosen, nil if that is not the cause.
	placing *placing.Refusal
	err     error
}

// writeRefusal responds to a request that was not served.
func (h *handler) writeRefusal(w http.ResponseWriter, x *exchange, r *refusal) {
	h.metrics.recordRefusal(x, r)
	h.logRefusal(x, r)
	if errors.Is(x.request.Context().Err(), context.Canceled) {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	h.protocol.Identify(w.Header(), x.caller.ID)
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
}

// logRefusal logs a refusal and the data behind the decision.
func (h *handler) logRefusal(x *exchange, r *refusal) {
	if !x.logAll && !h.logLimiter.allowFailure(time.Now()) {
		return
	}
	fields := logrus.Fields{
		"reason": r.reason, "status": r.status, "verdict": x.verdict.String(),
		"tries": x.attempts, "ms": time.Since(x.arrived).Milliseconds(), "team": x.teamName(),
	}
	if x.catalog != nil {
		fields["catalog"] = x.catalog.Version
	}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.fingerprint != 0 {
		fields["object"], fields["fingerprint"] = x.caller.Object, x.fingerprint.String()
	}
	if x.service != "" {
		fields["service"] = x.service
	}
	if p := r.placing; p != nil {
		fields["expected_ms"], fields["wait_ms"] = p.Expected.Milliseconds(), p.QueueWait.Milliseconds()
		fields["candidates"], fields["busy"] = p.Candidates, math.Round(100*p.Utilization)/100
		fields["known"], fields["endpoint"], fields["limited"] = p.Warmth, p.BestEndpoint, p.Limited
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
