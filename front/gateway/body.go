package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cardamomfront/cardamomfront/steer/crash"
)

// fingerprintedPrefix is how much of a streamed body, in bytes, is part of its
// request's fingerprint.
const fingerprintedPrefix = 64 << 10

// bufferBody reads the request body, unless it is larger than maxBufferedBody, and
// sets the request's fingerprint.
func (h *handler) bufferBody(x *exchange) *refusal {
	r := x.request
	maxBytes := x.catalog.MaxBody
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if r.ContentLength > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	if r.Body == nil || r.Body == http.NoBody {
		x.fingerprint = x.fingerprintOf(nil)
		return nil
	}
	if r.ContentLength > maxBufferedBody {
		return x.streamBodyAfterPrefix()
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonBody, err: err}
	case len(buffered) > maxBufferedBody:
		x.streamBody = true
		x.fingerprint = x.fingerprintOf(buffered[:fingerprintedPrefix])
		r.Body = http.MaxBytesReader(nil, prefixedBody{io.MultiReader(bytes.NewReader(buffered), r.Body), r.Body}, maxBytes)
		return nil
	}
	x.body = buffered
	x.fingerprint = x.fingerprintOf(buffered)
	return nil
}

// streamBodyAfterPrefix prepares a body that is too large to be buffered. Its
// beginning is read for the request's fingerprint.
func (x *exchange) streamBodyAfterPrefix() *refusal {
	r := x.request
	prefix := make([]byte, fingerprintedPrefix)
	if _, err := io.ReadFull(r.Body, prefix); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: reasonBody, err: err}
	}
	x.streamBody = true
	x.fingerprint = x.fingerprintOf(prefix)
	r.Body = prefixedBody{io.MultiReader(bytes.NewReader(prefix), r.Body), r.Body}
	return nil
}

// fingerprintOf returns the request's fingerprint. body is the beginning of the
// body if streamBody is set.
func (x *exchange) fingerprintOf(body []byte) crash.Fingerprint {
	return crash.Request{
		Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Team: x.teamName(), Body: body, Streamed: x.streamBody,
	}.Fingerprint()
}

// prefixedBody is a body whose beginning has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// attemptRequest returns the caller's request for one attempt.
func (x *exchange) attemptRequest() *http.Request {
	if x.streamBody {
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
