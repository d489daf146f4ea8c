package limit

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// handoverWindow is how long after a gain its tokens may still follow.
const handoverWindow = 10 * time.Second

// Transfer is a part that is set aside to be given to others for good.
type Transfer struct {
	// Version is the version of the row on which the write is conditional.
	Version uint64
	// Units is the size of the part.
	Units share.Units
	// Tokens were debited with it.
	Tokens float64
}

// TokensFor returns the tokens that go with units of the transfer.
func (t Transfer) TokensFor(units share.Units) float64 {
	return t.Tokens * float64(units) / float64(t.Units)
}

// Handover tells an instance that a row now gives it a part, and brings the
// part's tokens.
type Handover struct {
	// Team names the team.
	Team string `json:"team"`
	// To names the member that gains.
	To string `json:"to"`
	// Version is the version of the row as committed.
	Version uint64 `json:"version"`
	// Owned is what the row gives to the member in all.
	Owned share.Units `json:"owned"`
	// Units is what it gained.
	Units share.Units `json:"units"`
	// Tokens were debited by the giver.
	Tokens float64 `json:"tokens"`
}

// pendingHandover is a part that came without tokens. Versions above after, up to
// version, may have brought it.
type pendingHandover struct {
	afterVersion uint64
	version      uint64
	unclaimed    share.Units
	gainedAt     time.Time
	received     []uint64 // versions whose tokens came
}

// Observe takes in the instance's units as read from the row at version. What
// it gained starts without tokens.
func (b *Bucket) Observe(now time.Time, version uint64, owned share.Units) {
	b.advance(now)
	previousOwned, previousVersion := b.account.Owned(), b.account.Version()
	b.account.Observe(version, owned)
	b.clampTokens()
	b.pending = slices.DeleteFunc(b.pending, func(p pendingHandover) bool { return now.Sub(p.gainedAt) > handoverWindow })
	if version > previousVersion && owned > previousOwned {
		b.pending = append(b.pending, pendingHandover{afterVersion: previousVersion, version: version, unclaimed: owned - previousOwned, gainedAt: now})
	}
}

// ReserveTransfer sets units aside for a transfer, with their part of the tokens. One transfer
// at a time can be set aside. It reports whether it could.
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

// CancelTransfer takes back a transfer that certainly was not written. It does nothing
// when the transfer is settled already.
func (b *Bucket) CancelTransfer(now time.Time, t Transfer) {
	b.advance(now)
	if b.account.Reserved() == 0 || b.transfer != t {
		return
	}
	b.account.Release()
	b.addTokens(b.transfer.Tokens, b.transfer.Units)
	b.transfer = Transfer{}
}

// AcceptHandover takes in a part and its tokens. What the part has gained since it came
// is taken off them, so that a late message brings no more than a timely one.
// A repeated message, or one that does not match a gain, brings no tokens.
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
	refilled := b.quota.Rate * fraction(h.Units) * now.Sub(p.gainedAt).Seconds()
	tokens := math.Min(h.Tokens, b.quota.Burst*fraction(h.Units)) - refilled
	b.tokens = math.Min(b.capacity(), b.tokens+math.Max(0, tokens))
}
