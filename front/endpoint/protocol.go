package endpoint

import (
	"net/http"
	"strconv"
	"time"
)

// Outgoing is what one try adds to a request.
type Outgoing struct {
	// Exchange identifies this try.
	Exchange string
	// Incarnation is the process that the request is meant for, or "".
	Incarnation string
	// Left is the time that the endpoint has, or -1 for no bound.
	Left time.Duration
}

// Protocol is what is spoken with endpoints beside plain HTTP. It is safe for
// concurrent use.
type Protocol interface {
	// Prepare adds the headers of one try to h, which holds the caller's
	// end-to-end headers.
	Prepare(h http.Header, r *Request, o Outgoing)
	// Echoed returns the identifier that an answer repeats, or "".
	Echoed(resp *http.Response, r *Request) string
	// Expected returns the identifier that an answer has to repeat.
	Expected(r *Request, exchange string) string
	// Flaw says why an answer can't be the endpoint's whole answer, or nil.
	Flaw(resp *http.Response) error
	// Load returns how many requests the endpoint says that it has, running and
	// waiting, or false.
	Load(resp *http.Response) (requests int, ok bool)
	// Shed returns the endpoint's word that it did not run the request, with
	// verdict.NotRun, or nil.
	Shed(resp *http.Response, now time.Time) *Error
	// AllowsUnframed says whether an answer may end with its connection.
	AllowsUnframed() bool
}

// ownProtocol is this project's own protocol with endpoints.
type ownProtocol struct{}

// Prepare implements Protocol.
func (ownProtocol) Prepare(h http.Header, r *Request, o Outgoing) {
	if r.Team != "" {
		h.Set(HeaderTeam, r.Team)
	}
	if r.ID != "" {
		h.Set(HeaderRequestID, r.ID)
	}
	h.Set(HeaderExchange, o.Exchange)
	for name, values := range r.Relayed {
		h[name] = values
	}
	if o.Left >= 0 {
		h.Set(HeaderDeadline, strconv.FormatInt(o.Left.Milliseconds(), 10))
	}
}

// Echoed implements Protocol.
func (ownProtocol) Echoed(resp *http.Response, _ *Request) string {
	return resp.Header.Get(HeaderExchange)
}

// Expected implements Protocol.
func (ownProtocol) Expected(_ *Request, exchange string) string { return exchange }

// Flaw implements Protocol.
func (ownProtocol) Flaw(*http.Response) error { return nil }

// Load implements Protocol.
func (ownProtocol) Load(*http.Response) (int, bool) { return 0, false }

// Shed implements Protocol.
func (ownProtocol) Shed(resp *http.Response, now time.Time) *Error {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderVerdict) != notRunWord {
		return nil
	}
	return &Error{Reason: ReasonShed, Verdict: notRun, RetryAfter: retryAfter(resp.Header, now)}
}

// AllowsUnframed implements Protocol.
func (ownProtocol) AllowsUnframed() bool { return false }
