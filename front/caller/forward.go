package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// noEndpointRetryAfter is when a caller may come back while a service has no
// endpoint.
const noEndpointRetryAfter = time.Second

// copyBufferBytes is the size of the buffer that an answer streams through.
const copyBufferBytes = 32 << 10

// Sender sends one request to one endpoint. endpoint.Client implements it.
type Sender interface {
	Send(ctx context.Context, t endpoint.Target, r *endpoint.Request) (*endpoint.Answer, error)
}

// Forward is the last handler: it sends the request to an endpoint of the
// route's service and streams the answer back.
type Forward struct {
	// Sender sends to endpoints.
	Sender Sender

	next atomic.Uint64
}

// ServeExchange implements Handler.
func (f *Forward) ServeExchange(x *Exchange) error {
	endpoints := versionOf(x).Endpoints
	if len(endpoints) == 0 {
		refusal := refuse(http.StatusServiceUnavailable, ReasonNoEndpoint)
		refusal.RetryAfter = noEndpointRetryAfter
		return refusal
	}
	chosen := &endpoints[f.next.Add(1)%uint64(len(endpoints))]
	x.Endpoint = chosen
	answer, err := f.Sender.Send(x.Context(), endpoint.Target{Address: chosen.Address}, &endpoint.Request{
		HTTP:       x.Request,
		ID:         x.ID,
		Team:       x.Team,
		Idempotent: x.Idempotent(),
	})
	if err != nil {
		return sendRefusal(x, err)
	}
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

// sendRefusal turns a failed exchange with an endpoint into a refusal.
func sendRefusal(x *Exchange, err error) *Refusal {
	refusal := &Refusal{Verdict: verdict.MayHaveRun, Reason: ReasonEndpointFailed, Status: http.StatusBadGateway, Err: err}
	var failed *endpoint.Error
	if errors.As(err, &failed) {
		refusal.Verdict = failed.Verdict
		refusal.Reason = Reason(failed.Reason)
		refusal.RetryAfter = failed.RetryAfter
	}
	x.Verdict = refusal.Verdict
	if errors.Is(err, context.DeadlineExceeded) {
		refusal.Reason = ReasonDeadline
		refusal.Status = http.StatusGatewayTimeout
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal.Reason = ReasonBodyTooLarge
		refusal.Status = http.StatusRequestEntityTooLarge
	}
	return refusal
}

// copyAnswer streams an endpoint's answer to the caller. A short answer is an
// error, which cuts the caller's connection.
func copyAnswer(x *Exchange, a *endpoint.Answer) error {
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

// stream copies body to w and flushes each part, so that a slow answer reaches
// the caller as it comes.
func stream(w ResponseWriter, body io.Reader) error {
	buf := make([]byte, copyBufferBytes)
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
