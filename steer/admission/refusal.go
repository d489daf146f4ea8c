package admission

import (
	"fmt"
	"time"
)

// Reason says in one word why a request was not admitted.
type Reason string

const (
	// ReasonDeadline means that the request could not end by its deadline.
	ReasonDeadline Reason = "deadline-unreachable"
	// ReasonWait means that the wait would be longer than the asker allows.
	ReasonWait Reason = "wait-too-long"
	// ReasonFull means that the team has too many requests waiting.
	ReasonFull Reason = "queue-full"
)

// Refusal says that a request was not admitted. It did not run.
type Refusal struct {
	// Reason says why.
	Reason Reason
	// Wait is the expected wait, and so the time after which coming back
	// helps.
	Wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s, expected wait %v", r.Reason, r.Wait)
}
