package admission

import (
	"fmt"
	"time"
)

// Reason is the reason why a request was not admitted.
type Reason string

const (
	// ReasonDeadline means that the request could not finish by its deadline.
	ReasonDeadline Reason = "deadline-unreachable"
	// ReasonWait means that the expected wait exceeds the request's MaxWait.
	ReasonWait Reason = "wait-too-long"
	// ReasonFull means that the team has too many requests waiting.
	ReasonFull Reason = "queue-full"
)

// Refusal is returned for a request that was not admitted and did not run.
type Refusal struct {
	// Reason is the reason for the refusal.
	Reason Reason
	// Wait is the expected wait, and thus the time after which a retry may
	// succeed.
	Wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not admitted: %s, expected wait %v", r.Reason, r.Wait)
}
