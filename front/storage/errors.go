package storage

import "fmt"

// Effect is what is known about whether a failed call changed the platform's
// state.
type Effect uint8

const (
	// EffectUnknown means that the call may have taken effect.
	EffectUnknown Effect = iota
	// EffectNone means that the call did not take effect.
	EffectNone
)

// String names the effect for logs.
func (e Effect) String() string {
	if e == EffectNone {
		return "none"
	}
	return "unknown"
}

// Error is a failed call to the platform.
type Error struct {
	// Op names the call, such as "commit".
	Op string
	// Effect says whether the call may have taken effect.
	Effect Effect
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Err is the cause; it is nil if only Status is known.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform %s: status %d, effect %s", e.Op, e.Status, e.Effect)
	}
	return fmt.Sprintf("platform %s: effect %s: %v", e.Op, e.Effect, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ConflictError is returned for a transaction that was refused because a row
// did not have the expected version. Nothing was written.
type ConflictError struct {
	// Key is the key of the conflicting row.
	Key string
	// Expected is the version that the writer expected.
	Expected uint64
	// Actual is the row that the table holds.
	Actual Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform commit: row %s has version %d, expected %d", e.Key, e.Actual.Version, e.Expected)
}
