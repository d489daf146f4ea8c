// Package slots hands out the slots of endpoints to instances, so that the
// requests that all instances together have at an endpoint never exceed its
// slots.
//
// The slots of one version of a service in one region are a group. One
// instance holds the right to hand out a group's slots: its broker. Every other
// instance asks the broker for a slot for each request and gives it back
// afterwards. A grant is bounded by the request's deadline, so the grants of an
// instance that died lapse by themselves (leases: Gray and Cheriton, 1989). A
// broker's successor has a higher epoch, and grants nothing that an instance
// may still hold by a grant of an earlier epoch.
package slots

import (
	"fmt"
	"time"
)

// Group names the slots of one version of a service in one region.
type Group struct {
	// Service names the service.
	Service string `json:"service"`
	// Version names the version of the service.
	Version string `json:"version"`
	// Region is the region of the endpoints.
	Region string `json:"region"`
}

// String gives the group's name as it stands in the table.
func (g Group) String() string { return g.Service + "/" + g.Version + "/" + g.Region }

// ID identifies one request for a slot. It is never used again.
type ID struct {
	// Instance names the instance that asks.
	Instance string `json:"instance"`
	// Number counts the instance's requests.
	Number uint64 `json:"number"`
}

// String gives the identifier for logs.
func (id ID) String() string { return fmt.Sprintf("%s#%d", id.Instance, id.Number) }

// Request is a request for a slot.
type Request struct {
	// ID identifies the request. A repeated Ask is answered in the same way.
	ID ID `json:"id"`
	// Group names the slots.
	Group Group `json:"group"`
	// Team is the team that the request runs for.
	Team string `json:"team"`
	// Remaining is the time until the request's deadline when it was asked.
	Remaining time.Duration `json:"remaining"`
	// MaxWait bounds the expected wait; 0 means that only the deadline does.
	MaxWait time.Duration `json:"maxWait,omitempty"`
	// Avoid lists addresses that an earlier attempt failed at.
	Avoid []string `json:"avoid,omitempty"`
}

// Grant is a slot handed to an instance.
type Grant struct {
	// ID is the request's.
	ID ID `json:"id"`
	// Group names the slots.
	Group Group `json:"group"`
	// Epoch is the broker's.
	Epoch uint64 `json:"epoch"`
	// Address is the endpoint's.
	Address string `json:"address"`
	// ExpiresAt is when the broker counts the slot as free again, on the
	// broker's clock. It is not sent.
	ExpiresAt time.Time `json:"-"`
}

// Release gives a slot back, or takes an Ask back.
type Release struct {
	// ID is the request's.
	ID ID `json:"id"`
	// Group names the slots.
	Group Group `json:"group"`
	// BusyFor is how long the endpoint may still be busy with the request.
	BusyFor time.Duration `json:"settle,omitempty"`
}

// HeldGrant is a grant as its holder reports it to a new broker.
type HeldGrant struct {
	// ID is the request's.
	ID ID `json:"id"`
	// Address is the endpoint's.
	Address string `json:"address"`
	// Remaining is the time until the grant's end on the holder's clock.
	Remaining time.Duration `json:"remaining"`
}

// Report is an instance's answer to a new broker. With it the instance refuses
// all grants of earlier epochs that it has not listed.
type Report struct {
	// Instance names the instance that reports.
	Instance string `json:"instance"`
	// Held lists the grants that it uses.
	Held []HeldGrant `json:"held,omitempty"`
	// PeerGrants lists the grants that other instances noted with it.
	PeerGrants []HeldGrant `json:"noted,omitempty"`
}

// Outcome is the broker's answer to an Ask: a grant or a refusal.
type Outcome struct {
	// ID is the request's.
	ID ID
	// Grant is the slot, or nil.
	Grant *Grant
	// Refusal says why there is none; it is nil with a grant.
	Refusal error
}

// RecoveringError says that a broker may not hand out slots yet, because
// grants of its predecessor may still be in use.
type RecoveringError struct {
	// Wait is the longest time until it may.
	Wait time.Duration
}

// Error implements error.
func (e *RecoveringError) Error() string {
	return fmt.Sprintf("slot broker is recovering for at most %v", e.Wait)
}

// EndedError says that the request had ended before its Ask arrived.
type EndedError struct{}

// Error implements error.
func (*EndedError) Error() string { return "the request for a slot has ended" }
