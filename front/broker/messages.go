package broker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Methods of calls between instances.
const (
	methodRequest     = "slots.ask"
	methodRelease     = "slots.release"
	methodReport      = "slots.report"
	methodRecordGrant = "slots.note"
	methodForgetGrant = "slots.endNote"
	methodObserve     = "slots.observe"
	methodScan        = "slots.look"
)

// requestResult is the result of methodRequest: a grant or a refusal.
type requestResult struct {
	Grant *slots.Grant `json:"grant,omitempty"`
	// Lifetime is the time from the request until it must have ended.
	Lifetime time.Duration   `json:"bound,omitempty"`
	Refusal  *refusalMessage `json:"refusal,omitempty"`
}

// refusalMessage is a refusal as it is sent to another instance.
type refusalMessage struct {
	// Reason is one of admission's reasons or one of those below.
	Reason     string        `json:"reason"`
	RetryAfter time.Duration `json:"wait"`
}

// Reasons of a broker in addition to those of package admission.
const (
	reasonRecovering = "slots-recovering"
	reasonNoBroker   = "no-slot-broker"
	reasonEnded      = "request-ended"
)

// releaseParams are the parameters of methodRelease.
type releaseParams struct {
	slots.Release
	// Address is the endpoint's address, or "" when there was no grant.
	Address string `json:"address,omitempty"`
	// Answered reports whether the endpoint sent a response.
	Answered bool `json:"answered,omitempty"`
}

// reportParams are the parameters of methodReport.
type reportParams struct {
	Group slots.Group `json:"group"`
	Epoch uint64      `json:"epoch"`
}

// recordGrantParams are the parameters of methodRecordGrant.
type recordGrantParams struct {
	Grant     slots.Grant   `json:"grant"`
	Remaining time.Duration `json:"remaining"`
}

// forgetGrantParams are the parameters of methodForgetGrant.
type forgetGrantParams struct {
	ID slots.ID `json:"id"`
}

// observeParams are the parameters of methodObserve.
type observeParams struct {
	Group   slots.Group    `json:"group"`
	Address string         `json:"address"`
	Outcome health.Outcome `json:"outcome"`
}

// UnavailableError means that a group's broker is unknown or unreachable, or
// that it may not grant slots. The request did not run.
type UnavailableError struct {
	// Group identifies the slots.
	Group slots.Group
	// Reason is the machine-readable reason.
	Reason string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("slots of %s: %s", e.Group, e.Reason)
	}
	return fmt.Sprintf("slots of %s: %s: %v", e.Group, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// encodeRefusal converts a broker's refusal to the message for other instances.
func encodeRefusal(err error) *refusalMessage {
	switch e := err.(type) { //nolint:errorlint // brokers return these unwrapped
	case *admission.Refusal:
		return &refusalMessage{Reason: string(e.Reason), RetryAfter: e.Wait}
	case *slots.RecoveringError:
		return &refusalMessage{Reason: reasonRecovering, RetryAfter: e.Wait}
	default:
		return &refusalMessage{Reason: reasonEnded}
	}
}

// toError converts a refusal from another instance to an error: an
// *admission.Refusal or an *UnavailableError.
func (r *refusalMessage) toError(g slots.Group) error {
	switch reason := admission.Reason(r.Reason); reason {
	case admission.ReasonDeadline, admission.ReasonWait, admission.ReasonFull:
		return &admission.Refusal{Reason: reason, Wait: r.RetryAfter}
	default:
		return &UnavailableError{Group: g, Reason: r.Reason, RetryAfter: r.RetryAfter}
	}
}

// decode decodes a call's parameters.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(params, &v)
	return v, err
}
