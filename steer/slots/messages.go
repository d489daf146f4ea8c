// Package slots hands out the slots of endpoints to instances, so that the
// requests of all instances together never exceed an endpoint's slots.
//
// A group is the slots of one version of a service in one region. One instance
// at a time owns a group and runs its broker. Every other instance requests a
// slot from the broker for each request and releases it afterwards. A grant is
// bounded by the request's deadline, so the grants of a dead instance expire
// without a release (leases: Gray and Cheriton, 1989). A broker's successor
// has a higher epoch and grants no slot that an instance may still hold by a
// grant of an earlier epoch.
package slots

import (
	"fmt"
	"time"
)

// Group identifies the slots of one version of a service in one region.
type Group struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the version of the service.
	Version string `json:"version"`
	// Region names the region of the endpoints.
	Region string `json:"region"`
}

// String returns the group's name as it is stored in the table.
func (g Group) String() string { return g.Service + "/" + g.Version + "/" + g.Region }

// ID identifies one request for a slot. IDs are never reused.
type ID struct {
	// Instance names the requesting instance.
	Instance string `json:"instance"`
	// Number is the sequence number of the instance's requests.
	Number uint64 `json:"number"`
}

// String formats the identifier for logs.
func (id ID) String() string { return fmt.Sprintf("%s#%d", id.Instance, id.Number) }

// Request is a request for a slot.
type Request struct {
	// ID identifies the request. A repeated request gets the same outcome and
	// uses no second slot.
	ID ID `json:"id"`
	// Group identifies the requested slots.
	Group Group `json:"group"`
	// Team is the team that the request runs for.
	Team string `json:"team"`
	// Remaining is the time until the request's deadline, measured when the
	// request is sent.
	Remaining time.Duration `json:"remaining"`
	// MaxWait bounds the expected wait; 0 means that only the deadline does.
	MaxWait time.Duration `json:"maxWait,omitempty"`
	// Avoid lists addresses at which an earlier attempt failed.
	Avoid []string `json:"avoid,omitempty"`
}

// Grant is a slot granted to an instance.
type Grant struct {
	// ID identifies the request.
	ID ID `json:"id"`
	// Group identifies the slots.
	Group Group `json:"group"`
	// Epoch is the epoch of the granting broker.
	Epoch uint64 `json:"epoch"`
	// Address is the endpoint's network address.
	Address string `json:"address"`
	// ExpiresAt is when the broker counts the slot as free again, on the
	// broker's clock. It is not sent.
	ExpiresAt time.Time `json:"-"`
}

// Release frees a slot or cancels a request for one.
type Release struct {
	// ID identifies the request.
	ID ID `json:"id"`
	// Group identifies the slots.
	Group Group `json:"group"`
	// BusyFor is how long the endpoint may still run the request.
	BusyFor time.Duration `json:"settle,omitempty"`
}

// HeldGrant is a grant as its holder reports it to a new broker.
type HeldGrant struct {
	// ID identifies the request.
	ID ID `json:"id"`
	// Address is the endpoint's network address.
	Address string `json:"address"`
	// Remaining is the time until the grant expires, on the holder's clock.
	Remaining time.Duration `json:"remaining"`
}

// Report is an instance's answer to a new broker. By sending it, the instance
// commits to refuse all grants of earlier epochs that it has not listed.
type Report struct {
	// Instance names the instance that reports.
	Instance string `json:"instance"`
	// Held lists the grants that the instance holds.
	Held []HeldGrant `json:"held,omitempty"`
	// PeerGrants lists the grants that the instance has recorded for peers.
	PeerGrants []HeldGrant `json:"noted,omitempty"`
}

// Outcome is the broker's answer to a Request: a grant or a refusal.
type Outcome struct {
	// ID identifies the request.
	ID ID
	// Grant is the granted slot, or nil.
	Grant *Grant
	// Refusal is the reason for a refusal; it is nil with a grant.
	Refusal error
}

// RecoveringError means that a broker may not grant slots yet, because grants
// of its predecessor may still be in use.
type RecoveringError struct {
	// Wait is the longest time until the broker may grant slots.
	Wait time.Duration
}

// Error implements error.
func (e *RecoveringError) Error() string {
	return fmt.Sprintf("slot broker is recovering; ready in at most %v", e.Wait)
}

// EndedError means that the broker does not serve the request, for one of two
// reasons: the request was released before the broker received it, or the
// broker's tenure ended while the request was waiting.
type EndedError struct{}

// Error implements error.
func (*EndedError) Error() string { return "slot request has ended" }
