package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	// defaultWait bounds a request whose caller and route name no time.
	defaultWait = 30 * time.Second
	// answerMargin is the time before a caller's deadline at which it gets its
	// final answer, so that the answer arrives in time.
	answerMargin = 15 * time.Millisecond
	// heldBodyBytes is the largest request body that is read before it is
	// sent. Such a request can be sent again and holds no slot while its
	// caller is still sending.
	heldBodyBytes = 512 << 10
	// heldAnswerBytes is the largest answer that is read before it is passed
	// on. Such an answer is known to be whole.
	heldAnswerBytes = 256 << 10
	// defaultMaxBody bounds a body where the catalog names no bound.
	defaultMaxBody = 64 << 20
	// goldenStep spreads successive requests of a route evenly over weights.
	goldenStep = 0.6180339887498949
)

// exchange is one request of a caller.
type exchange struct {
	caller   CallerRequest
	arrived  time.Time
	deadline time.Time
	request  *http.Request
	catalog  *catalog.Catalog
	route    *catalog.Route
	team     *catalog.Team
	service  string
	body     []byte // the whole body, when held
	streamed bool   // the body is too large to be held
	verdict  verdict.Verdict
	tries    int
	kept     bool // all lines on it are logged
	log      logrus.FieldLogger
}

// goal returns when an answer should be there.
func (x *exchange) goal() time.Time { return x.arrived.Add(x.route.Goal) }

// teamName returns the team's name, "" on an open route.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// handler serves callers.
type handler struct {
	protocol CallerProtocol
	beliefs  *beliefs
	sender   *sender
	metrics  *metrics
	lines    *lineBudget
	stopping atomic.Bool // answers close their connection
	refusing atomic.Bool // new requests are refused
	points   atomic.Uint64
	log      logrus.FieldLogger
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{caller: h.protocol.Parse(r), arrived: time.Now(), request: r, verdict: verdict.NotRun}
	x.log = h.log.WithField("request", x.caller.ID)
	x.kept = h.lines.keep(x.arrived)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	answer, refusal := h.serve(x)
	if refusal != nil {
		h.refuse(w, x, refusal)
		return
	}
	h.pass(w, x, answer)
}

// serve brings the request to an endpoint and returns its answer.
func (h *handler) serve(x *exchange) (*heldAnswer, *refusal) {
	if h.refusing.Load() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonStopping, retry: stoppingRetry}
	}
	x.catalog = h.beliefs.catalog.Load()
	if x.catalog == nil || !h.beliefs.ready() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: reasonUnready, retry: unreadyRetry}
	}
	if r := h.admit(x); r != nil {
		return nil, r
	}
	if r := h.holdBody(x); r != nil {
		return nil, r
	}
	if r := h.limit(x); r != nil {
		return nil, r
	}
	x.service = x.route.PickService(h.point())
	return h.sender.send(x)
}

// point returns the next point for a choice by weights.
func (h *handler) point() float64 {
	p := float64(h.points.Add(1)) * goldenStep
	return p - float64(uint64(p))
}

// admit finds route, team and deadline.
func (h *handler) admit(x *exchange) *refusal {
	host := x.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.catalog.Route(host, path)
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if x.catalog.NeedsKeys() && !x.route.Open {
		x.team = x.catalog.TeamByKey(x.caller.Key)
		if x.team == nil {
			return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	wait := defaultWait
	if x.caller.DeadlineLeft > 0 {
		wait = x.caller.DeadlineLeft - answerMargin
	}
	if x.route.Timeout > 0 {
		wait = min(wait, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(wait)
	return nil
}

// limit holds the team to its quota.
func (h *handler) limit(x *exchange) *refusal {
	if x.team == nil {
		return nil
	}
	d := h.beliefs.limiter.Take(x.team.Name, time.Now())
	if d.Allowed {
		return nil
	}
	x.log = x.log.WithFields(logrus.Fields{"part": d.Share, "tokens": d.Tokens})
	return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retry: d.RetryAfter}
}
