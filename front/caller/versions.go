package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/admission"
)

// Versions is the stage that chooses the service version for a request, once
// per request.
type Versions struct {
	// Chooser applies the shifts in progress.
	Chooser shifts.Chooser
}

// Wrap implements Stage.
func (s *Versions) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		x.Version = s.Chooser.ChooseVersion(x.Index, x.Route.Service, time.Now())
		return next.ServeExchange(x)
	})
}

// Outcomes is the stage that records the outcome of each attempt, by which new
// versions are evaluated. If an attempt fails at a new version, further
// attempts go to the serving version.
type Outcomes struct {
	// Recorder receives the outcomes.
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

// record records the outcome of an attempt if it reached an endpoint or if the
// version had no slot for it.
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
		o.Inconclusive = !known
	case noSlotAvailable(err):
		o.Failed = true
	default:
		return
	}
	s.Recorder.RecordOutcome(o)
	if o.Failed {
		x.Version = x.Index.Service(x.Route.Service).Serving
	}
}

// noSlotAvailable reports whether an attempt was refused because the version's
// endpoints have no slot for it in time. A version that has no slot broker yet
// is not evaluated.
func noSlotAvailable(err error) bool {
	var queueRefusal *admission.Refusal
	return errors.As(err, &queueRefusal)
}

// endpointFailed reports whether the endpoint failed the attempt. known is
// false if the attempt ended for a reason that is not the fault of the
// endpoint, such as a caller that disconnects or an endpoint that sheds load.
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
