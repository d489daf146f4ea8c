// Package limit enforces each team's rate and burst over all instances. Each
// instance has a token bucket per team, sized by the instance's share of the
// team's quota.
//
// The shares never sum to more than the whole (see package share), so neither do
// the buckets' capacities and rates. Units that an instance gains start without
// tokens. An instance that is short of tokens borrows units and tokens from
// another one for a short time. The lender is debited first, so a lost answer
// loses tokens and never duplicates them.
//
// The token bucket is that of Turner, "New Directions in Communications" (1986),
// which is equivalent to the generic cell rate algorithm.
package limit

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Quota is what a team may use over all instances.
type Quota struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests, at least 1.
	Burst float64
}

// minShareTokens is the smallest share that an instance should hold, in tokens.
const minShareTokens = 8.0

// Resource returns the quota as a resource to be divided. A small burst has few
// holders, so that no share is too small to be of use.
func (q Quota) Resource() share.Resource {
	return share.Resource{Rate: q.Rate, MaxHolders: max(1, int(q.Burst/minShareTokens))}
}

// Reason is the reason why a request was not admitted.
type Reason string

const (
	// ReasonNone means that the request was admitted.
	ReasonNone Reason = ""
	// ReasonUnknownTeam means that the configuration has no such team.
	ReasonUnknownTeam Reason = "unknown-team"
	// ReasonRate means that the team's tokens at this instance are used up.
	ReasonRate Reason = "rate"
	// ReasonNoShare means that this instance has no usable share of the team's quota.
	ReasonNoShare Reason = "no-part"
	// ReasonNoLease means that the instance's lease has ended.
	ReasonNoLease Reason = "no-lease"
	// ReasonLeaseChanged means that the lease has ended or was replaced since the
	// request was admitted.
	ReasonLeaseChanged Reason = "lease-changed"
)

// Decision is the answer for one request.
type Decision struct {
	// Reason is ReasonNone when the request was admitted.
	Reason Reason
	// RetryAfter is how long this instance needs until it can admit one more
	// request; 0 if unknown.
	RetryAfter time.Duration
	// Epoch is the epoch of the lease under which the request was admitted.
	Epoch uint64
}

// Admitted reports whether the request was admitted.
func (d Decision) Admitted() bool { return d.Reason == ReasonNone }
