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

// copyBufferBytes is the size of the buffer that an answer streams through.
const copyBufferBytes = 32 << 10

// Sender brings a request to an endpoint; *dispatch.Dispatcher implements it.
type Sender interface {
	// Send returns the answer as soon as its header is there. Errors:
	// *endpoint.Error, *admission.Refusal, *broker.UnavailableError, or the
	// context's.
	Send(ctx context.Context, t dispatch.Target, r *endpoint.Request) (*endpoint.Response, error)
}

// Forward is the last handler: it sends the request to an endpoint of the
// route's service and streams the answer back.
type Forward struct {
	// Sender brings requests to endpoints.
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
		Avoid:    x.Tried,
	}
	answer, err := f.Sender.Send(x.Context(), target, &endpoint.Request{
		HTTP:       x.Request,
		ID:         x.ID,
		Team:       x.Team,
		Idempotent: x.Idempotent(),
	})
	if err != nil {
		refusal := sendRefusal(x, err)
		x.Endpoint = endpointAt(version, lastTried(err))
		return refusal
	}
	x.Endpoint = endpointAt(version, answer.Address)
	x.Verdict = verdict.MayHaveRun
	return copyAnswer(x, answer)
}

// versionOf returns the version that the request goes to.
func versionOf(x *Exchange) *document.Version {
	service := x.Index.Service(x.Route.Service)
	if v := x.Index.Version(service.Name, x.Version); v != nil {
		return v
	}
	return x.Index.Version(service.Name, service.Serving)
}

// lastTried returns the address of the endpoint that failed, or "".
func lastTried(err error) string {
	var failed *endpoint.Error
	if errors.As(err, &failed) {
		return failed.Address
	}
	return ""
}

// endpointAt returns the version's endpoint with an address, or nil.
func endpointAt(v *document.Version, address string) *document.Endpoint {
	for i := range v.Endpoints {
		if v.Endpoints[i].Address == address {
			return &v.Endpoints[i]
		}
	}
	return nil
}

// copyAnswer streams an endpoint's answer to the caller. A short answer is an
// error, which cuts the caller's connection.
func copyAnswer(x *Exchange, a *endpoint.Response) error {
	defer func() { _ = a.Body.Close() }()
	h := x.Writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	x.Writer.WriteHeader(a.Status)
	if err := stream(x.Writer, a.Body); err != nil {
		return &Refusal{Verdict: verdict.Ran, Reason: ReasonAnswerCut, Status: http.StatusBadGateway, Err: err}
	}
	x.Verdict = verdict.Ran
	return nil
}

// copyBuffers holds buffers of answers that have ended.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// stream copies body to w and flushes each part, so that a slow answer reaches
// the caller as it comes.
func stream(w ResponseWriter, body io.Reader) error {
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
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
