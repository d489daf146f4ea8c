package catalog

import "time"

// Endpoint is one incarnation of an endpoint that has registered itself.
type Endpoint struct {
	// ID is the name under which it registered.
	ID string
	// StartMS is its own moment of start, in milliseconds since the Unix epoch; 0
	// when it said none. ID and StartMS together name an incarnation.
	StartMS int64
	// Service names its service.
	Service string
	// Address is its host and port.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Version is the version of its software.
	Version string
	// Slots is how many requests it runs at the same time.
	Slots int
	// Draining says that it must get no new work.
	Draining bool
	// ColdUntil is when it stops being cold, on this process's clock.
	ColdUntil time.Time
	// ObservedAt is when this process read the entry.
	ObservedAt time.Time
	// Revision is the version of the entry; a higher one is newer.
	Revision uint64
}

// Incarnation names one start of an endpoint.
type Incarnation struct {
	// ID is the name under which the endpoint registered.
	ID string
	// StartMS is its moment of start in milliseconds since the Unix epoch.
	StartMS int64
}

// Incarnation returns the name of this start of the endpoint.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, StartMS: e.StartMS} }

// RolloutOrder is an operator's order to move a service to another version.
type RolloutOrder struct {
	// Service names the service.
	Service string
	// To is the version that is to take over.
	To string
	// Duration is how long the move may take.
	Duration time.Duration
	// Key is that of the operator's row that holds it.
	Key string
	// Revision tells orders for one service apart; a higher one is newer.
	Revision uint64
}

// RolloutResult is how a move stands.
type RolloutResult uint8

const (
	// RolloutRunning means that the move is under way.
	RolloutRunning RolloutResult = iota
	// RolloutCompleted means that the old versions may end.
	RolloutCompleted
	// RolloutRolledBack means that the new version must get nothing.
	RolloutRolledBack
)

// String names the result for logs.
func (r RolloutResult) String() string {
	switch r {
	case RolloutRunning:
		return "running"
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "taken-back"
	default:
		return "unknown"
	}
}

// RolloutRecord is the recorded state of a service's move.
type RolloutRecord struct {
	// To is the version that the move is to.
	To string
	// Result is how it stands.
	Result RolloutResult
	// Revision is the version of the record; 0 when there is none.
	Revision uint64
}

// AppliesTo says whether the record is about an order: it names its version and
// is newer.
func (r RolloutRecord) AppliesTo(o RolloutOrder) bool { return r.To == o.To && r.Revision > o.Revision }
