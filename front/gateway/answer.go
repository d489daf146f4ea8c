package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
)

// heldAnswer is an endpoint's answer.
type heldAnswer struct {
	*endpoint.Response
	body    []byte // the whole body, when whole
	whole   bool
	release func() // ends the exchange of an answer that is not whole
}

// pass passes an answer on to the caller.
func (h *handler) pass(w http.ResponseWriter, x *exchange, a *heldAnswer) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	h.metrics.answered(x, a.Status)
	if a.whole {
		if x.request.Method != http.MethodHead {
			a.ContentLength = int64(len(a.body))
		}
		if a.ContentLength >= 0 && hasBody(a.Status) {
			header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
		}
		w.WriteHeader(a.Status)
		if _, err := w.Write(a.body); err != nil {
			x.log.WithError(err).Info("Caller left before its answer.")
		}
		return
	}
	defer a.release()
	defer func() { _ = a.Body.Close() }()
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.body)
	if err == nil {
		_, err = io.Copy(w, a.Body)
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

// hold reads an answer's body, unless it is too large to be held. Errors:
// *endpoint.Error.
func hold(a *endpoint.Response) (*heldAnswer, error) {
	if a.ContentLength > heldAnswerBytes {
		return &heldAnswer{Response: a}, nil
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, heldAnswerBytes+1))
	if err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	if len(body) > heldAnswerBytes {
		return &heldAnswer{Response: a, body: body}, nil
	}
	return &heldAnswer{Response: a, body: body, whole: true}, a.Body.Close()
}
