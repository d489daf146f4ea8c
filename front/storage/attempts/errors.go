package attempts

import (
	"fmt"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// Reason says why no claim could be made. It is a label of a counter.
type Reason string

// The reasons for which no claim could be made. With each of them the request
// has not been sent.
const (
	// ReasonStoreUnavailable means that the store does not answer.
	ReasonStoreUnavailable Reason = "store-silent"
	// ReasonQueueFull means that too many claims wait for the store.
	ReasonQueueFull Reason = "attempts-queue-full"
	// ReasonDeadline means that the request's time ended before the claim
	// stood.
	ReasonDeadline Reason = "attempts-deadline"
	// ReasonContended means that the claim was overtaken again and again.
	ReasonContended Reason = "attempts-contended"
	// ReasonStopping means that this instance is about to stop.
	ReasonStopping Reason = "stopping"
)

// UnavailableError says that no claim could be made. The request has not been
// sent and has not run by it.
type UnavailableError struct {
	Reason Reason
	// Err is the cause, if there is more to say.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("attempts: no claim: %s", e.Reason)
	}
	return fmt.Sprintf("attempts: no claim: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ConflictError says that the key is claimed already.
type ConflictError struct {
	// Current is the record that stands. Its State is empty when the row
	// can't be read, and StateReleased when its release is under way.
	Current attempt.Record
	// OtherRequest says that the standing record is of another request, so
	// that the caller has used one key for two bookings.
	OtherRequest bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("attempts: key is taken: %s by %s", e.Current.State, e.Current.Holder)
}
