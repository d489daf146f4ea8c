// Package attempt decides how a request with an idempotency key runs at most
// once across all instances.
//
// Before a request is sent, a record that claims its key is written to the
// platform's table on condition that no other claim exists. A claim becomes
// done when the endpoint has answered, and released when there is proof that
// the request did not run. A released key can be claimed again. If the holder
// of a claim dies, the claim stays as it is, because the request may have run.
//
// Records are never deleted before they expire, so a row's version only grows
// and a delayed write can't take effect after its successor. The conditional
// write acts as a fencing token (Kleppmann, Designing Data-Intensive
// Applications, chapter 8).
//
// The package does no I/O: it plans group commits and interprets their
// results. Package front/storage/attempts sends them.
package attempt

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// State is the progress of a claim.
type State string

// The states of a record.
const (
	// StateRunning means that the request may be running or may have run.
	StateRunning State = "running"
	// StateDone means that the endpoint's complete response has arrived.
	StateDone State = "done"
	// StateReleased means that the request is proved not to have run.
	StateReleased State = "released"
)

// MaxOutcomeBodyBytes is the largest response body that an outcome stores, in
// bytes.
const MaxOutcomeBodyBytes = 2 << 10

var errInvalidRecord = errors.New("attempt record")

// Record is what the table stores for one idempotency key.
type Record struct {
	// ID is unique to one claim of the key.
	ID string `json:"id"`
	// Holder names the instance that made the claim.
	Holder string `json:"holder"`
	// State is the progress of the claim.
	State State `json:"state"`
	// Epoch is the cleanup epoch in which the claim was created.
	Epoch uint64 `json:"epoch"`
	// RequestDigest is a digest of the request, used to detect that the same
	// key is sent with another request.
	RequestDigest string `json:"request"`
	// Outcome is the endpoint's response. It is set if State is StateDone.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored part of an endpoint's response. A repeated request is
// answered with it.
type Outcome struct {
	// Status is the HTTP status of the response.
	Status int `json:"status"`
	// ContentType is the media type of the response.
	ContentType string `json:"contentType,omitempty"`
	// Body is the body of the response if Complete is set.
	Body []byte `json:"body,omitempty"`
	// Complete is set if Body is the whole body. A body over
	// MaxOutcomeBodyBytes is not stored.
	Complete bool `json:"complete"`
}

// Encode returns the record in the form stored in the table.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes and checks a record. It returns an error for any
// content that this package did not write.
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

// ScopedKey is an idempotency key with its scope. The same key from another
// team or on another route identifies another request.
type ScopedKey struct {
	Team           string
	Route          string
	IdempotencyKey string
}

// Hash returns the SHA-256 of the scoped key in hex. Each part is prefixed
// with its length, so that two different scoped keys never give the same
// input.
func (n ScopedKey) Hash() string {
	hash := sha256.New()
	for _, part := range []string{n.Team, n.Route, n.IdempotencyKey} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
