package gateway

import (
	"bytes"
	"io"
	"net/http"
)

// bufferBody reads the request body, unless it is larger than maxBufferedBody.
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
		return nil
	}
	if r.ContentLength > maxBufferedBody {
		x.streamBody = true
		return nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonBody, err: err}
	case len(buffered) > maxBufferedBody:
		x.streamBody = true
		r.Body = http.MaxBytesReader(nil, prefixedBody{io.MultiReader(bytes.NewReader(buffered), r.Body), r.Body}, maxBytes)
		return nil
	}
	x.body = buffered
	return nil
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
