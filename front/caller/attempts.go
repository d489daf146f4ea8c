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

// Headers of an answer to a repeated idempotency key.
const (
	// HeaderReplayed is "true" on the recorded answer of an earlier request.
	HeaderReplayed = "Cardamomfront-Replayed"
	// HeaderRecordedStatus is the earlier answer's status when the answer
	// itself was too large to be recorded.
	HeaderRecordedStatus = "Cardamomfront-Recorded-Status"
)

// Reasons of the stage Attempts, besides those of package attempts.
const (
	ReasonKeyRunning          Reason = "idempotency-key-running"
	ReasonKeyReleased         Reason = "idempotency-key-released"
	ReasonKeyReused           Reason = "idempotency-key-reused"
	ReasonKeyUnreadable       Reason = "idempotency-key-unreadable"
	ReasonResponseNotRecorded Reason = "answer-not-recorded"
)

// idempotencyRetryAfter is when a caller may come back with a key that is in work
// or can't be claimed.
const idempotencyRetryAfter = time.Second

// Claimer claims idempotency keys. *attempts.Recorder implements it.
type Claimer interface {
	// Begin returns when the key is claimed and the request may be sent.
	// Errors: *attempts.TakenError, *attempts.UnavailableError.
	Begin(ctx context.Context, q attempts.Request) (*attempts.Attempt, error)
}

// Attempts is the stage that lets a request with an idempotency key run at
// most once over all instances. Requests that are idempotent anyway pass by.
type Attempts struct {
	// Claimer keeps the records.
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
			Name:   attempt.ScopedKey{Team: x.Team, Route: x.Route.Name, IdempotencyKey: x.IdempotencyKey},
			Digest: requestDigest(x.Request, body),
		})
		if err != nil {
			return handleClaimError(x, err)
		}
		return serveClaimed(x, claim, next)
	})
}

// requestDigest tells requests apart that use the same key. Of a body that is
// not held it takes the length only.
func requestDigest(r *http.Request, body []byte) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %q %q %d ", r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), r.ContentLength)
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// handleClaimError answers a request whose key could not be claimed.
func handleClaimError(x *Exchange, err error) error {
	var conflict *attempts.TakenError
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

// handleConflict answers a request whose key belongs to an earlier one.
func handleConflict(x *Exchange, conflict *attempts.TakenError) error {
	if conflict.OtherRequest {
		return refuseNotRun(http.StatusUnprocessableEntity, ReasonKeyReused)
	}
	switch conflict.Standing.State {
	case attempt.StateDone:
		return replayOutcome(x, conflict.Standing.Outcome)
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

// replayOutcome answers with the recorded outcome.
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

// serveClaimed sends a request whose key is claimed and records what became of
// it. The request goes on when its caller goes away, so that a repeat is told
// its outcome.
func serveClaimed(x *Exchange, claim *attempts.Attempt, next Handler) error {
	returned := false
	defer func() {
		if !returned { // a panic: the request may have run
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

// withoutCallerCancellation returns a context that ends as parent does, but not because
// the caller has gone away.
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
