package endpoint

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderPrefix is the prefix of all headers of this system. Headers of
	// callers and endpoints with this prefix are never passed through.
	HeaderPrefix = "Cardamomfront-"
	// HeaderTeam names the team on whose behalf a request runs.
	HeaderTeam = HeaderPrefix + "Team"
	// HeaderRequestID identifies the request in logs.
	HeaderRequestID = HeaderPrefix + "Request-Id"
	// HeaderDeadline is the remaining time for the response, in milliseconds.
	HeaderDeadline = HeaderPrefix + "Deadline-Ms"
	// HeaderExchange identifies one exchange. If an endpoint repeats it in its
	// response, a response to another request can be detected.
	HeaderExchange = HeaderPrefix + "Exchange"
	// HeaderRelayFailed is the reason why another instance could not relay a
	// request to an endpoint. HeaderVerdict then holds the verdict.
	HeaderRelayFailed = HeaderPrefix + "Relay-Failed"
	// HeaderRelayEndpoint is the address of the endpoint that a relayed request
	// was sent to.
	HeaderRelayEndpoint = HeaderPrefix + "Relay-Endpoint"
	// HeaderLeaving in an endpoint's response, with any value, states that the
	// endpoint is leaving and must not get new requests.
	HeaderLeaving = HeaderPrefix + "Leaving"
	// HeaderVerdict states whether the endpoint ran a request.
	HeaderVerdict = HeaderPrefix + "Verdict"

	// minTokenBytes is the minimum length of a bearer token that is searched
	// for in other headers, in bytes.
	minTokenBytes = 8
)

// hopByHop lists the hop-by-hop headers (RFC 9110 section 7.6.1) in addition to
// those that the Connection header names.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// endToEnd returns the headers that may be passed on.
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

// isReservedHeader reports whether name has this system's prefix.
func isReservedHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}

// requestHeaders returns the caller's headers for the endpoint, without the key
// and hop-by-hop headers. It also keeps net/http from adding headers of its
// own.
func requestHeaders(r *Request) http.Header {
	h := endToEnd(r.HTTP.Header)
	removeAPIKey(h, r.HTTP.Header)
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

// removeAPIKey deletes the Authorization header and all other headers that
// contain the key.
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

// bearerToken returns the caller's key, or "" when there is none or it is too
// short to be searched for.
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

// maxRetryAfter limits the delay that an endpoint can request.
const maxRetryAfter = 10 * time.Minute

// retryAfter returns the delay given by a Retry-After header (RFC 9110 section
// 10.2.3), which may have fractions of a second. It returns 0 if there is none,
// or if it is not a positive number or a future time, and at most maxRetryAfter.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds > 0) { // also excludes NaN
			return 0
		}
		return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if at, err := http.ParseTime(value); err == nil && at.After(now) {
		return min(at.Sub(now), maxRetryAfter)
	}
	return 0
}
