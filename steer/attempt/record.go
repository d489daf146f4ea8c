// Package attempt decides how a request with an idempotency key runs at most
// once over all instances.
//
// Before a request is sent, a record that claims its key is written to the
// platform's table under the condition that no other claim stands. A claim
// becomes done when the endpoint has answered and released when there is proof
// that the request has not run; a released key can be claimed again. A claim
// whose holder died stays as it is: the request may have run.
//
// Records are never deleted before they expire, so a row's version only grows
// and a write that was delayed on its way can't take effect later than its
// successor (the conditional write acts as a fencing token; Kleppmann,
// Designing Data-Intensive Applications, chapter 8).
//
// The package is pure: it plans group commits and settles their results. The
// package front/storage/attempts carries them out.
package attempt

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// State is how far a claim has come.
type State string

// The states of a record.
const (
	// StateRunning means that the request may be running or may have run.
	StateRunning State = "running"
	// StateDone means that an endpoint's whole answer has arrived.
	StateDone State = "done"
	// StateReleased means that the request is proved not to have run.
	StateReleased State = "released"
)

// MaxOutcomeBodyBytes bounds the answer's body that an outcome keeps, in bytes.
const MaxOutcomeBodyBytes = 2 << 10

var errInvalidRecord = errors.New("attempt record")

// Record is what the table keeps of one idempotency key.
type Record struct {
	// ID is unique to one claim of the key.
	ID string `json:"id"`
	// Holder names the instance that made the claim.
	Holder string `json:"holder"`
	// State is how far the claim has come.
	State State `json:"state"`
	// Epoch is the cleanup epoch in which the claim was made.
	Epoch uint64 `json:"epoch"`
	// RequestDigest is a digest of what was asked for, so that the same key with
	// another request is noticed.
	RequestDigest string `json:"request"`
	// Outcome is the endpoint's answer, present when State is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is what is kept of an endpoint's answer, so that a repeat is
// answered as the first request was.
type Outcome struct {
	// Status is the answer's HTTP status.
	Status int `json:"status"`
	// ContentType is the answer's media type.
	ContentType string `json:"contentType,omitempty"`
	// Body is the answer's body when Complete is set.
	Body []byte `json:"body,omitempty"`
	// Complete says that Body is the whole body; a body over MaxAnswer bytes
	// is not kept.
	Complete bool `json:"complete"`
}

// Encode returns the record as the table keeps it.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record and checks it. Errors: any content that this
// package did not write.
func DecodeRecord(value []byte) (Record, error) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	var r Record
	if err := decoder.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", errInvalidRecord, err)
	}
	switch {
	case r.ID == "":
		return Record{}, fmt.Errorf("%w: no id", errInvalidRecord)
	case r.State != StateRunning && r.State != StateDone && r.State != StateReleased:
		return Record{}, fmt.Errorf("%w: unknown state %q", errInvalidRecord, r.State)
	case (r.State == StateDone) != (r.Outcome != nil):
		return Record{}, fmt.Errorf("%w: state %q and outcome don't match", errInvalidRecord, r.State)
	}
	return r, nil
}

// ScopedKey is what an idempotency key belongs to: the same key from another team
// or on another route is another booking.
type ScopedKey struct {
	Team           string
	Route          string
	IdempotencyKey string
}

// Hash returns the name's SHA-256 in hex. Each part is preceded by its length,
// so that two names never give the same input.
func (n ScopedKey) Hash() string {
	hash := sha256.New()
	for _, part := range []string{n.Team, n.Route, n.IdempotencyKey} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
