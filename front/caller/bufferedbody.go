package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
)

var errTruncatedBody = errors.New("request body truncated")

// bufferBody reads a body of known length up to maxReplayBytes before the
// request is sent, and returns it. For a longer body, which is streamed
// instead, or an empty one it returns nil. If the caller disconnects while a
// buffered body is read, the request has certainly not run. Errors: *Refusal.
func bufferBody(x *Exchange) ([]byte, error) {
	length := x.Request.ContentLength
	if length <= 0 || length > maxReplayBytes {
		return nil, nil
	}
	body, err := readBody(x, length)
	if err != nil {
		return nil, bodyErrorRefusal(x, err)
	}
	x.Request = x.Request.WithContext(x.Context())
	x.Request.Body = io.NopCloser(bytes.NewReader(body))
	return body, nil
}

// readBody reads a body of known length until the deadline.
func readBody(x *Exchange, length int64) ([]byte, error) {
	control := http.NewResponseController(x.Writer)
	// Some response writers, such as those in tests, support no read deadline;
	// the read then has none.
	_ = control.SetReadDeadline(x.Deadline)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body := make([]byte, length)
	n, err := io.ReadFull(x.Request.Body, body)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("%w: %d of %d bytes", errTruncatedBody, n, length)
	}
	return body, err
}

// bodyErrorRefusal returns the refusal of a request whose body could not be
// read before the request was sent.
func bodyErrorRefusal(x *Exchange, err error) *Refusal {
	refusal := refuseNotRun(http.StatusBadRequest, Reason(endpoint.ReasonCallerBody))
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(x.Context().Err(), context.DeadlineExceeded) {
		refusal = refuseNotRun(http.StatusRequestTimeout, ReasonDeadline)
	}
	refusal.Err = err
	return refusal
}
