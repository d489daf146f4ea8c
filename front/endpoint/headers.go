package endpoint

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderPrefix starts every header that belongs to this system. Such
	// headers from callers and endpoints are never passed through.
	HeaderPrefix = "Cardamomfront-"
	// HeaderTeam names the team that a request runs for.
	HeaderTeam = HeaderPrefix + "Team"
	// HeaderRequestID names the request in logs.
	HeaderRequestID = HeaderPrefix + "Request-Id"
	// HeaderDeadline is the time left to answer, in milliseconds.
	HeaderDeadline = HeaderPrefix + "Deadline-Ms"
	// HeaderExchange identifies one exchange. An endpoint that repeats it in
	// its answer lets a crossed answer be told.
	HeaderExchange = HeaderPrefix + "Exchange"
	// HeaderRelayFailed is the reason of a request that another instance
	// could not bring to an endpoint. HeaderVerdict then holds its verdict.
	HeaderRelayFailed = HeaderPrefix + "Relay-Failed"
	// HeaderRelayEndpoint is the address of the endpoint that a relayed request
	// was sent to.
	HeaderRelayEndpoint = HeaderPrefix + "Relay-Endpoint"
	// HeaderLeaving in an endpoint's answer, with any value, says that the
	// endpoint is leaving and must get no new work.
	HeaderLeaving = HeaderPrefix + "Leaving"
	// HeaderVerdict is an endpoint's word on whether it ran a request.
	HeaderVerdict = HeaderPrefix + "Verdict"

	// minTokenBytes is the shortest bearer token that is searched for in other
	// headers, in bytes.
	minTokenBytes = 8
)

// hopByHop lists the headers that end at the next hop (RFC 9110 section 7.6.1)
// besides those that the Connection header names.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// endToEnd copies the headers that may be passed on.
func endToEnd(src http.Header) http.Header {
	dst := make(http.Header, len(src))
	for name, values := range src {
		if !isReservedHeader(name) {
			dst[name] = values
		}
	}
	for _, field := range src["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			dst.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
	return dst
}

// isReservedHeader reports whether name belongs to this system.
func isReservedHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}

// requestHeaders returns the caller's headers for the endpoint: no key, no
// hop-by-hop header and nothing that net/http would add.
func requestHeaders(r *Request) http.Header {
	h := endToEnd(r.HTTP.Header)
	removeAPIKey(h, r.HTTP.Header)
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

// removeAPIKey deletes the Authorization header and every other header that
// repeats the key.
func removeAPIKey(dst, src http.Header) {
	dst.Del("Authorization")
	token := bearerToken(src)
	if token == "" {
		return
	}
	for name, values := range dst {
		for _, v := range values {
			if strings.Contains(v, token) {
				delete(dst, name)
				break
			}
		}
	}
}

// bearerToken returns the caller's key, or "" when it is absent or too short
// to be searched for.
func bearerToken(h http.Header) string {
	fields := strings.Fields(h.Get("Authorization"))
	if len(fields) == 0 {
		return ""
	}
	token := fields[len(fields)-1]
	if len(token) < minTokenBytes {
		return ""
	}
	return token
}

// retryAfter reads a Retry-After header (RFC 9110 section 10.2.3) as a delay;
// 0 means that there is none.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := h.Get("Retry-After")
	if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil && at.After(now) {
		return at.Sub(now)
	}
	return 0
}
