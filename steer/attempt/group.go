package attempt

import (
	"errors"
	"slices"
	"time"
)

// Defaults of GroupSettings. Ten instances with 20 writes a second each use
// 200 of the several hundred that the store takes.
const (
	DefaultMaxRows        = 64
	DefaultMaxWait        = 3 * time.Millisecond
	DefaultMaxOutcomeWait = 100 * time.Millisecond
	DefaultMaxInFlight    = 8
	DefaultMaxQueued      = 1024
	DefaultWriteRate      = 20 // transactions a second
	DefaultWriteBurst     = 10 // transactions
)

// ErrQueueFull says that too many claims wait for the store.
var ErrQueueFull = errors.New("attempts: queue full")

// GroupSettings bounds the group commits of one instance.
type GroupSettings struct {
	// MaxRows is how many changes one transaction holds.
	MaxRows int
	// MaxWait is how long a claim or a release waits for others when the store
	// is free.
	MaxWait time.Duration
	// MaxOutcomeWait is how long a finish, for which nobody waits, does.
	MaxOutcomeWait time.Duration
	// MaxInFlight is how many transactions are under way at once.
	MaxInFlight int
	// MaxQueued is how many claims wait at once.
	MaxQueued int
	// WriteRate is the instance's part of the store's writes, in transactions
	// a second, and WriteBurst how many it saves up.
	WriteRate  float64
	WriteBurst float64
}

// DefaultGroupSettings returns the defaults.
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

// queued is a change that waits.
type queued struct {
	change *Change
	since  time.Time
}

// Group gathers changes into transactions (group commit; DeWitt et al.,
// Implementation Techniques for Main Memory Database Systems, 1984). Claims
// and releases start a transaction; finishes ride along, or start one when they
// have waited long. It keeps to a rate of writes with a token bucket, so that groups grow
// when the load does.
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

// NewGroup returns an empty group with a full bucket.
func NewGroup(settings GroupSettings, now time.Time) *Group {
	return &Group{settings: settings, tokens: settings.WriteBurst, refilledAt: now}
}

// Add queues a change. Errors: ErrQueueFull, for a claim only; the number of
// outcomes is bounded by that of the claims that were written.
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

// Remove takes a claim out of the queue and tells whether it was there. A
// claim that is not there is under way or settled.
func (g *Group) Remove(c *Change) bool {
	at := slices.IndexFunc(g.claims, func(q queued) bool { return q.change == c })
	if at < 0 {
		return false
	}
	g.claims = slices.Delete(g.claims, at, at+1)
	return true
}

// DropClaims takes all claims out of the queue.
func (g *Group) DropClaims() []*Change {
	dropped := make([]*Change, 0, len(g.claims))
	for _, q := range g.claims {
		dropped = append(dropped, q.change)
	}
	g.claims = nil
	return dropped
}

// Len is how many changes wait.
func (g *Group) Len() int { return len(g.claims) + len(g.releases) + len(g.finishes) }

// InFlight is how many transactions are under way.
func (g *Group) InFlight() int { return g.inFlight }

// Next returns the next transaction's changes and counts it as under way, or
// none and the time at which to ask again; a zero time means after the next
// Add or Ended.
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

// NextOutcomes returns the outcomes of a transaction that waits for nothing,
// and counts it as under way; none when no outcome waits. It serves to try
// whether a store that was silent takes writes again.
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

// TransactionDone notes that a transaction is no longer under way.
func (g *Group) TransactionDone() { g.inFlight-- }

// ChargeResend takes a token for a transaction that is sent again. The bucket
// may go below zero: a resend does not wait, the next transaction does.
func (g *Group) ChargeResend(now time.Time) {
	g.refill(now)
	g.tokens--
}

// dueAt is when the queued changes make a transaction.
func (g *Group) dueAt(now time.Time) time.Time {
	if g.Len() >= g.settings.MaxRows {
		return now
	}
	due := now.Add(g.settings.MaxOutcomeWait)
	due = earlierDeadline(due, g.claims, g.settings.MaxWait)
	due = earlierDeadline(due, g.releases, g.settings.MaxWait)
	return earlierDeadline(due, g.finishes, g.settings.MaxOutcomeWait)
}

// earlierDeadline returns the earlier of due and the time at which the first of a
// queue has waited long enough.
func earlierDeadline(due time.Time, queue []queued, wait time.Duration) time.Time {
	if len(queue) == 0 {
		return due
	}
	if waited := queue[0].since.Add(wait); waited.Before(due) {
		return waited
	}
	return due
}

func (g *Group) refill(now time.Time) {
	elapsed := now.Sub(g.refilledAt)
	if elapsed <= 0 {
		return
	}
	g.tokens = min(g.tokens+elapsed.Seconds()*g.settings.WriteRate, g.settings.WriteBurst)
	g.refilledAt = now
}

func (g *Group) timeToNextToken() time.Duration {
	missing := 1 - g.tokens
	return time.Duration(missing/g.settings.WriteRate*float64(time.Second)) + time.Microsecond
}

// dequeue removes the next changes from the queues, claims first.
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
