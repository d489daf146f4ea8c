package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cardamomfront/cardamomfront/front/dispatch"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// copyBufferBytes is the size of the buffer through which a response is
// streamed.
const copyBufferBytes = 32 << 10

// Sender sends a request to an endpoint; *dispatch.Dispatcher implements it.
type Sender interface {
	// Send returns the response as soon as its header has arrived. Errors:
	// *endpoint.Error, *admission.Refusal, *broker.UnavailableError, or the
	// context's.
	Send(ctx context.Context, t dispatch.Target, r *endpoint.Request) (*endpoint.Response, error)
}

// Forward is the last handler. It sends the request to an endpoint of the
// route's service and streams the response back.
type Forward struct {
	// Sender sends requests to endpoints.
	Sender Sender
}

// ServeExchange implements Handler.
func (f *Forward) ServeExchange(x *Exchange) error {
	version := versionOf(x)
	target := dispatch.Target{
		Index:    x.Index,
		Service:  x.Route.Service,
		Version:  version.Name,
		Deadline: x.Deadline,
		Avoid:    x.FailedAddresses,
	}
	response, err := f.Sender.Send(x.Context(), target, &endpoint.Request{
		HTTP:       x.Request,
		ID:         x.ID,
		Team:       x.Team,
		Idempotent: x.Idempotent(),
	})
	if err != nil {
		refusal := sendRefusal(x, err)
		x.Endpoint = endpointAt(version, failedAddress(err))
		return refusal
	}
	x.Endpoint = endpointAt(version, response.Address)
	x.Verdict = verdict.MayHaveRun
	return copyResponse(x, response)
}

// versionOf returns the version of the service that the request goes to.
func versionOf(x *Exchange) *document.Version {
	service := x.Index.Service(x.Route.Service)
	if v := x.Index.Version(service.Name, x.Version); v != nil {
		return v
	}
	return x.Index.Version(service.Name, service.Serving)
}

// failedAddress returns the address of the endpoint that failed, or "".
func failedAddress(err error) string {
	var endpointErr *endpoint.Error
	if errors.As(err, &endpointErr) {
		return endpointErr.Address
	}
	return ""
}

// endpointAt returns the version's endpoint with the address, or nil.
func endpointAt(v *document.Version, address string) *document.Endpoint {
	for i := range v.Endpoints {
		if v.Endpoints[i].Address == address {
			return &v.Endpoints[i]
		}
	}
	return nil
}

// copyResponse streams an endpoint's response to the caller. It returns an
// error for a truncated response, and the caller's connection is then closed.
func copyResponse(x *Exchange, response *endpoint.Response) error {
	defer func() { _ = response.Body.Close() }()
	h := x.Writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.Writer.WriteHeader(response.Status)
	if err := stream(x.Writer, response.Body); err != nil {
		return &Refusal{Verdict: verdict.Ran, Reason: ReasonResponseCut, Status: http.StatusBadGateway, Err: err}
	}
	x.Verdict = verdict.Ran
	return nil
}

// copyBuffers is the pool of buffers for stream.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// stream copies body to w and flushes after each read, so that a slow response
// reaches the caller as it arrives.
func stream(w ResponseWriter, body io.Reader) error {
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
			w.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
