package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
)

// bufferedResponse is an endpoint's answer.
type bufferedResponse struct {
	*endpoint.Response
	body     []byte // the whole body, when whole
	complete bool
	cancel   func() // ends the exchange of an answer that is not whole
}

// writeResponse passes an answer on to the caller.
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
			x.log.WithError(err).Info("Caller left before its answer.")
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
		x.log.WithError(err).Warn("Answer cut short.")
		// Only a closed connection tells the caller that this is not the whole.
		panic(http.ErrAbortHandler)
	}
}

// hasBody says whether an answer with a status may have a body (RFC 9110, 6.4.1).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// bufferResponse reads an answer's body, unless it is too large to be held. Errors:
// *endpoint.Error.
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
