package endpoint

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// ExchangeInfo is the information about one exchange that is added to a
// request.
type ExchangeInfo struct {
	// ID identifies the exchange.
	ID string
	// Incarnation is the process that the request is meant for, or "".
	Incarnation string
	// Remaining is the time left for the response, or -1 without a deadline.
	Remaining time.Duration
}

// Load is the load that an endpoint reports with a response.
type Load struct {
	// Requests is the number of running and waiting requests; -1 if unknown.
	Requests int
	// WorkTime is how long work takes at the endpoint at the moment, relative to
	// the usual time; -1 if unknown.
	WorkTime float64
}

// NoLoad is the load of a response that reports none.
var NoLoad = Load{Requests: -1, WorkTime: -1}

// Protocol is the protocol with endpoints on top of HTTP. It is safe for
// concurrent use.
type Protocol interface {
	// Prepare adds the headers of one exchange to h, which holds the caller's
	// end-to-end headers.
	Prepare(h http.Header, r *Request, info ExchangeInfo)
	// EchoedID returns the identifier that a response repeats, or "".
	EchoedID(resp *http.Response, r *Request) string
	// ExpectedID returns the identifier that a response must repeat.
	ExpectedID(r *Request, exchange string) string
	// Validate returns an error if a response cannot be a complete response of
	// the endpoint.
	Validate(resp *http.Response) error
	// Load returns the load that the endpoint reports, NoLoad if it reports none.
	// Its error tells why a report could not be read; the report is then ignored.
	Load(resp *http.Response) (Load, error)
	// ShedError returns an error with verdict.NotRun if the response states
	// that the endpoint did not run the request, or nil.
	ShedError(resp *http.Response) *Error
	// Leaving reports whether the response states that the endpoint is about to
	// stop and must get no new requests.
	Leaving(resp *http.Response) bool
	// RateLimit returns what the response says about the endpoint's limit on
	// requests per second, or nil if it says nothing. Errors:
	// *InvalidRateLimitError.
	RateLimit(resp *http.Response) (*ratelimit.Limit, error)
	// AllowsUnframed reports whether the end of a response may be marked by the
	// end of its connection.
	AllowsUnframed() bool
}

// defaultProtocol is this project's own protocol with endpoints.
type defaultProtocol struct{}

// Prepare implements Protocol.
func (defaultProtocol) Prepare(h http.Header, r *Request, info ExchangeInfo) {
	if r.Team != "" {
		h.Set(HeaderTeam, r.Team)
	}
	if r.ID != "" {
		h.Set(HeaderRequestID, r.ID)
	}
	h.Set(HeaderExchange, info.ID)
	for name, values := range r.RelayHeader {
		h[name] = values
	}
	if info.Remaining >= 0 {
		h.Set(HeaderDeadline, strconv.FormatInt(info.Remaining.Milliseconds(), 10))
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
func (defaultProtocol) Load(*http.Response) (Load, error) { return NoLoad, nil }

// ShedError implements Protocol.
func (defaultProtocol) ShedError(resp *http.Response) *Error {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderVerdict) != notRunValue {
		return nil
	}
	return &Error{Reason: ReasonShed, Verdict: notRun}
}

// Leaving implements Protocol.
func (defaultProtocol) Leaving(resp *http.Response) bool { return resp.Header.Get(HeaderLeaving) != "" }

// RateLimit implements Protocol. Endpoints name no limit.
func (defaultProtocol) RateLimit(*http.Response) (*ratelimit.Limit, error) { return nil, nil }

// AllowsUnframed implements Protocol.
func (defaultProtocol) AllowsUnframed() bool { return false }
