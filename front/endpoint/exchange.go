package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/front/duplex"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const (
	notRun = verdict.NotRun
	// maxDiscardBytes is the maximum length of an unused response body that is
	// read in order to keep the connection.
	maxDiscardBytes = 4 << 10
	// maxDiscardTime is how long the rest of an unused response body may take.
	maxDiscardTime = 50 * time.Millisecond
)

// notRunValue is the value of HeaderVerdict in an endpoint's response when it
// sheds a request.
var notRunValue = verdict.NotRun.String()

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	pool    *pool
	conn    *conn
	address string
	// incarnation is the incarnation that the request is meant for, or "".
	incarnation string
	// request is the request being sent.
	request   *Request
	parentCtx context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *progressWatchdog
	body      *callerBody
	sentAt    time.Time
	relayed   bool
}

// Send sends r to t and returns the response once its headers have arrived. The
// deadline and cancellation of ctx apply until the response body has ended, and
// reach the endpoint. The request is sent at most once: a second connection is
// used only if nothing was written to the first. Errors: *Error.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	if err := checkSendable(r); err != nil {
		return nil, &Error{Reason: ReasonUnsendable, Verdict: notRun, Address: t.Address, Err: err}
	}
	p := c.pool(t)
	if !r.permitted() {
		return nil, notPermitted(t)
	}
	if idle := p.take(time.Now(), r.Idempotent); idle != nil {
		resp, retry, err := c.exchange(ctx, p, idle, t, r)
		if !retry {
			return resp, err
		}
	}
	cn, err := c.dialer.dial(ctx, t.Address)
	if err != nil {
		return nil, c.dialError(ctx, t, err)
	}
	if !r.permitted() {
		p.put(cn, time.Now())
		return nil, notPermitted(t)
	}
	resp, _, err := c.exchange(ctx, p, cn, t, r)
	return resp, err
}

// permitted reports whether the request may still be sent.
func (r *Request) permitted() bool { return r.Permit == nil || r.Permit() }

// notPermitted returns the error of a request that must no longer be sent.
func notPermitted(t Target) *Error {
	return &Error{Reason: ReasonWithdrawn, Verdict: notRun, Address: t.Address}
}

// checkSendable returns an error if the request must not be sent to an
// endpoint.
func checkSendable(r *Request) error {
	if r.HTTP.Method == http.MethodConnect {
		return errors.New("method CONNECT is not supported")
	}
	token := bearerToken(r.HTTP.Header)
	if token != "" && strings.Contains(r.HTTP.URL.RequestURI(), token) {
		return errors.New("request target contains the API key")
	}
	return nil
}

// dialError returns the error of a request for which no connection could be
// made.
func (c *Client) dialError(ctx context.Context, t Target, err error) *Error {
	e := &Error{Reason: ReasonUnreachable, Verdict: notRun, Address: t.Address, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.Reason = ReasonCanceled
	case ctx.Err() != nil:
		e.Reason = ReasonDeadline
	default:
		c.observer.Observe(t.Address, health.OutcomeUnreachable, 0)
	}
	return e
}

// exchange sends r on cn. It reports retry when the request may be sent on a
// new connection, because nothing was written and the caller's body was not
// read.
func (c *Client) exchange(ctx context.Context, p *pool, cn *conn, t Target, r *Request) (result *Response, retry bool, err error) {
	x := &exchange{client: c, pool: p, conn: cn, address: t.Address, incarnation: t.Incarnation, request: r, parentCtx: ctx, sentAt: time.Now(), relayed: r.RelayHeader != nil}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	cn.tracked.beginExchange(x.sentAt)
	x.watchdog = newProgressWatchdog(cn.tracked, r.ProgressTimeout, x.cancel)
	x.body = &callerBody{body: r.HTTP.Body, watchdog: x.watchdog, length: r.HTTP.ContentLength}
	id := c.nextExchangeID()
	if r.Sent != nil {
		r.Sent()
	}
	resp, err := cn.http.RoundTrip(x.httpRequest(r, id)) //nolint:bodyclose // responseBody closes it
	x.watchdog.stop()
	if err != nil {
		failure := x.failExchange(err)
		retry = failure.Verdict == notRun && !cn.firstUse && ctx.Err() == nil && x.body.isUnread()
		return nil, retry, failure
	}
	response, err := x.handleResponse(resp, id)
	return response, false, err
}

// httpRequest builds the request for the endpoint.
func (x *exchange) httpRequest(r *Request, id string) *http.Request {
	out := &http.Request{
		Method:        r.HTTP.Method,
		URL:           targetURL(x.address, r.HTTP),
		Host:          r.HTTP.Host,
		Header:        x.requestHeaders(r, id),
		ContentLength: r.HTTP.ContentLength,
	}
	if r.HTTP.Body != nil && r.HTTP.Body != http.NoBody && r.HTTP.ContentLength != 0 {
		duplex.PassOn(r.HTTP.Context())
		out.Body = x.body
	} else {
		x.body.fullyRead = true
	}
	return out.WithContext(x.ctx)
}

// targetURL returns the URL of r at address. The path is sent exactly as it was
// received, because decoding and encoding it could change it.
func targetURL(address string, r *http.Request) *url.URL {
	u := &url.URL{
		Scheme:     "http",
		Host:       address,
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return u
}

// requestHeaders returns the end-to-end headers of the caller's request and the
// headers that the protocol adds.
func (x *exchange) requestHeaders(r *Request, id string) http.Header {
	h := requestHeaders(r)
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline, _ = x.ctx.Deadline()
	}
	remaining := time.Duration(-1)
	if !deadline.IsZero() {
		remaining = max(0, deadline.Sub(x.sentAt))
	}
	x.client.settings.Protocol.Prepare(h, r, ExchangeInfo{ID: id, Incarnation: x.incarnation, Remaining: remaining})
	return h
}

// handleResponse converts an HTTP response to a Response, or to an error if it
// is invalid or states that the request did not run.
func (x *exchange) handleResponse(resp *http.Response, id string) (*Response, error) {
	elapsed := time.Since(x.sentAt)
	if err := x.validateResponse(resp, id); err != nil {
		x.client.observer.Observe(x.address, health.OutcomeBroken, elapsed)
		x.abandon()
		return nil, err
	}
	leaving := !x.relayed && x.client.settings.Protocol.Leaving(resp)
	if leaving {
		x.client.observer.Observe(x.address, health.OutcomeLeaving, elapsed)
	}
	delay := time.Duration(0)
	if resp.StatusCode == http.StatusServiceUnavailable {
		delay = retryAfter(resp.Header, time.Now())
	}
	if err := relayError(resp, x.address); x.relayed && err != nil {
		x.discardBody(resp.Body)
		return nil, err
	}
	limit, limitErr := x.rateLimit(resp)
	if err := x.client.settings.Protocol.ShedError(resp); err != nil {
		err.Address = x.address
		err.RateLimit, err.RateLimitErr = limit, limitErr
		err.Load, err.Leaving, err.RetryAfter = x.reportedLoad(resp), leaving, delay
		x.client.observer.Observe(x.address, health.OutcomeShed, elapsed)
		x.discardBody(resp.Body)
		return nil, err
	}
	x.client.observer.Observe(x.address, outcomeForStatus(resp.StatusCode), elapsed)
	response := &Response{
		Address: x.address, Load: x.reportedLoad(resp), FirstUse: x.conn.firstUse, RetryAfter: delay, Leaving: leaving,
		RateLimit: limit, RateLimitErr: limitErr,
		Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength, Body: http.NoBody,
	}
	if x.relayed {
		response.Address = resp.Header.Get(HeaderRelayEndpoint)
	}
	if resp.Body == http.NoBody {
		x.finish()
		return response, nil
	}
	response.Body = &responseBody{exchange: x, body: resp.Body, framed: framed(resp)}
	return response, nil
}

// rateLimit returns what the endpoint states about its limit. A response that
// another instance relays states nothing about it.
func (x *exchange) rateLimit(resp *http.Response) (*ratelimit.Limit, error) {
	if x.relayed {
		return nil, nil
	}
	return x.client.settings.Protocol.RateLimit(resp)
}

// reportedLoad returns the load that the endpoint reports. A report that cannot
// be read is counted and ignored.
func (x *exchange) reportedLoad(resp *http.Response) Load {
	load, err := x.client.settings.Protocol.Load(resp)
	if err != nil {
		if x.client.settings.InvalidLoads != nil {
			x.client.settings.InvalidLoads.Add(context.Background(), 1)
		}
		return NoLoad
	}
	return load
}

// validateResponse returns an error for a response that must not be passed on.
func (x *exchange) validateResponse(resp *http.Response, id string) *Error {
	e := &Error{Address: x.address, FirstUse: x.conn.firstUse}
	protocol := x.client.settings.Protocol
	switch echoed := protocol.EchoedID(resp, x.request); {
	case !validStatus(resp.StatusCode):
		e.Reason = ReasonInvalidResponse
		e.Err = fmt.Errorf("response has the invalid status code %d", resp.StatusCode)
	case echoed != "" && echoed != protocol.ExpectedID(x.request, id):
		e.Reason = ReasonExchangeMismatch
		e.Err = fmt.Errorf("response belongs to exchange %q", echoed)
	case echoed == "" && !x.conn.firstUse && protocol.ShedError(resp) != nil:
		// It may be an earlier refusal, written once more.
		e.Reason = ReasonExchangeMismatch
		e.Err = errors.New("refusal on a used connection names no exchange")
	case resp.StatusCode == http.StatusSwitchingProtocols:
		e.Reason = ReasonUnframed
		e.Err = errors.New("unexpected response status 101 Switching Protocols")
	case resp.Body != http.NoBody && !framed(resp) && !protocol.AllowsUnframed():
		e.Reason = ReasonUnframed
		e.Err = errors.New("response has neither a Content-Length nor chunked encoding")
	default:
		if err := protocol.Validate(resp); err != nil {
			e.Reason = ReasonInvalidResponse
			e.Err = err
			return e
		}
		return nil
	}
	return e
}

// failExchange ends an exchange that got no response and returns its error with
// the proven verdict. It reports a failure of the connection or the endpoint to
// the observer.
func (x *exchange) failExchange(err error) *Error {
	e := &Error{Address: x.address, FirstUse: x.conn.firstUse, Err: err}
	written := x.conn.tracked.seal()
	x.abandon()
	if !written {
		e.Verdict = notRun
	}
	e.Reason = x.failureReason(ReasonBroken)
	if written || x.conn.firstUse {
		x.reportFailure(e.Reason)
	}
	return e
}

// failBody returns the error of a response body that ended early.
func (x *exchange) failBody(err error) *Error {
	e := &Error{Address: x.address, FirstUse: x.conn.firstUse, Err: err, Reason: x.failureReason(ReasonTruncated)}
	x.reportFailure(e.Reason)
	return e
}

// failureReason returns why the exchange ended. It returns fallback when the
// cause is neither the caller nor a timeout.
func (x *exchange) failureReason(fallback Reason) Reason {
	switch {
	case errors.Is(context.Cause(x.ctx), errNoProgress):
		return ReasonTimedOut
	case errors.Is(x.parentCtx.Err(), context.DeadlineExceeded):
		return ReasonDeadline
	case x.parentCtx.Err() != nil:
		return ReasonCanceled
	case x.body.readError() != nil:
		return ReasonCallerBody
	default:
		return fallback
	}
}

// reportFailure reports the outcome of a failed exchange.
func (x *exchange) reportFailure(reason Reason) {
	switch reason {
	case ReasonCanceled, ReasonCallerBody:
	case ReasonTimedOut:
		x.client.handleTimeout(x.pool, x.address, x.conn)
	case ReasonDeadline:
		if !x.watchdog.isReadingCaller() {
			x.client.handleTimeout(x.pool, x.address, x.conn)
		}
	default:
		x.client.observer.Observe(x.address, health.OutcomeBroken, time.Since(x.sentAt))
	}
}

// finish ends an exchange with a complete response. It returns the connection
// to the pool, or closes it if the caller's body has not been sent completely.
func (x *exchange) finish() {
	x.watchdog.stop()
	if x.body.isFullyRead() {
		x.conn.tracked.exchanging.Store(false)
		x.pool.put(x.conn, time.Now())
	} else {
		x.conn.close()
	}
	x.cancel(nil)
}

// abandon ends an exchange early and closes its connection.
func (x *exchange) abandon() {
	x.watchdog.stop()
	x.conn.close()
	x.cancel(nil)
}

// discardBody reads an unused body, if it is short, so that the connection can
// be used again. A body that takes longer than maxDiscardTime, or has no end,
// closes the connection.
func (x *exchange) discardBody(body io.ReadCloser) {
	timeout := time.AfterFunc(maxDiscardTime, func() { x.cancel(errNoProgress) })
	defer timeout.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err == nil && n < maxDiscardBytes {
		x.finish()
		return
	}
	x.abandon()
}
