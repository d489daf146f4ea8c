package duty

import "time"

const (
	// rankDelay separates the claims of two candidates of adjacent ranks.
	rankDelay = 2 * time.Second
	// grace is how long after its due time an action is overdue. A notice passes up
	// to three hops of 0.5 s on average. With 2.5 s, a successor of rank 1 would
	// report a window more than 10 s after its end.
	grace = 2 * time.Second
	// startDelay is how long a new process waits for notices before it reads the row.
	startDelay = 2 * time.Second
	// leaseMargin is added to the wait for another holder's lease, for clocks that
	// run at different rates.
	leaseMargin = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the time between calls to a store that fails.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxTokenStep bounds, as a power of 2, the step after a refused token.
	maxTokenStep = 20
)

// Clock is one moment on both clocks of the instance.
type Clock struct {
	// Mono is read from the monotonic clock.
	Mono time.Time
	// Wall is read from the wall clock, without a monotonic reading.
	Wall time.Time
}

// Now returns the Clock of a value of time.Now.
func Now(t time.Time) Clock { return Clock{Mono: t, Wall: t.Round(0)} }

// Settings are those of one duty at one instance.
type Settings struct {
	// Holder is the name of this instance, and Started the number of its process,
	// which differs for each process of the instance.
	Holder  string
	Started int64
	// RequireFence reports whether the platform refuses lower fencing tokens.
	RequireFence bool
	// Lease is the time within which holders must not alternate.
	Lease time.Duration
	// Interval is the usual time between two actions.
	Interval time.Duration
}

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	// None: no store call is needed.
	None Kind = iota
	// Read: read the row.
	Read
	// Claim: write the row to become the holder.
	Claim
	// Act: write the row with a new State and Due before the calls they describe.
	Act
	// Renew: write the row unchanged, to extend the lease.
	Renew
	// Release: write the row to give up the claim.
	Release
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"none", "read", "claim", "act", "renew", "release"}[k]
}

// Action is the store call that is needed now.
type Action struct {
	Kind Kind
	// Write is the row to write. For Act the caller sets its State and Due first.
	Write Row
}

// Outcome is the outcome of a conditional write.
type Outcome int

// The outcomes of a write.
const (
	// Unknown: the write may have been applied, or may be applied later.
	Unknown Outcome = iota
	// Applied: the store confirmed the write, in the era of its condition.
	Applied
	// Conflict: the condition did not hold. Nothing was written.
	Conflict
	// Rejected: the store rejected the call without any effect.
	Rejected
)

// Result is the result of a write.
type Result struct {
	Outcome Outcome
	// Revision is the row's new revision if the write was applied; 0 if the store
	// did not return it, which costs a read before the next write.
	Revision uint64
}

// Permit allows calls to the platform.
type Permit struct {
	// Token is the fencing token of the calls.
	Token uint64
	// Until is when the permit ends, on the monotonic clock; zero if the platform
	// checks fencing tokens.
	Until time.Time
}
