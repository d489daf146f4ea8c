package attempts

import (
	"fmt"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// Reason says why a claim could not be made. It is the value of a metric label.
type Reason string

// The reasons why a claim could not be made. In each case the request has not
// been sent.
const (
	// ReasonStoreUnavailable means that the store does not respond.
	ReasonStoreUnavailable Reason = "store-silent"
	// ReasonQueueFull means that too many claims are waiting to be written.
	ReasonQueueFull Reason = "attempts-queue-full"
	// ReasonDeadline means that the request's deadline passed before the claim
	// was written.
	ReasonDeadline Reason = "attempts-deadline"
	// ReasonContended means that the claim's transaction was sent the maximum
	// number of times without being written, although the store responds.
	// Usually other writes kept conflicting with it.
	ReasonContended Reason = "attempts-contended"
	// ReasonStopping means that this instance is shutting down.
	ReasonStopping Reason = "stopping"
)

// UnavailableError means that the key could not be claimed. The request has not
// been sent, so this call has not made it run.
type UnavailableError struct {
	Reason Reason
	// Err is the cause. It may be nil.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("attempts: key could not be claimed: %s", e.Reason)
	}
	return fmt.Sprintf("attempts: key could not be claimed: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ConflictError means that the key is already claimed.
type ConflictError struct {
	// Current is the record that holds the key. Its State is empty if the row
	// can't be decoded, and StateReleased if its release is still being written.
	Current attempt.Record
	// OtherRequest is set if the record belongs to a request with another
	// digest, which means that the caller has used one key for two requests.
	OtherRequest bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("attempts: key is already claimed: state %q, holder %q", e.Current.State, e.Current.Holder)
}
