package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/limit"
)

// Reasons of the Limits stage.
const (
	// ReasonOverRate means that the team's rate and burst are used up.
	ReasonOverRate Reason = "over-rate"
	// ReasonNoShare means that the instance has no share of the team's rate and
	// could not borrow any.
	ReasonNoShare Reason = "no-share"
	// ReasonNoLease means that the instance has no valid lease and cannot know
	// whether its shares are still its own.
	ReasonNoLease Reason = "no-lease"
	// ReasonLeaseChanged means that the instance lost its lease between
	// admitting the request and sending it.
	ReasonLeaseChanged Reason = "lease-changed"
	// ReasonLimitsNotReady means that the instance does not know the team's
	// limits yet.
	ReasonLimitsNotReady Reason = "limits-not-ready"
)

// leaseRetryAfter is the Retry-After of an instance without a lease.
const leaseRetryAfter = time.Second

// fullLoadRequests is the number of requests in flight at which an instance
// reports full load.
const fullLoadRequests = 1000

// Admitter decides whether requests of teams are admitted.
type Admitter interface {
	// Admit takes a token for a request. It waits briefly if a token may become
	// available.
	Admit(ctx context.Context, team string) limit.Decision
	// Confirm rechecks an admitted request right before it is sent.
	Confirm(d limit.Decision) limit.Reason
}

// Limits is the stage that enforces the rate and burst of each team.
type Limits struct {
	admitter Admitter
	inFlight atomic.Int64
}

// NewLimits returns the stage.
func NewLimits(a Admitter) *Limits { return &Limits{admitter: a} }

// Load returns the used fraction of the instance's capacity, from 0 to 1.
func (s *Limits) Load() float64 { return min(1, float64(s.inFlight.Load())/fullLoadRequests) }

// Wrap implements Stage. Requests on open routes have no team and are not
// limited.
func (s *Limits) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if x.Team == "" {
			return next.ServeExchange(x)
		}
		x.Admission = s.admitter.Admit(x.Context(), x.Team)
		if !x.Admission.Admitted() {
			return limitRefusal(x.Admission)
		}
		return next.ServeExchange(x)
	})
}

// Confirmation returns the stage that rechecks an admitted request. It belongs
// inside Retries, so that each attempt is rechecked right before it is sent;
// only Outcomes stands between it and the handler that sends. A process that
// was paused after the admission may have lost the share that the request's
// token came from.
func (s *Limits) Confirmation() Stage { return confirmation{admitter: s.admitter} }

type confirmation struct{ admitter Admitter }

// Wrap implements Stage.
func (s confirmation) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		if x.Team == "" {
			return next.ServeExchange(x)
		}
		if reason := s.admitter.Confirm(x.Admission); reason != limit.ReasonNone {
			return limitRefusal(limit.Decision{Reason: reason})
		}
		return next.ServeExchange(x)
	})
}

// limitRefusal turns a decision not to admit a request into a refusal.
func limitRefusal(d limit.Decision) *Refusal {
	refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonNoLease)
	refusal.RetryAfter = leaseRetryAfter
	switch d.Reason {
	case limit.ReasonRate:
		refusal.Reason = ReasonOverRate
	case limit.ReasonNoShare:
		refusal.Reason = ReasonNoShare
	case limit.ReasonUnknownTeam:
		refusal.Reason = ReasonLimitsNotReady
	case limit.ReasonLeaseChanged:
		refusal.Reason = ReasonLeaseChanged
	default:
		return refusal
	}
	if d.RetryAfter > 0 {
		refusal.RetryAfter = d.RetryAfter
	}
	if d.Reason == limit.ReasonRate || d.Reason == limit.ReasonNoShare {
		refusal.Status = http.StatusTooManyRequests
	}
	return refusal
}
