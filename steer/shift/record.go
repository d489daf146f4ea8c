package shift

import (
	"fmt"
	"time"
)

// Phase is where a shift stands. Phases are ordered: a record only moves up.
type Phase uint8

const (
	// Pending means that the first stage has not begun.
	Pending Phase = iota
	// Running means that a stage is on.
	Running
	// Watching means that the new version took over and is still judged.
	Watching
	// Done means that the watch has ended well.
	Done
	// RolledBack means that the old version serves again. It is final.
	RolledBack
)

var phaseNames = [...]string{"pending", "running", "watching", "done", "taken-back"}

// String names the phase as operators see it.
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

// Cause is the kind of reason for which a shift was taken back.
type Cause string

const (
	// CauseErrors means that the new version fails more often than the old.
	CauseErrors Cause = "errors"
	// CauseLatency means that the new version is slower than the old.
	CauseLatency Cause = "latency"
	// CauseLoad means that the new version is worse, but only at a share
	// that leaves the old version too little traffic to compare with.
	CauseLoad Cause = "load"
	// CauseDeadline means that the shift was not complete in time.
	CauseDeadline Cause = "deadline"
	// CauseHeadroom means that a drain's traffic found no room elsewhere by
	// its deadline.
	CauseHeadroom Cause = "headroom"
)

// Reason says why a shift was taken back.
type Reason struct {
	// Cause is the kind of reason; empty when the shift was not taken back.
	Cause Cause `json:"cause,omitempty"`
	// Scope says where the evidence was found.
	Scope Scope `json:"scope,omitzero"`
	// Instance is the instance that decided.
	Instance string `json:"instance,omitempty"`
	// Detail is a sentence for operators.
	Detail string `json:"detail,omitempty"`
}

// Record is the state of a shift that the platform's table keeps.
type Record struct {
	// Phase is where the shift stands.
	Phase Phase `json:"phase"`
	// Stage is the index of the stage; it counts only while Running.
	Stage int `json:"stage"`
	// Since is when Phase and Stage began, by the writer's clock.
	Since time.Time `json:"since"`
	// Holder is the instance that advances the shift.
	Holder string `json:"holder,omitempty"`
	// Renewal counts the holder's renewals, so that each changes the row.
	Renewal uint64 `json:"renewal"`
	// Reason says why the shift was taken back.
	Reason Reason `json:"reason,omitzero"`
}

// supersedes reports whether r stands higher than o in the order of outcomes.
func (r *Record) supersedes(o *Record) bool {
	if r.Phase != o.Phase {
		return r.Phase > o.Phase
	}
	return r.Phase == Running && r.Stage > o.Stage
}

// Settled reports whether the new version took over or was taken back.
func (r *Record) Settled() bool { return r.Phase >= Watching }

// sameStep reports whether r and o have the same phase and stage.
func (r *Record) sameStep(o *Record) bool { return !r.supersedes(o) && !o.supersedes(r) }
