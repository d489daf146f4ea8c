package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/admission"
)

// Versions chooses the version of the service that a request goes to, once for
// each request.
type Versions struct {
	// Chooser knows the shifts that are on.
	Chooser shifts.Chooser
}

// Wrap implements Stage.
func (s *Versions) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		x.Version = s.Chooser.Choose(x.Index, x.Route.Service, time.Now())
		return next.ServeExchange(x)
	})
}

// Outcomes records how each try of a request ended, by which versions are
// judged. After a failure of a new version, further tries go to the serving one.
type Outcomes struct {
	// Recorder takes the outcomes.
	Recorder shifts.Recorder
}

// Wrap implements Stage.
func (s *Outcomes) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		x.Endpoint = nil
		startedAt := time.Now()
		err := next.ServeExchange(x)
		s.record(x, err, time.Since(startedAt))
		return err
	})
}

// record passes on the outcome of one try, if it reached an endpoint or the
// version had no room for it.
func (s *Outcomes) record(x *Exchange, err error, latency time.Duration) {
	o := shifts.Outcome{
		Service: x.Route.Service,
		Version: x.Version,
		Route:   x.Route.Name,
		Latency: latency,
		Bytes:   int64(x.Writer.Size()) + max(x.Request.ContentLength, 0),
	}
	switch {
	case x.Endpoint != nil:
		failed, known := endpointFailed(x, err)
		o.FailureDomain = x.Endpoint.FailureDomain
		o.Failed = failed
		o.Unjudged = !known
	case noSlotAvailable(err):
		o.Failed = true
	default:
		return
	}
	s.Recorder.Record(o)
	if o.Failed {
		x.Version = x.Index.Service(x.Route.Service).Serving
	}
}

// noSlotAvailable says whether a try was refused because the version's endpoints have no
// slot for it in time. A version whose slots nobody hands out yet is not judged.
func noSlotAvailable(err error) bool {
	var queueRefusal *admission.Refusal
	return errors.As(err, &queueRefusal)
}

// endpointFailed says whether the endpoint failed the try. It is not known when
// the try ended for another reason: the caller's, or the endpoint's word that it
// has no room.
func endpointFailed(x *Exchange, err error) (failed, known bool) {
	if err == nil {
		return x.Writer.Status() >= http.StatusInternalServerError, true
	}
	var endpointErr *endpoint.Error
	if errors.As(err, &endpointErr) {
		switch endpointErr.Reason {
		case endpoint.ReasonShed, endpoint.ReasonCanceled, endpoint.ReasonCallerBody, endpoint.ReasonUnsendable:
			return false, false
		default:
			return true, true
		}
	}
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Reason == ReasonResponseCut {
		return true, x.Context().Err() == nil
	}
	return false, false
}
