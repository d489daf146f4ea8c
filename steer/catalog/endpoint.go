package catalog

import "time"

// Endpoint is one incarnation of an endpoint that has registered itself.
type Endpoint struct {
	// ID is the name under which it registered.
	ID string
	// StartMS is the start time that the endpoint reported, in milliseconds
	// since the Unix epoch, or 0 if it reported none. ID and StartMS together
	// identify an incarnation.
	StartMS int64
	// Service names its service.
	Service string
	// Address is its host and port.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Version is its software version.
	Version string
	// Slots is how many requests it runs at the same time.
	Slots int
	// Draining is set if it must get no new requests.
	Draining bool
	// ColdUntil is when it stops being cold, on this process's clock.
	ColdUntil time.Time
	// ObservedAt is when this process read the entry.
	ObservedAt time.Time
	// Sequence counts the reports of the incarnation; 0 if it reports none.
	Sequence uint64
	// Era and Revision are the version of the entry's row.
	Era, Revision uint64
}

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	// ID is the name under which the endpoint registered.
	ID string
	// StartMS is its start time in milliseconds since the Unix epoch.
	StartMS int64
}

// Incarnation returns the incarnation of the endpoint.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, StartMS: e.StartMS} }

// IsLaterThan reports whether the entry was written after another one of the same
// ID, as far as the endpoints' own counts tell.
func (e *Endpoint) IsLaterThan(other *Endpoint) bool {
	if e.StartMS != other.StartMS {
		return e.StartMS > other.StartMS
	}
	return e.Sequence > other.Sequence
}

// RolloutOrder is an operator's order to move a service to another version.
type RolloutOrder struct {
	// Service names the service.
	Service string
	// To is the version to move to.
	To string
	// Duration is how long the rollout may take.
	Duration time.Duration
	// Key is the key of the operator's row that holds the order.
	Key string
	// Era and Revision are the version of the row. They distinguish orders for
	// one service.
	Era, Revision uint64
}

// IsRewrittenAs reports whether other is the same order, read in another era of
// the store. Operators write an order again that a restore of the store has
// lost, and its row then has another revision.
func (o RolloutOrder) IsRewrittenAs(other RolloutOrder) bool {
	return o.Era != other.Era && o.Service == other.Service && o.To == other.To && o.Duration == other.Duration
}

// RolloutResult is the state of a rollout.
type RolloutResult uint8

const (
	// RolloutRunning means that the rollout is in progress.
	RolloutRunning RolloutResult = iota
	// RolloutCompleted means that the old versions may be stopped.
	RolloutCompleted
	// RolloutRolledBack means that the new version must get no requests.
	RolloutRolledBack
)

// String returns the name of the result that logs use.
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

// RolloutRecord is the stored state of a service's rollout.
type RolloutRecord struct {
	// To is the version of the rollout.
	To string
	// Result is the state of the rollout.
	Result RolloutResult
	// Era and Revision are the version of the row. Revision 0 means that there is
	// no record.
	Era, Revision uint64
}

// AppliesTo reports whether the record is about an order: it has the same
// version and is newer.
func (r RolloutRecord) AppliesTo(o RolloutOrder) bool {
	return r.To == o.To && r.Era == o.Era && r.Revision > o.Revision
}
