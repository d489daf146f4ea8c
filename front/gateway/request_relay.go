package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/relay"
	"github.com/cardamomfront/cardamomfront/front/relayclient"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// An instance that is cut off from all endpoints sends its callers' requests
// through one that is not. The first instance holds the team to its quota and
// answers the caller; the second one does all the rest, as for callers of its own,
// and never passes a request on.

const (
	// sameRegionHelperTime is the round trip to an instance of this region that has
	// not been measured.
	sameRegionHelperTime = 4 * time.Millisecond
	// otherRegionHelperTime is the same for other regions.
	otherRegionHelperTime = 80 * time.Millisecond
)

// Reasons for which another helper may do better.
const (
	reasonHelperCutOff   = "helper-cut-off"
	reasonHelperOutdated = "helper-outdated"
)

// chooseHelper returns the helper for a request, if this instance is cut off and there
// is one. tried are addresses of helpers that have failed.
func (s *sender) chooseHelper(x *exchange, tried map[string]bool) (reach.Helper, bool) {
	if cutOff, _ := s.reach.IsCutOff(); !cutOff || x.relayed {
		return reach.Helper{}, false
	}
	var regions []string
	if x.hasBody() {
		homes, ok := catalog.HomeRegions(x.route, x.team)
		if !ok {
			return reach.Helper{}, false
		}
		regions = homes
	}
	return s.relay.Choose(regions, tried)
}

// relayAttempt sends the request through a helper.
func (s *sender) relayAttempt(ctx context.Context, x *exchange, h reach.Helper, attemptNumber, endpoints int) result {
	start := time.Now()
	var response *bufferedResponse
	err := s.relay.Send(ctx, h, endpoint.Request{
		HTTP:       x.attemptRequest(),
		ID:         x.caller.ID,
		Team:       x.teamName(),
		Idempotent: x.route.Idempotent,
		Deadline:   x.deadline,
	}, endpoints, func(unread *endpoint.Response) (err error) {
		response, err = bufferResponse(unread)
		return err
	})
	s.logRelayAttempt(x, h, response, err, time.Since(start), attemptNumber)
	if err == nil {
		return result{response: response}
	}
	return result{failure: &failure{err: err, refusal: helperRefusal(err)}, err: err, relayed: true}
}

// helperRefusal returns the refusal with which a helper has decided on a request, or
// nil if another helper may do better.
func helperRefusal(err error) *placing.Refusal {
	var e *endpoint.Error
	if !errors.As(err, &e) || e.Header == nil || e.Verdict != verdict.NotRun {
		return nil
	}
	switch string(e.Reason) {
	case reasonHelperCutOff, reasonHelperOutdated, string(reasonStopping), string(reasonNotReady):
		return nil
	}
	wait, _ := relay.FailureWait(e)
	return &placing.Refusal{Reason: placing.Reason(e.Reason), RetryAfter: wait}
}

// logRelayAttempt counts and logs an attempt through a helper.
func (s *sender) logRelayAttempt(x *exchange, h reach.Helper, response *bufferedResponse, err error, elapsed time.Duration, attemptNumber int) {
	s.metrics.recordRelay(err)
	if !x.logAll && !s.logLimiter.allowFailure(time.Now()) {
		return
	}
	log := x.log.WithFields(logrus.Fields{
		"route": x.route.Name, "team": x.teamName(), "try": attemptNumber, "helper": h.Name, "fingerprint": x.fingerprint.String(),
		"ms": elapsed.Milliseconds(), "since_ms": time.Since(x.arrived).Milliseconds(),
	})
	if err != nil {
		log.WithError(err).Info("Request not served through another instance.")
		return
	}
	log.WithField("status", response.Status).Info("Request served through another instance.")
}

// serveRelayed serves a request that another instance sends through this one.
func (h *handler) serveRelayed(r *http.Request) (*endpoint.Response, *relay.Failure) {
	if cutOff, _ := h.sender.reach.IsCutOff(); cutOff {
		return nil, &relay.Failure{Reason: reasonHelperCutOff, Verdict: verdict.NotRun}
	}
	x := &exchange{caller: h.protocol.Parse(r), arrived: time.Now(), request: r, relayed: true, verdict: verdict.NotRun}
	x.caller.DeadlineLeft, _ = relay.Remaining(r) // the relay has read it before
	x.maxEndpoints = relayclient.MaxEndpoints(r)
	x.log = h.log.WithFields(logrus.Fields{"request": x.caller.ID, "relayed": true})
	x.logAll = h.logLimiter.allowRequest(x.arrived)
	response, refusal := h.serve(x)
	if refusal != nil {
		h.metrics.recordRefusal(x, refusal)
		h.logRefusal(x, refusal)
		return nil, relayFailure(x, refusal)
	}
	h.metrics.recordResponse(x, response.Status)
	return response.unbuffered(), nil
}

// relayFailure returns what the sending instance is told of a refusal.
func relayFailure(x *exchange, r *refusal) *relay.Failure {
	f := &relay.Failure{Reason: string(r.reason), Verdict: x.verdict, Wait: &r.retryAfter}
	switch {
	case r.reason == reasonNoRoute, r.reason == reasonUnknownKey:
		f.Reason = reasonHelperOutdated
	case r.status != http.StatusServiceUnavailable && f.Verdict == verdict.Ran:
		f.Verdict = verdict.MayHaveRun // there is no response to pass on
	}
	return f
}

// unbuffered returns the response with all of its body to be read.
func (b *bufferedResponse) unbuffered() *endpoint.Response {
	response := *b.Response
	if b.complete {
		response.ContentLength = int64(len(b.body))
		response.Body = io.NopCloser(bytes.NewReader(b.body))
		return &response
	}
	response.Body = &rejoinedBody{Reader: io.MultiReader(bytes.NewReader(b.body), b.Body), response: b}
	return &response
}

// rejoinedBody is the body of a response whose beginning has been read already.
type rejoinedBody struct {
	io.Reader
	response *bufferedResponse
}

// Close implements io.Closer.
func (b *rejoinedBody) Close() error {
	defer b.response.cancel()
	return b.response.Body.Close()
}
