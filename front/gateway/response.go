package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cardamomfront/cardamomfront/front/abort"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
)

// bufferedResponse is an endpoint's response with as much of its body as has
// been read.
type bufferedResponse struct {
	*endpoint.Response
	body     []byte // all of the body if complete, else its beginning
	complete bool
	cancel   func() // ends the request of an incomplete response
}

// writeResponse writes an endpoint's response to the caller.
func (h *handler) writeResponse(w http.ResponseWriter, x *exchange, response *bufferedResponse) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	h.metrics.recordResponse(x, response.Status)
	if response.complete {
		if x.request.Method != http.MethodHead {
			response.ContentLength = int64(len(response.body))
		}
		if response.ContentLength >= 0 && hasBody(response.Status) {
			header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
		}
		w.WriteHeader(response.Status)
		if _, err := w.Write(response.body); err != nil {
			x.log.WithError(err).Info("Caller disconnected before its response was written.")
		}
		return
	}
	defer response.cancel()
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(response.body)
	if err == nil {
		_, err = io.Copy(w, response.Body)
	}
	if err != nil {
		x.log.WithError(err).Warn("Response cut short.")
		// Only an aborted connection tells the caller that the body is
		// incomplete.
		abort.Response(w, x.request)
	}
}

// hasBody reports whether a response with a status may have a body (RFC 9110,
// 6.4.1).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// bufferResponse reads the body of a response, unless it is larger than
// maxBufferedResponse. Errors: *endpoint.Error.
func bufferResponse(response *endpoint.Response) (*bufferedResponse, error) {
	if response.ContentLength > maxBufferedResponse {
		return &bufferedResponse{Response: response}, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse+1))
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(body) > maxBufferedResponse {
		return &bufferedResponse{Response: response, body: body}, nil
	}
	return &bufferedResponse{Response: response, body: body, complete: true}, response.Body.Close()
}
