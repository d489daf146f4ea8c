package gateway

import (
	"bytes"
	"io"
	"net/http"
)

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
