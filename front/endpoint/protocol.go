package endpoint

import (
	"net/http"
	"strconv"
	"time"
)

// ExchangeInfo is what one try adds to a request.
type ExchangeInfo struct {
	// ID identifies this try.
	ID string
	// Incarnation is the process that the request is meant for, or "".
	Incarnation string
	// Remaining is the time that the endpoint has, or -1 for no bound.
	Remaining time.Duration
}

// Protocol is what is spoken with endpoints beside plain HTTP. It is safe for
// concurrent use.
type Protocol interface {
	// Prepare adds the headers of one try to h, which holds the caller's
	// end-to-end headers.
	Prepare(h http.Header, r *Request, o ExchangeInfo)
	// EchoedID returns the identifier that an answer repeats, or "".
	EchoedID(resp *http.Response, r *Request) string
	// ExpectedID returns the identifier that an answer has to repeat.
	ExpectedID(r *Request, exchange string) string
	// Validate says why an answer can't be the endpoint's whole answer, or nil.
	Validate(resp *http.Response) error
	// Load returns how many requests the endpoint says that it has, running and
	// waiting, or false.
	Load(resp *http.Response) (requests int, ok bool)
	// ShedError returns the endpoint's word that it did not run the request, with
	// verdict.NotRun, or nil.
	ShedError(resp *http.Response, now time.Time) *Error
	// AllowsUnframed says whether an answer may end with its connection.
	AllowsUnframed() bool
}

// defaultProtocol is this project's own protocol with endpoints.
type defaultProtocol struct{}

// Prepare implements Protocol.
func (defaultProtocol) Prepare(h http.Header, r *Request, o ExchangeInfo) {
	if r.Team != "" {
		h.Set(HeaderTeam, r.Team)
	}
	if r.ID != "" {
		h.Set(HeaderRequestID, r.ID)
	}
	h.Set(HeaderExchange, o.ID)
	for name, values := range r.RelayHeader {
		h[name] = values
	}
	if o.Remaining >= 0 {
		h.Set(HeaderDeadline, strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	}
}

// EchoedID implements Protocol.
func (defaultProtocol) EchoedID(resp *http.Response, _ *Request) string {
	return resp.Header.Get(HeaderExchange)
}

// ExpectedID implements Protocol.
func (defaultProtocol) ExpectedID(_ *Request, exchange string) string { return exchange }

// Validate implements Protocol.
func (defaultProtocol) Validate(*http.Response) error { return nil }

// Load implements Protocol.
func (defaultProtocol) Load(*http.Response) (int, bool) { return 0, false }

// ShedError implements Protocol.
func (defaultProtocol) ShedError(resp *http.Response, now time.Time) *Error {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderVerdict) != notRunValue {
		return nil
	}
	return &Error{Reason: ReasonShed, Verdict: notRun, RetryAfter: retryAfter(resp.Header, now)}
}

// AllowsUnframed implements Protocol.
func (defaultProtocol) AllowsUnframed() bool { return false }
