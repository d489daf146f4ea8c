package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/attempts"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Headers of a response to a repeated idempotency key.
const (
	// HeaderReplayed is "true" on a response that was recorded for an earlier
	// request.
	HeaderReplayed = "Cardamomfront-Replayed"
	// HeaderRecordedStatus is the status of the earlier response when the
	// response itself was too large to be recorded.
	HeaderRecordedStatus = "Cardamomfront-Recorded-Status"
)

// Reasons of the Attempts stage, in addition to those of package attempts.
const (
	ReasonKeyRunning          Reason = "idempotency-key-running"
	ReasonKeyReleased         Reason = "idempotency-key-released"
	ReasonKeyReused           Reason = "idempotency-key-reused"
	ReasonKeyUnreadable       Reason = "idempotency-key-unreadable"
	ReasonResponseNotRecorded Reason = "answer-not-recorded"
)

// idempotencyRetryAfter is the Retry-After for a request whose idempotency key
// is in use or cannot be claimed.
const idempotencyRetryAfter = time.Second

// Claimer claims idempotency keys. *attempts.Recorder implements it.
type Claimer interface {
	// Begin claims a key and returns when the request may be sent. Errors:
	// *attempts.ConflictError, *attempts.UnavailableError.
	Begin(ctx context.Context, q attempts.Request) (*attempts.Attempt, error)
}

// Attempts is the stage that runs a request with an idempotency key at most
// once across all instances. Idempotent requests bypass it.
type Attempts struct {
	// Claimer claims keys and records outcomes.
	Claimer Claimer
}

// Wrap implements Stage.
func (s *Attempts) Wrap(next Handler) Handler {
	return HandlerFunc(func(x *Exchange) error {
		if x.IdempotencyKey == "" || x.Idempotent() {
			return next.ServeExchange(x)
		}
		body, err := bufferBody(x)
		if err != nil {
			return err
		}
		claim, err := s.Claimer.Begin(x.Context(), attempts.Request{
			Key:    attempt.ScopedKey{Team: x.Team, Route: x.Route.Name, IdempotencyKey: x.IdempotencyKey},
			Digest: requestDigest(x.Request, body),
		})
		if err != nil {
			return handleClaimError(x, err)
		}
		return serveClaimed(x, claim, next)
	})
}

// requestDigest returns a digest that distinguishes requests with the same
// idempotency key. For a body that is not buffered it covers only the length.
func requestDigest(r *http.Request, body []byte) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %q %q %d ", r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), r.ContentLength)
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// handleClaimError responds to a request whose idempotency key could not be
// claimed.
func handleClaimError(x *Exchange, err error) error {
	var conflict *attempts.ConflictError
	if errors.As(err, &conflict) {
		return handleConflict(x, conflict)
	}
	refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonInternal)
	refusal.RetryAfter = idempotencyRetryAfter
	refusal.Err = err
	var unavailable *attempts.UnavailableError
	if errors.As(err, &unavailable) {
		refusal.Reason = Reason(unavailable.Reason)
	}
	return refusal
}

// handleConflict responds to a request whose idempotency key was claimed by an
// earlier request.
func handleConflict(x *Exchange, conflict *attempts.ConflictError) error {
	if conflict.OtherRequest {
		return refuseNotRun(http.StatusUnprocessableEntity, ReasonKeyReused)
	}
	switch conflict.Current.State {
	case attempt.StateDone:
		return replayOutcome(x, conflict.Current.Outcome)
	case attempt.StateReleased:
		refusal := refuseNotRun(http.StatusServiceUnavailable, ReasonKeyReleased)
		refusal.RetryAfter = idempotencyRetryAfter
		return refusal
	case attempt.StateRunning:
		return &Refusal{
			Verdict:    verdict.MayHaveRun,
			Reason:     ReasonKeyRunning,
			Status:     http.StatusConflict,
			RetryAfter: idempotencyRetryAfter,
		}
	default:
		return &Refusal{Verdict: verdict.MayHaveRun, Reason: ReasonKeyUnreadable, Status: http.StatusServiceUnavailable}
	}
}

// replayOutcome responds with the recorded outcome of the earlier request.
func replayOutcome(x *Exchange, outcome *attempt.Outcome) error {
	x.Verdict = verdict.Ran
	header := x.Writer.Header()
	if !outcome.Complete {
		header.Set(HeaderRecordedStatus, strconv.Itoa(outcome.Status))
		return &Refusal{Verdict: verdict.Ran, Reason: ReasonResponseNotRecorded, Status: http.StatusConflict}
	}
	header.Set(HeaderVerdict, verdict.Ran.String())
	header.Set(HeaderReplayed, "true")
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	x.Writer.WriteHeader(outcome.Status)
	_, _ = x.Writer.Write(outcome.Body)
	return nil
}

// serveClaimed sends a request whose idempotency key is claimed and records its
// outcome. The request continues when the caller disconnects, so that a
// repeated request gets the outcome.
func serveClaimed(x *Exchange, claim *attempts.Attempt, next Handler) error {
	returned := false
	defer func() {
		if !returned { // after a panic the request may have run
			claim.Abandon()
		}
	}()
	ctx, cancel := withoutCallerCancellation(x.Context())
	defer cancel()
	x.Request = x.Request.WithContext(ctx)
	recorder := &responseRecorder{ResponseWriter: x.Writer}
	x.Writer = recorder
	err := next.ServeExchange(x)
	returned = true
	var refusal *Refusal
	switch {
	case err == nil:
		claim.Finish(recorder.outcome())
	case errors.As(err, &refusal) && refusal.Verdict == verdict.NotRun && !recorder.Written():
		claim.Release()
	default:
		claim.Abandon()
	}
	return err
}

// withoutCallerCancellation returns a context that ends at the deadline of
// parent, or when parent is canceled with a cause of its own, such as an
// invalid key. It does not end when the caller disconnects.
func withoutCallerCancellation(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	cancelDeadline := context.CancelFunc(func() {})
	if deadline, ok := parent.Deadline(); ok {
		ctx, cancelDeadline = context.WithDeadline(ctx, deadline)
	}
	stop := context.AfterFunc(parent, func() {
		cause := context.Cause(parent)
		if !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded) {
			cancel(cause)
		}
	})
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}
