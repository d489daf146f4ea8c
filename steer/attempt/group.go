package attempt

import (
	"errors"
	"slices"
	"time"
)

// Defaults of GroupSettings. Ten instances at 20 transactions per second each
// use 200 of the several hundred per second that the store accepts.
const (
	DefaultMaxRows        = 64
	DefaultMaxWait        = 3 * time.Millisecond
	DefaultMaxOutcomeWait = 100 * time.Millisecond
	DefaultMaxInFlight    = 8
	DefaultMaxQueued      = 1024
	DefaultWriteRate      = 20 // transactions per second
	DefaultWriteBurst     = 10 // transactions
)

// ErrQueueFull means that too many claims are waiting to be written.
var ErrQueueFull = errors.New("attempts: queue full")

// GroupSettings limits the group commits of one instance.
type GroupSettings struct {
	// MaxRows is the largest number of changes in one transaction.
	MaxRows int
	// MaxWait is how long a claim or a release waits for further changes. It
	// waits longer only if MaxInFlight or WriteRate delays the transaction.
	MaxWait time.Duration
	// MaxOutcomeWait is how long the outcome of a finished request waits for
	// further changes before it is written. It may be longer than MaxWait,
	// because the caller does not wait for this write.
	MaxOutcomeWait time.Duration
	// MaxInFlight is the largest number of transactions in flight.
	MaxInFlight int
	// MaxQueued is the largest number of queued claims.
	MaxQueued int
	// WriteRate is the instance's share of the store's write capacity, in
	// transactions per second. WriteBurst is the size of the token bucket, in
	// transactions.
	WriteRate  float64
	WriteBurst float64
}

// DefaultGroupSettings returns the default settings.
func DefaultGroupSettings() GroupSettings {
	return GroupSettings{
		MaxRows:        DefaultMaxRows,
		MaxWait:        DefaultMaxWait,
		MaxOutcomeWait: DefaultMaxOutcomeWait,
		MaxInFlight:    DefaultMaxInFlight,
		MaxQueued:      DefaultMaxQueued,
		WriteRate:      DefaultWriteRate,
		WriteBurst:     DefaultWriteBurst,
	}
}

// queued is a change in a queue and the time it was added.
type queued struct {
	change *Change
	since  time.Time
}

// Group batches changes into transactions (group commit; DeWitt et al.,
// Implementation Techniques for Main Memory Database Systems, 1984). Claims
// and releases start a transaction after MaxWait. Finishes are added to a
// transaction that starts anyway, or start one after MaxOutcomeWait. A token
// bucket limits the rate of transactions, so that transactions get larger as
// the load grows.
//
// A Group is not safe for concurrent use.
type Group struct {
	settings   GroupSettings
	claims     []queued
	releases   []queued
	finishes   []queued
	inFlight   int
	tokens     float64
	refilledAt time.Time
}

// NewGroup returns an empty group with a full token bucket.
func NewGroup(settings GroupSettings, now time.Time) *Group {
	return &Group{settings: settings, tokens: settings.WriteBurst, refilledAt: now}
}

// Add queues a change. It returns ErrQueueFull for claims only; the number of
// releases and finishes is bounded by the number of claims that were written.
func (g *Group) Add(c *Change, now time.Time) error {
	switch c.Kind {
	case KindRelease:
		g.releases = append(g.releases, queued{c, now})
		return nil
	case KindFinish:
		g.finishes = append(g.finishes, queued{c, now})
		return nil
	}
	if len(g.claims) >= g.settings.MaxQueued {
		return ErrQueueFull
	}
	g.claims = append(g.claims, queued{c, now})
	return nil
}

// Remove removes a claim from the queue and reports whether it was queued. A
// claim that is not queued is in flight or resolved.
func (g *Group) Remove(c *Change) bool {
	at := slices.IndexFunc(g.claims, func(q queued) bool { return q.change == c })
	if at < 0 {
		return false
	}
	g.claims = slices.Delete(g.claims, at, at+1)
	return true
}

// DropClaims removes all claims from the queue and returns them.
func (g *Group) DropClaims() []*Change {
	dropped := make([]*Change, 0, len(g.claims))
	for _, q := range g.claims {
		dropped = append(dropped, q.change)
	}
	g.claims = nil
	return dropped
}

// Len returns the number of queued changes.
func (g *Group) Len() int { return len(g.claims) + len(g.releases) + len(g.finishes) }

// InFlight returns the number of transactions in flight.
func (g *Group) InFlight() int { return g.inFlight }

// Next returns the changes of the next transaction and counts it as in flight.
// If no transaction is due, it returns nil and the time at which to call it
// again; the zero time means after the next Add or TransactionDone.
func (g *Group) Next(now time.Time) ([]*Change, time.Time) {
	if g.Len() == 0 || g.inFlight >= g.settings.MaxInFlight {
		return nil, time.Time{}
	}
	due := g.dueAt(now)
	if due.After(now) {
		return nil, due
	}
	g.refill(now)
	if g.tokens < 1 {
		return nil, now.Add(g.timeToNextToken())
	}
	g.tokens--
	g.inFlight++
	return g.dequeue(), time.Time{}
}

// NextOutcomes returns the changes of a transaction of releases and finishes
// without waiting, and counts it as in flight; nil if there are none. It is
// used to test whether a store that did not answer accepts writes again.
func (g *Group) NextOutcomes() []*Change {
	if len(g.releases)+len(g.finishes) == 0 {
		return nil
	}
	claims := g.claims
	g.claims = nil
	changes := g.dequeue()
	g.claims = claims
	g.inFlight++
	return changes
}

// TransactionDone records that a transaction is no longer in flight.
func (g *Group) TransactionDone() { g.inFlight-- }

// ChargeResend takes a token for a transaction that is sent again. The bucket
// may go below zero: a resend does not wait, but the next transaction does.
func (g *Group) ChargeResend(now time.Time) {
	g.refill(now)
	g.tokens--
}

// dueAt returns when the queued changes are to be sent as a transaction.
func (g *Group) dueAt(now time.Time) time.Time {
	if g.Len() >= g.settings.MaxRows {
		return now
	}
	due := now.Add(g.settings.MaxOutcomeWait)
	due = earlierDeadline(due, g.claims, g.settings.MaxWait)
	due = earlierDeadline(due, g.releases, g.settings.MaxWait)
	return earlierDeadline(due, g.finishes, g.settings.MaxOutcomeWait)
}

// earlierDeadline returns the earlier of due and the time at which the first
// change of a queue has waited for the given time.
func earlierDeadline(due time.Time, queue []queued, wait time.Duration) time.Time {
	if len(queue) == 0 {
		return due
	}
	if waited := queue[0].since.Add(wait); waited.Before(due) {
		return waited
	}
	return due
}

// refill adds the tokens earned since the last refill.
func (g *Group) refill(now time.Time) {
	elapsed := now.Sub(g.refilledAt)
	if elapsed <= 0 {
		return
	}
	g.tokens = min(g.tokens+elapsed.Seconds()*g.settings.WriteRate, g.settings.WriteBurst)
	g.refilledAt = now
}

// timeToNextToken returns how long it takes until a token is available.
func (g *Group) timeToNextToken() time.Duration {
	missing := 1 - g.tokens
	return time.Duration(missing/g.settings.WriteRate*float64(time.Second)) + time.Microsecond
}

// dequeue removes the next changes from the queues: claims first, then
// releases, then finishes.
func (g *Group) dequeue() []*Change {
	changes := make([]*Change, 0, min(g.Len(), g.settings.MaxRows))
	for _, queue := range []*[]queued{&g.claims, &g.releases, &g.finishes} {
		n := min(len(*queue), g.settings.MaxRows-len(changes))
		for _, q := range (*queue)[:n] {
			changes = append(changes, q.change)
		}
		*queue = slices.Delete(*queue, 0, n)
	}
	return changes
}
