package duties

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/duty"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// Kind is a kind of duty. It is the key of the duty's row.
type Kind string

// KindUsage are the usage reports.
const KindUsage Kind = "usage"

// Fence is what each call to the platform says of its sender.
type Fence struct {
	// Address is the host and port that takes the calls.
	Address string
	// Holder is the name of the instance that holds the duty.
	Holder string
	// Token is the fencing token.
	Token uint64
}

// Platform makes the calls to the platform. It never retries by itself. It is safe
// for concurrent use.
type Platform interface {
	// Kind returns the kind of the duty that the platform calls by a name, and
	// false if it is unknown.
	Kind(name string) (Kind, bool)
	// ReportUsage reports the counts of a window. Errors: *FencedError,
	// *StatusError, or network errors. After an error other than *FencedError it
	// is unknown whether the report was or will be accepted.
	ReportUsage(ctx context.Context, f Fence, r usage.Record) error
}

// FencedError reports that the platform refused a call since it had seen a higher
// fencing token.
type FencedError struct {
	// Token is the token of the call.
	Token uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the platform has seen a higher fencing token than %d", e.Token)
}

// StatusError reports that the platform answered a call with a failure.
type StatusError struct {
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered the call with status %d", e.Status)
}

// Call is a call to the platform that is to be made.
type Call struct {
	// ID identifies the call among those of the duty.
	ID int64
	// Send makes the call.
	Send func(ctx context.Context, f Fence) error
	// Delivered records that the platform has accepted the call.
	Delivered func(f Fence)
}

// Duty is the part of a duty that differs between duties. Its methods are not
// called concurrently, except those of Sharer.
type Duty interface {
	// Kind returns the duty's kind.
	Kind() Kind
	// Interval returns the usual time between two actions.
	Interval() time.Duration
	// Prepare returns the state to write to the duty's row before the calls that it
	// describes are made, and when the next action is due. It reports false if
	// nothing is to be written. restoredAt is that of duty.State.RestoredAt.
	Prepare(now time.Time, row duty.Row, restoredAt time.Time) (state json.RawMessage, due time.Time, changed bool)
	// Confirmed applies a row that the store has confirmed.
	Confirmed(now time.Time, row duty.Row, restoredAt time.Time) error
	// Heard applies the time at which, as another instance tells, the next action
	// is due.
	Heard(due time.Time)
	// Pending returns the calls that a confirmed row describes and that are not
	// known to be delivered.
	Pending(row duty.Row, restoredAt time.Time) []Call
}

// Sharer is a Duty that shares data with the other instances. It is safe for
// concurrent use.
type Sharer interface {
	// Since returns what is new for another instance since a change number, nil if
	// nothing is, and the number to pass once the instance has received it.
	Since(change uint64, to Relation) (data json.RawMessage, next uint64)
	// Merge takes in data of another instance.
	Merge(now time.Time, data json.RawMessage) error
}

// Relation is what another instance is to this one in the exchange of reports.
type Relation int

// The relations.
const (
	// RelationOther: it collects nothing of this instance.
	RelationOther Relation = iota
	// RelationCollector: it collects what this instance has counted itself, as a
	// hub of the failure domain or, in a small fleet, as any instance.
	RelationCollector
	// RelationFellowHub: both are hubs of one failure domain.
	RelationFellowHub
	// RelationRemoteHub: both are hubs, of different failure domains.
	RelationRemoteHub
)
