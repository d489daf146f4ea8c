package shift

import (
	"fmt"
	"time"
)

// Phase is the phase of a shift. Phases are ordered: a record never returns to
// a lower one.
type Phase uint8

const (
	// Pending means that the first stage has not begun.
	Pending Phase = iota
	// Running means that a stage is in progress.
	Running
	// Watching means that the new version took over and is still judged.
	Watching
	// Done means that the watch period ended without a rollback.
	Done
	// RolledBack means that the old version serves again. It is final.
	RolledBack
)

var phaseNames = [...]string{"pending", "running", "watching", "done", "taken-back"}

// String returns the phase as shown to operators.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	for i, name := range phaseNames {
		if name == string(text) {
			*p = Phase(i)
			return nil
		}
	}
	return fmt.Errorf("shift: unknown phase %q", text)
}

// Cause is the kind of reason for a rollback.
type Cause string

const (
	// CauseErrors means that the new version fails more often than the old.
	CauseErrors Cause = "errors"
	// CauseLatency means that the new version is slower than the old.
	CauseLatency Cause = "latency"
	// CauseLoad means that the new version is worse, but only at a share that
	// leaves the old version too little traffic for a comparison.
	CauseLoad Cause = "load"
	// CauseDeadline means that the shift was not complete by its deadline.
	CauseDeadline Cause = "deadline"
	// CauseHeadroom means that the other regions had too little headroom for a
	// drain's traffic by its deadline.
	CauseHeadroom Cause = "headroom"
)

// Reason is the reason for a rollback.
type Reason struct {
	// Cause is the kind of reason. It is empty if there was no rollback.
	Cause Cause `json:"cause,omitempty"`
	// Scope is the scope in which the evidence was found.
	Scope Scope `json:"scope,omitzero"`
	// Instance is the instance that decided on the rollback.
	Instance string `json:"instance,omitempty"`
	// Detail is a description for operators.
	Detail string `json:"detail,omitempty"`
}

// Record is the state of a shift as stored in the platform's table.
type Record struct {
	// Phase is the current phase.
	Phase Phase `json:"phase"`
	// Stage is the index of the stage. It is only relevant while Running.
	Stage int `json:"stage"`
	// Since is when Phase and Stage began, by the writer's clock.
	Since time.Time `json:"since"`
	// Holder is the instance that advances the shift.
	Holder string `json:"holder,omitempty"`
	// Renewal counts the renewals by the holder, so that each of them changes
	// the row.
	Renewal uint64 `json:"renewal"`
	// Reason is the reason for the rollback, if there was one.
	Reason Reason `json:"reason,omitzero"`
}

// supersedes reports whether r is higher than o in the order of outcomes.
func (r *Record) supersedes(o *Record) bool {
	if r.Phase != o.Phase {
		return r.Phase > o.Phase
	}
	return r.Phase == Running && r.Stage > o.Stage
}

// Settled reports whether the new version took over or was rolled back.
func (r *Record) Settled() bool { return r.Phase >= Watching }

// sameStep reports whether r and o have the same phase and stage.
func (r *Record) sameStep(o *Record) bool { return !r.supersedes(o) && !o.supersedes(r) }
