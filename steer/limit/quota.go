// Package limit holds each team to its rate and burst, counted over all
// instances, with a token bucket at each instance that is as large as the
// instance's part of the team's.
//
// The sum of the buckets' sizes and rates never exceeds the team's, since the
// parts never sum to more than the whole (package share). A part that an
// instance gains starts without tokens. An instance that is short borrows a
// part, with tokens, from another for a short time: the lender debits first,
// so a lost answer loses tokens and never doubles them.
//
// The bucket is the generic cell rate algorithm's equivalent, the token bucket
// of Turner, "New Directions in Communications" (1986).
package limit

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Quota is what a team may use over all instances.
type Quota struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is in requests, at least 1.
	Burst float64
}

// minShareTokens is the smallest part in tokens that an instance should hold.
const minShareTokens = 8.0

// Resource returns what a division of the team's quota divides: a small burst
// has few holders, so that it does not lie about in splinters.
func (q Quota) Resource() share.Resource {
	return share.Resource{Rate: q.Rate, MaxHolders: max(1, int(q.Burst/minShareTokens))}
}

// Reason says why a request was not admitted.
type Reason string

const (
	// ReasonNone means that the request was admitted.
	ReasonNone Reason = ""
	// ReasonUnknownTeam means that the configuration has no such team.
	ReasonUnknownTeam Reason = "unknown-team"
	// ReasonRate means that the team's part at this instance is used up.
	ReasonRate Reason = "rate"
	// ReasonNoPart means that this instance has no part of the team's rate.
	ReasonNoPart Reason = "no-part"
	// ReasonNoLease means that the instance's lease has ended.
	ReasonNoLease Reason = "no-lease"
	// ReasonLeaseChanged means that the lease has ended or was replaced since
	// the request was admitted.
	ReasonLeaseChanged Reason = "lease-changed"
)

// Decision is the answer for one request.
type Decision struct {
	// Reason is ReasonNone when the request was admitted.
	Reason Reason
	// RetryAfter is how long this instance needs until it could admit one
	// request more; 0 when it can't say.
	RetryAfter time.Duration
	// Epoch is the lease under which the request was admitted.
	Epoch uint64
}

// Admitted says whether the request may go on.
func (d Decision) Admitted() bool { return d.Reason == ReasonNone }
