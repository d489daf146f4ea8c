package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
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
	x.service = x.route.Pick(h.point())
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
		x.team = x.catalog.TeamOfKey(x.caller.Key)
		if x.team == nil {
			return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	wait := defaultWait
	if x.caller.Left > 0 {
		wait = x.caller.Left - answerMargin
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
	x.log = x.log.WithFields(logrus.Fields{"part": d.Part, "tokens": d.Tokens})
	return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retry: d.RetryAfter}
}

// holdBody reads the body, unless it is too large to be held.
func (h *handler) holdBody(x *exchange) *refusal {
	r := x.request
	most := x.catalog.MaxBody
	if most <= 0 {
		most = defaultMaxBody
	}
	if r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > heldBodyBytes {
		x.streamed = true
		return nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, heldBodyBytes+1))
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonBody, err: err}
	case len(held) > heldBodyBytes:
		x.streamed = true
		r.Body = http.MaxBytesReader(nil, joined{io.MultiReader(bytes.NewReader(held), r.Body), r.Body}, most)
		return nil
	}
	x.body = held
	return nil
}

// joined is a body of which a part was read before.
type joined struct {
	io.Reader
	io.Closer
}

// outgoing returns the caller's request for one try.
func (x *exchange) outgoing() *http.Request {
	if x.streamed {
		return x.request
	}
	r := *x.request
	r.Body = http.NoBody
	r.ContentLength = int64(len(x.body))
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return &r
}

// heldAnswer is an endpoint's answer.
type heldAnswer struct {
	*endpoint.Answer
	body    []byte // the whole body, when whole
	whole   bool
	release func() // ends the exchange of an answer that is not whole
}

// pass passes an answer on to the caller.
func (h *handler) pass(w http.ResponseWriter, x *exchange, a *heldAnswer) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	h.metrics.answered(x, a.Status)
	if a.whole {
		if x.request.Method != http.MethodHead {
			a.ContentLength = int64(len(a.body))
		}
		if a.ContentLength >= 0 && hasBody(a.Status) {
			header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
		}
		w.WriteHeader(a.Status)
		if _, err := w.Write(a.body); err != nil {
			x.log.WithError(err).Info("Caller left before its answer.")
		}
		return
	}
	defer a.release()
	defer func() { _ = a.Body.Close() }()
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.body)
	if err == nil {
		_, err = io.Copy(w, a.Body)
	}
	if err != nil {
		x.log.WithError(err).Warn("Answer cut short.")
		// Only a closed connection tells the caller that this is not the whole.
		panic(http.ErrAbortHandler)
	}
}

// hasBody says whether an answer with a status may have a body (RFC 9110, 6.4.1).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// hold reads an answer's body, unless it is too large to be held. Errors:
// *endpoint.Error.
func hold(a *endpoint.Answer) (*heldAnswer, error) {
	if a.ContentLength > heldAnswerBytes {
		return &heldAnswer{Answer: a}, nil
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, heldAnswerBytes+1))
	if err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	if len(body) > heldAnswerBytes {
		return &heldAnswer{Answer: a, body: body}, nil
	}
	return &heldAnswer{Answer: a, body: body, whole: true}, a.Body.Close()
}

// refuse answers a request that was not served.
func (h *handler) refuse(w http.ResponseWriter, x *exchange, r *refusal) {
	h.metrics.refused(x, r)
	h.logRefusal(x, r)
	if errors.Is(x.request.Context().Err(), context.Canceled) {
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	h.protocol.Identify(w.Header(), x.caller.ID)
	if r.retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retry.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
}

// logRefusal logs a refusal with what decided it.
func (h *handler) logRefusal(x *exchange, r *refusal) {
	if !x.kept && !h.lines.failure(time.Now()) {
		return
	}
	fields := logrus.Fields{
		"reason": r.reason, "status": r.status, "verdict": x.verdict.String(),
		"tries": x.tries, "ms": time.Since(x.arrived).Milliseconds(), "team": x.teamName(),
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
		fields["expected_ms"], fields["wait_ms"] = p.Expected.Milliseconds(), p.Wait.Milliseconds()
		fields["candidates"], fields["busy"] = p.Candidates, math.Round(100*p.Busy)/100
		fields["known"], fields["endpoint"] = p.Known, p.Best
	}
	if r.retry > 0 {
		fields["retry_ms"] = r.retry.Milliseconds()
	}
	entry := x.log.WithFields(fields)
	if r.err != nil {
		entry = entry.WithError(r.err)
	}
	entry.Info("Request refused.")
}
