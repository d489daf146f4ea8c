package limit

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// handoverWindow is how long after gaining units an instance still accepts the
// tokens that belong to them.
const handoverWindow = 10 * time.Second

// Transfer is a number of units reserved to be assigned to other instances
// permanently.
type Transfer struct {
	// Version is the row version on which the write is conditional.
	Version uint64
	// Units is the number of units reserved.
	Units share.Units
	// Tokens is the number of tokens debited with them.
	Tokens float64
}

// TokensFor returns the tokens that go with some of the transfer's units.
func (t Transfer) TokensFor(units share.Units) float64 {
	return t.Tokens * float64(units) / float64(t.Units)
}

// Handover tells an instance that a committed row assigns it more units, and
// carries the tokens that belong to them.
type Handover struct {
	// Team is the team name.
	Team string `json:"team"`
	// To is the name of the member that gains units.
	To string `json:"to"`
	// Version is the version of the committed row.
	Version uint64 `json:"version"`
	// Owned is the total that the row assigns to the member.
	Owned share.Units `json:"owned"`
	// Units is the number of units gained.
	Units share.Units `json:"units"`
	// Tokens is the number of tokens debited from the previous owner.
	Tokens float64 `json:"tokens"`
}

// pendingHandover is a gain of units whose tokens have not arrived yet. Any row
// version after afterVersion, up to version, may have brought the units.
type pendingHandover struct {
	afterVersion uint64
	version      uint64
	unclaimed    share.Units
	gainedAt     time.Time
	refilled     float64   // tokens that the whole quota gained until ratedFrom
	ratedFrom    time.Time // start of the current rate, at least gainedAt
	received     []uint64  // versions whose tokens have arrived
}

// refilledUntil returns the tokens that the whole quota has gained since the units were
// observed.
func (p *pendingHandover) refilledUntil(now time.Time, q Quota) float64 {
	return p.refilled + q.Rate*now.Sub(p.ratedFrom).Seconds()
}

// endRate notes what the units of pending handovers have gained under the current quota.
func (b *Bucket) endRate(now time.Time) {
	for i := range b.pending {
		p := &b.pending[i]
		p.refilled, p.ratedFrom = p.refilledUntil(now, b.quota), now
	}
}

// Observe applies the instance's units as read from the row at version. Units
// gained start without tokens.
func (b *Bucket) Observe(now time.Time, version uint64, owned share.Units) {
	b.advance(now)
	previousOwned, previousVersion := b.account.Owned(), b.account.Version()
	b.account.Observe(version, owned)
	b.clampTokens()
	b.pending = slices.DeleteFunc(b.pending, func(p pendingHandover) bool { return now.Sub(p.gainedAt) > handoverWindow })
	if version > previousVersion && owned > previousOwned {
		b.pending = append(b.pending, pendingHandover{afterVersion: previousVersion, version: version, unclaimed: owned - previousOwned, gainedAt: now, ratedFrom: now})
	}
}

// ReserveTransfer reserves units for a transfer, together with their proportion
// of the tokens. Only one transfer can be reserved at a time. It reports whether
// the units could be reserved.
func (b *Bucket) ReserveTransfer(now time.Time, units share.Units) (Transfer, bool) {
	b.advance(now)
	usable := b.account.Usable()
	if !b.account.Reserve(units) {
		return Transfer{}, false
	}
	tokens := b.tokens * math.Min(1, float64(units)/float64(usable))
	b.tokens -= tokens
	b.pending = nil
	b.transfer = Transfer{Version: b.account.Version(), Units: units, Tokens: tokens}
	return b.transfer, true
}

// CancelTransfer returns the units and tokens of a transfer that is known not to
// have been written. It has no effect when the outcome was already observed.
func (b *Bucket) CancelTransfer(now time.Time, t Transfer) {
	b.advance(now)
	if b.account.Reserved() == 0 || b.transfer != t {
		return
	}
	b.account.Release()
	b.addTokens(b.transfer.Tokens, b.transfer.Units)
	b.transfer = Transfer{}
}

// AcceptHandover applies a handover and its tokens. Tokens that the units have
// gained since they were observed are subtracted, so that a late message brings
// no more than a timely one. A repeated message, or one that matches no gain,
// brings no tokens.
func (b *Bucket) AcceptHandover(now time.Time, h Handover) {
	b.Observe(now, h.Version, h.Owned)
	i := slices.IndexFunc(b.pending, func(p pendingHandover) bool { return p.afterVersion < h.Version && h.Version <= p.version })
	if i < 0 {
		return
	}
	p := &b.pending[i]
	if slices.Contains(p.received, h.Version) || h.Units > p.unclaimed {
		return
	}
	p.received = append(p.received, h.Version)
	p.unclaimed -= h.Units
	refilled := p.refilledUntil(now, b.quota) * fraction(h.Units)
	tokens := math.Min(h.Tokens, b.quota.Burst*fraction(h.Units)) - refilled
	b.tokens = math.Min(b.capacity(), b.tokens+math.Max(0, tokens))
}
