package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// deadlineMargin is how long before a caller's deadline it gets the final
	// response, so that the response arrives in time.
	deadlineMargin = 15 * time.Millisecond
	// maxBufferedBody is the size, in bytes, of the largest request body that
	// is read before the request is sent. A buffered request can be retried and
	// holds no slot while its caller is still sending.
	maxBufferedBody = 512 << 10
	// maxBufferedResponse is the size, in bytes, of the largest response that
	// is read before it is passed on. A buffered response is known to be
	// complete.
	maxBufferedResponse = 256 << 10
	// defaultMaxBody bounds a request body, in bytes, if the catalog sets no
	// limit.
	defaultMaxBody = 64 << 20
	// goldenRatioStep distributes successive requests evenly over weights.
	goldenRatioStep = 0.6180339887498949
)

// exchange is one request of a caller and its handling.
type exchange struct {
	caller     CallerRequest
	arrived    time.Time
	deadline   time.Time
	request    *http.Request
	catalog    *catalog.Catalog
	route      *catalog.Route
	team       *catalog.Team
	service    string
	body       []byte // the complete body, unless streamBody is set
	streamBody bool   // the body is too large to be buffered
	// fingerprint identifies further tries of the caller.
	fingerprint crash.Fingerprint
	crash       crash.Decision
	verdict     verdict.Verdict
	attempts    int
	// relayed is set if another instance sends the request through this one, and
	// maxEndpoints is then the number of endpoints that it may be sent to.
	relayed      bool
	maxEndpoints int
	waiting      bool // for room, in this instance
	logAll       bool // all log lines of this request are written
	log          logrus.FieldLogger
}

// goalTime returns the time by which the route's latency goal wants the
// response.
func (x *exchange) goalTime() time.Time { return x.arrived.Add(x.route.Goal) }

// endpointLimit returns the number of endpoints that the request may be sent to.
func (x *exchange) endpointLimit() int {
	limit := max(1, x.route.MaxEndpoints)
	if x.relayed {
		return max(1, min(limit, x.maxEndpoints))
	}
	return limit
}

// hasBody reports whether the request has a body.
func (x *exchange) hasBody() bool { return x.streamBody || len(x.body) > 0 }

// teamName returns the team's name, "" on an open route.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// handler serves the callers' requests.
type handler struct {
	protocol         CallerProtocol
	view             *storeView
	sender           *sender
	metrics          *metrics
	logLimiter       *logLimiter
	closeConnections atomic.Bool // responses close their connections
	refuseRequests   atomic.Bool // new requests are refused
	weightPoints     atomic.Uint64
	log              logrus.FieldLogger
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{caller: h.protocol.Parse(r), arrived: time.Now(), request: r, verdict: verdict.NotRun}
	x.log = h.log.WithField("request", x.caller.ID)
	x.logAll = h.logLimiter.allowRequest(x.arrived)
	if h.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	response, refusal := h.serve(x)
	if refusal != nil {
		h.writeRefusal(w, x, refusal)
		return
	}
	h.writeResponse(w, x, response)
}

// serve sends the request to an endpoint and returns the response.
func (h *handler) serve(x *exchange) (*bufferedResponse, *refusal) {
	if r := h.refuseWhileStopping(); r != nil {
		return nil, r
	}
	x.catalog = h.view.catalog.Load()
	if x.catalog == nil || !h.view.ready() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonNotReady, retryAfter: notReadyRetryAfter}
	}
	if r := h.resolve(x); r != nil {
		return nil, r
	}
	if r := h.bufferBody(x); r != nil {
		return nil, r
	}
	// The body may have taken its time.
	if r := h.refuseWhileStopping(); r != nil {
		return nil, r
	}
	x.crash = h.sender.crashes.Detector().Begin(time.Now(), x.fingerprint)
	if !x.crash.Allowed {
		return nil, crashRefusal(x.crash)
	}
	defer func() {
		h.sender.crashes.Detector().Finish(time.Now(), x.fingerprint, x.crash, x.attempts > 0)
	}()
	if r := h.checkQuota(x); r != nil {
		return nil, r
	}
	x.service = x.route.PickService(h.nextWeightPoint())
	return h.sender.send(x)
}

// refuseWhileStopping returns the refusal of a request that begins too late in a
// shutdown, or nil.
func (h *handler) refuseWhileStopping() *refusal {
	if !h.refuseRequests.Load() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: stoppingRetryAfter}
}

// crashRefusal returns the refusal of a request that crashes endpoints, or that
// waits for the outcome of another one that may.
func crashRefusal(d crash.Decision) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashSuspected, retryAfter: d.RetryAfter}
	if d.Refused {
		r.reason = reasonCrashes
	}
	return r
}

// nextWeightPoint returns the next number in [0, 1) for a choice by weights.
func (h *handler) nextWeightPoint() float64 {
	p := float64(h.weightPoints.Add(1)) * goldenRatioStep
	return p - float64(uint64(p))
}

// resolve finds the route, team and deadline of a request.
func (h *handler) resolve(x *exchange) *refusal {
	x.route = routeOf(x.catalog, x.request)
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if x.catalog.NeedsKeys() && !x.route.Open {
		x.team = x.findTeam()
		if x.team == nil {
			return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	timeout := defaultTimeout
	if x.caller.DeadlineLeft > 0 {
		timeout = x.caller.DeadlineLeft - deadlineMargin
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	if endBy := h.sender.endBy.Load(); endBy != nil && endBy.Before(x.deadline) {
		x.deadline = *endBy
	}
	return nil
}

// routeOf returns the route of a request, or nil.
func routeOf(c *catalog.Catalog, r *http.Request) *catalog.Route {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return c.Route(host, path)
}

// findTeam returns the team that the request runs for, or nil. Of a relayed request
// the first instance has checked the key.
func (x *exchange) findTeam() *catalog.Team {
	if x.relayed {
		return x.catalog.TeamByName(x.request.Header.Get(endpoint.HeaderTeam))
	}
	return x.catalog.TeamByKey(x.caller.Key)
}

// checkQuota applies the team's quota. To a relayed request the first instance has
// applied it.
func (h *handler) checkQuota(x *exchange) *refusal {
	if x.team == nil || x.relayed {
		return nil
	}
	d := h.view.limiter.Take(x.team.Name, time.Now())
	if d.Allowed {
		return nil
	}
	x.log = x.log.WithFields(logrus.Fields{"part": d.Share, "tokens": d.Tokens})
	return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: d.RetryAfter}
}
