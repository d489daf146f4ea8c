package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Settings configures a Client. A zero field other than URL takes its default.
type Settings struct {
	// URL is the base address, such as "http://127.0.0.1:7000".
	URL string `yaml:"url" validate:"required,http_url"`
	// Timeout bounds one call, from its start to the end of the response.
	Timeout time.Duration `yaml:"timeout" validate:"gte=0"`
	// MaxAnswer bounds the response to a table call, in bytes.
	MaxAnswer int64 `yaml:"maxAnswer" validate:"gte=0"`
	// MaxObject bounds one object, in bytes.
	MaxObject int64 `yaml:"maxObject" validate:"gte=0"`
	// MaxWrite bounds the body of one transaction, in bytes.
	MaxWrite int64 `yaml:"maxWrite" validate:"gte=0"`
	// Connections bounds the open connections to the platform.
	Connections int `yaml:"connections" validate:"gte=0"`
	// Dial opens connections; nil means the default dialer of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error) `yaml:"-"`
}

// Defaults of Settings.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultMaxAnswer   = 64 << 20 // bytes
	DefaultMaxObject   = 16 << 20 // bytes
	DefaultMaxWrite    = 4 << 20  // bytes
	DefaultConnections = 32
)

const (
	idleConnectionTimeout = 30 * time.Second
	maxErrorBody          = 64 << 10 // bytes
	mediaTypeJSON         = "application/json"
	mediaTypeBytes        = "application/octet-stream"
)

var (
	errResponseTooLarge = errors.New("answer is larger than the limit")
	errRequestTooLarge  = errors.New("request is larger than the limit")
)

func (s Settings) withDefaults() Settings {
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.MaxAnswer == 0 {
		s.MaxAnswer = DefaultMaxAnswer
	}
	if s.MaxObject == 0 {
		s.MaxObject = DefaultMaxObject
	}
	if s.MaxWrite == 0 {
		s.MaxWrite = DefaultMaxWrite
	}
	if s.Connections == 0 {
		s.Connections = DefaultConnections
	}
	return s
}

// Client is a Service over plain HTTP and JSON, with entity tags and
// conditional requests as in RFC 9110, sections 8.8.3 and 13.1. It sends each
// call once. The caller decides whether to repeat a failed call; Error.Effect
// says whether the call may have taken effect.
type Client struct {
	settings Settings
	base     string
	http     *http.Client
}

var _ Service = (*Client)(nil)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// NewClient returns a Client. It opens no connection before the first call.
func NewClient(settings Settings) *Client {
	settings = settings.withDefaults()
	transport := &http.Transport{
		MaxConnsPerHost:     settings.Connections,
		MaxIdleConnsPerHost: settings.Connections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
		DialContext:         settings.Dial,
		// A faulty service may send a head without an end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{
		settings: settings,
		base:     strings.TrimSuffix(settings.URL, "/"),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request to the platform.
type call struct {
	op     string
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// mutating is set for a call that changes the platform's state.
	mutating bool
	// maxBody bounds the response body, in bytes.
	maxBody int64
}

// response is a complete response of the platform.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends a call and reads its whole response.
func (c *Client) do(ctx context.Context, q call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, q)
	if err != nil {
		return response{}, &Error{Op: q.op, Effect: EffectNone, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.closeIdleOnTimeout(err)
		return response{}, &Error{Op: q.op, Effect: q.failureEffect(connected.Load()), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAtMost(resp.Body, q.bodyLimit(resp.StatusCode))
	if err != nil {
		c.closeIdleOnTimeout(err)
		return response{}, &Error{Op: q.op, Effect: q.failureEffect(true), Status: resp.StatusCode, Err: err}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// closeIdleOnTimeout closes the idle connections after a call has timed out.
// The fault that stalled its connection may have stalled them too, and opening
// a new connection is cheap.
func (c *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) newRequest(ctx context.Context, q call) (*http.Request, error) {
	target := c.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	for name, values := range q.header {
		req.Header[name] = values
	}
	return req, nil
}

// failureEffect returns the effect of a call that failed without a complete
// response. A call that got no connection has sent nothing.
func (q call) failureEffect(connected bool) Effect {
	if !q.mutating || !connected {
		return EffectNone
	}
	return EffectUnknown
}

func (q call) bodyLimit(status int) int64 {
	if status >= http.StatusBadRequest {
		return maxErrorBody + q.maxBody
	}
	return q.maxBody
}

// statusError converts a response with an unexpected status into an error: a
// *ConflictError if the response reports a conflict, an *Error otherwise. A 4xx
// response means that the call was not carried out. A 5xx response means so
// only if its body sets noEffect.
func (q call) statusError(r response) error {
	var decoded ErrorResponse
	decodeErr := json.Unmarshal(r.body, &decoded)
	if decodeErr == nil && decoded.Conflict != nil && isConflict(r.status) {
		return &ConflictError{Key: decoded.Conflict.Key, Expected: decoded.Conflict.Expected, Actual: decoded.Conflict.Actual}
	}
	failure := &Error{Op: q.op, Status: r.status}
	switch {
	case !q.mutating, isClientError(r.status), decodeErr == nil && decoded.NoEffect:
		failure.Effect = EffectNone
	}
	if decodeErr == nil && decoded.Reason != "" {
		failure.Err = fmt.Errorf("status %d: %s", r.status, decoded.Reason)
	}
	return failure
}

func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func isConflict(status int) bool {
	return status == http.StatusConflict || status == http.StatusPreconditionFailed
}

// doJSON sends a call and decodes its response, which must be JSON with status
// 200.
func (c *Client) doJSON(ctx context.Context, q call, into any) error {
	r, err := c.do(ctx, q)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return q.statusError(r)
	}
	return q.decode(r, into)
}

// decode decodes a JSON response. If that fails for a mutating call, the call's
// effect is unknown.
func (q call) decode(r response, into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return &Error{Op: q.op, Effect: q.failureEffect(true), Status: r.status, Err: fmt.Errorf("answer: %w", err)}
	}
	return nil
}

func readAtMost(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errResponseTooLarge
	}
	return body, nil
}
