package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Store is the subset of storage.Service that this package uses.
type Store interface {
	storage.Table
	storage.Objects
}

// PromotionRequest is a request to put a document in force.
type PromotionRequest struct {
	// Environment is the environment; the document must be for the same one.
	Environment string
	// ExpectedGeneration is the generation that must be in force; 0 if none.
	ExpectedGeneration uint64
	// File is the name of the document's file, for error messages.
	File string
	// Content is the document.
	Content []byte
	// Operation is a unique name for this promotion. Requests with the same
	// operation promote at most once. Default: a new random name.
	Operation string
	// Operator is the person who requests the promotion. Other operators see
	// it in the promotion record and in conflicts.
	Operator string
	// WithdrawnKeys are keys that no later document may contain.
	WithdrawnKeys []WithdrawnKey
}

// ConflictError is returned when the generation in force is not the expected
// one, usually because another promotion came first. Nothing was changed.
type ConflictError struct {
	// Expected is the generation that the request expected.
	Expected uint64
	// Current is the promotion in force.
	Current Promotion
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Generation == 0 {
		return fmt.Sprintf("conflict: expected generation %d, but no document is in force", e.Expected)
	}
	return fmt.Sprintf("conflict: expected generation %d, but %q put generation %d (%s) in force",
		e.Expected, e.Current.Operator, e.Current.Generation, e.Current.Digest)
}

// UnknownOutcomeError is returned when a promotion may or may not have been
// accepted, because the store stopped responding before that could be
// determined. Repeating the request with the same operation resolves it.
type UnknownOutcomeError struct {
	// Operation is the name of the promotion.
	Operation string
	// Err is the last failure.
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("promotion %s may or may not be in force: %v", e.Operation, e.Err)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// EnvironmentError is returned for a document of another environment.
type EnvironmentError struct {
	// Want is the environment of the request.
	Want string
	// Got is the environment of the document.
	Got string
}

// Error implements error.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("the document is for environment %q, not %q", e.Got, e.Want)
}

// Promoter puts documents in force.
type Promoter struct {
	store Store
}

// NewPromoter returns a Promoter that writes to store.
func NewPromoter(store Store) *Promoter { return &Promoter{store: store} }

// Backoff between attempts of a promoter.
const (
	promoteInitialBackoff = 100 * time.Millisecond
	promoteMaxBackoff     = 2 * time.Second
)

// Current returns the promotion in force and its document, or the zero
// Promotion if there is none. Errors: *storage.Error.
func (p *Promoter) Current(ctx context.Context, environment string) (Promotion, []byte, error) {
	row, err := p.store.Get(ctx, HeadKey(environment))
	if err != nil {
		return Promotion{}, nil, err
	}
	head, err := decodeHead(row)
	if err != nil || head.Generation == 0 {
		return Promotion{}, nil, err
	}
	content, err := p.store.GetObject(ctx, head.Digest)
	return head, content, err
}

// Promote validates a document and puts it in force. It retries until ctx ends.
// After *document.Error, *EnvironmentError, *WithdrawnError, *ConflictError and
// *storage.Error nothing has changed. After *UnknownOutcomeError the document
// may be in force.
func (p *Promoter) Promote(ctx context.Context, r PromotionRequest) (Promotion, error) {
	doc, err := document.Decode(r.File, r.Content)
	if err != nil {
		return Promotion{}, err
	}
	if doc.Environment != r.Environment {
		return Promotion{}, &EnvironmentError{Want: r.Environment, Got: doc.Environment}
	}
	if r.Operation == "" {
		r.Operation = uuid.NewString()
	}
	digest, err := retry(ctx, func() (string, error) { return p.store.PutObject(ctx, r.Content) })
	if err != nil {
		return Promotion{}, err
	}
	pending := &pendingPromotion{store: p.store, request: r, digest: digest, doc: doc}
	promotion, err := retry(ctx, func() (Promotion, error) { return pending.tryOnce(ctx) })
	if err != nil && pending.outcomeUnknown && !pending.notWritten {
		return Promotion{}, &UnknownOutcomeError{Operation: r.Operation, Err: err}
	}
	return promotion, err
}

// retry repeats an operation with exponential, jittered backoff until ctx ends.
// An error marked by backoff.Permanent ends it at once.
func retry[T any](ctx context.Context, operation func() (T, error)) (T, error) {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = promoteInitialBackoff
	intervals.MaxInterval = promoteMaxBackoff
	var lastErr error
	result, err := backoff.Retry(ctx, func() (T, error) {
		value, err := operation()
		if err != nil {
			lastErr = err
		}
		return value, err
	}, backoff.WithBackOff(intervals), backoff.WithMaxElapsedTime(0))
	var permanent *backoff.PermanentError
	if err != nil && lastErr != nil {
		err = lastErr
	}
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	return result, err
}

// pendingPromotion is the state of one promotion across its attempts.
type pendingPromotion struct {
	store   Store
	request PromotionRequest
	digest  string
	doc     *document.Document
	// outcomeUnknown is set once a write was sent whose outcome is unknown.
	outcomeUnknown bool
	// notWritten is set when the history shows that no write took effect.
	notWritten bool
}

// tryOnce reads the head row, checks in the history whether an earlier attempt
// took effect, and writes if not. Sending the same write again is safe: it is
// conditional on the row version that it replaces, so at most one takes effect.
func (p *pendingPromotion) tryOnce(ctx context.Context) (Promotion, error) {
	headRow, err := p.store.Get(ctx, HeadKey(p.request.Environment))
	if err != nil {
		return Promotion{}, err
	}
	head, err := decodeHead(headRow)
	if err != nil {
		return Promotion{}, backoff.Permanent(err)
	}
	historyRow, err := p.store.Get(ctx, historyKey(p.request.Environment))
	if err != nil {
		return Promotion{}, err
	}
	var recent history
	if err := decodeRow(historyRow, &recent); err != nil {
		return Promotion{}, backoff.Permanent(err)
	}
	if done, found := recent.findOperation(p.request.Operation); found {
		return done, nil
	}
	if head.Generation != p.request.ExpectedGeneration {
		p.notWritten = head.Generation <= p.request.ExpectedGeneration+maxHistory
		return Promotion{}, backoff.Permanent(&ConflictError{Expected: p.request.ExpectedGeneration, Current: head})
	}
	// The check and the write are atomic: the write is conditional on the head
	// row's version read above, and withdrawing a key changes that row.
	err = checkWithdrawn(ctx, p.store, p.doc)
	var withdrawn *WithdrawnError
	if errors.As(err, &withdrawn) {
		return Promotion{}, backoff.Permanent(err)
	}
	if err != nil {
		return Promotion{}, err
	}
	return p.write(ctx, headRow, historyRow, recent)
}

// write updates the head row, the history row and the rows of withdrawn keys in
// one transaction.
func (p *pendingPromotion) write(ctx context.Context, headRow, historyRow storage.Row, recent history) (Promotion, error) {
	next := Promotion{
		Head:      generation.Head{Generation: p.request.ExpectedGeneration + 1, Digest: p.digest},
		Operation: p.request.Operation,
		Operator:  p.request.Operator,
	}
	writes, err := withdrawnWrites(p.request.Environment, p.request.WithdrawnKeys)
	if err != nil {
		return Promotion{}, backoff.Permanent(err)
	}
	head, err := json.Marshal(next)
	if err != nil {
		return Promotion{}, backoff.Permanent(err)
	}
	promotions, err := json.Marshal(recent.withPromotion(next))
	if err != nil {
		return Promotion{}, backoff.Permanent(err)
	}
	writes = append(
		writes,
		storage.Write{Key: HeadKey(p.request.Environment), Expected: headRow.Version, Value: head},
		storage.Write{Key: historyKey(p.request.Environment), Expected: historyRow.Version, Value: promotions},
	)
	_, err = p.store.Commit(ctx, writes)
	if err == nil {
		return next, nil
	}
	var failure *storage.Error
	if errors.As(err, &failure) && failure.Effect == storage.EffectUnknown {
		p.outcomeUnknown = true
	}
	return Promotion{}, err
}
