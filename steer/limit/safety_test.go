package limit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

const team = "ward-01"

// fleet is a row in the table and three instances whose clocks are unrelated. As
// package membership guarantees, an instance is evicted only after its lease has
// ended. Every other message may be lost, late, repeated or reordered.
type fleet struct {
	now       time.Duration
	quota     Quota
	row       share.Division
	version   uint64
	nodes     []*instance
	reads     []read
	transfers []transfer
	requests  []LoanRequest
	loans     []Loan
	returns   []LoanReturn
	handovers []handover
	pending   []admitted

	// teamTokens is the level of one bucket for the whole team. If it falls below
	// 0, some window had more than rate times its length plus the burst.
	teamTokens float64
	countedAt  time.Duration
	sent       int
}

type instance struct {
	name    string
	epoch   uint64
	offset  time.Duration
	limiter *Limiter
	until   time.Duration // end of the lease in the fleet's time
	evicted bool
}

type read struct {
	to      *instance
	epoch   uint64
	version uint64
	units   share.Units
}

type transfer struct {
	from, to *instance
	epoch    uint64
	written  bool
	transfer Transfer
	moves    []share.Move
}

type handover struct {
	to    *instance
	epoch uint64
	msg   Handover
}

type admitted struct {
	at       *instance
	decision Decision
}

func (f *fleet) clock(n *instance) time.Time { return time.Unix(0, 0).Add(f.now + n.offset) }

func (f *fleet) memberName(n *instance) string { return fmt.Sprintf("%s~%d", n.name, n.epoch) }

func (f *fleet) renew(n *instance, life time.Duration) {
	n.until = f.now + life
	n.limiter.SetLease(f.clock(n).Add(life), n.epoch)
}

// countSent takes a token for a request from the team's bucket and fails if there
// was none.
func (f *fleet) countSent(t *rapid.T) {
	f.teamTokens = math.Min(f.quota.Burst, f.teamTokens+f.quota.Rate*(f.now-f.countedAt).Seconds())
	f.countedAt = f.now
	f.teamTokens--
	f.sent++
	if f.teamTokens < -1e-6 {
		t.Fatalf("request %d exceeds rate and burst by %.3f", f.sent, -f.teamTokens)
	}
}

func (f *fleet) readRow(n *instance) read {
	return read{to: n, epoch: n.epoch, version: f.version, units: f.row.UnitsOf(f.memberName(n))}
}

func (f *fleet) applyRead(r read) {
	r.to.limiter.Observe(f.clock(r.to), r.epoch, team, r.version, r.units)
}

func (f *fleet) write(moves []share.Move) {
	row, err := f.row.Apply(moves)
	if err != nil {
		panic(err)
	}
	f.row = row
	f.version++
}

// offer makes up to n requests arrive, until one is refused, and counts the
// admitted ones as sent at once. With keep they also wait to be confirmed.
func (f *fleet) offer(t *rapid.T, node *instance, n int, keep bool) {
	for range n {
		d := node.limiter.Allow(f.clock(node), team)
		if !d.Admitted() {
			return
		}
		f.countSent(t)
		if keep {
			f.pending = append(f.pending, admitted{at: node, decision: d})
		}
	}
}

// rejectTransfer answers a transfer's write with a conflict, which proves that it
// was not written. The holder reads the row either before or afterwards.
func (f *fleet) rejectTransfer(tr transfer) {
	if tr.from.epoch != tr.epoch || tr.written {
		return
	}
	if f.now%2 == 0 {
		f.applyRead(f.readRow(tr.from))
	}
	tr.from.limiter.CancelTransfer(f.clock(tr.from), team, tr.transfer)
}

// sendHandover sends the tokens of a transfer that has just been written.
func (f *fleet) sendHandover(to *instance, g Transfer) {
	f.handovers = append(f.handovers, handover{to: to, epoch: to.epoch, msg: Handover{
		Team: team, To: f.memberName(to), Version: f.version, Owned: f.row.UnitsOf(f.memberName(to)), Units: g.Units, Tokens: g.Tokens,
	}})
}

func (f *fleet) accept(h handover) {
	h.to.limiter.AcceptHandover(f.clock(h.to), h.epoch, h.msg)
}

func (f *fleet) receive(n *instance, loan Loan, borrowed *int) {
	before := n.limiter.tokens(f.clock(n))
	n.limiter.AcceptLoan(f.clock(n), team, loan)
	if n.limiter.tokens(f.clock(n)) > before {
		*borrowed++
	}
}

func drawFrom[T any](t *rapid.T, from []T, label string) T {
	if len(from) == 0 {
		t.Skip("nothing to draw")
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(t, label)]
}

func newFleet(q Quota) *fleet {
	f := &fleet{quota: q, teamTokens: q.Burst, version: 1}
	for i := range 3 {
		n := &instance{name: fmt.Sprintf("i%d", i), offset: time.Duration(i) * 977 * time.Hour, limiter: NewLimiter()}
		n.limiter.SetQuotas(f.clock(n), map[string]Quota{team: q})
		f.renew(n, 3*time.Second)
		f.nodes = append(f.nodes, n)
	}
	f.row, _ = f.row.Apply([]share.Move{{To: f.memberName(f.nodes[0]), Units: 6000}, {To: f.memberName(f.nodes[1]), Units: 3000}, {To: f.memberName(f.nodes[2]), Units: 1000}})
	for _, n := range f.nodes {
		f.applyRead(f.readRow(n))
	}
	return f
}

func TestRateAndBurstHoldOverAllInstances(t *testing.T) {
	sent, borrowed, evicted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(Quota{Rate: 8, Burst: 24})
		node := func(t *rapid.T) *instance { return drawFrom(t, f.nodes, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"pass":      func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond },
			"pass long": func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(1, 3600).Draw(t, "s")) * time.Second },
			"renew": func(t *rapid.T) {
				if n := node(t); !n.evicted {
					f.renew(n, 3*time.Second)
				}
			},
			"renew all and read": func(*rapid.T) {
				for _, n := range f.nodes {
					if !n.evicted {
						f.renew(n, 3*time.Second)
						f.applyRead(f.readRow(n))
					}
				}
			},
			"requests":      func(t *rapid.T) { f.offer(t, node(t), rapid.IntRange(1, 40).Draw(t, "n"), false) },
			"requests wait": func(t *rapid.T) { f.offer(t, node(t), rapid.IntRange(1, 3).Draw(t, "n"), true) },
			"burst everywhere": func(t *rapid.T) {
				for _, n := range f.nodes {
					f.offer(t, n, 100, false)
				}
			},
			"read":       func(t *rapid.T) { f.reads = append(f.reads, f.readRow(node(t))) },
			"read comes": func(t *rapid.T) { f.applyRead(drawFrom(t, f.reads, "read")) },
			"give": func(t *rapid.T) {
				n, to := node(t), node(t)
				units := share.Units(rapid.IntRange(1, 4000).Draw(t, "units"))
				if g, ok := n.limiter.ReserveTransfer(f.clock(n), team, units); ok {
					f.transfers = append(f.transfers, transfer{from: n, epoch: n.epoch, transfer: g, to: to, moves: []share.Move{{From: f.memberName(n), To: f.memberName(to), Units: units}}})
				}
			},
			"transfer is written": func(t *rapid.T) {
				if len(f.transfers) == 0 {
					return
				}
				i := rapid.IntRange(0, len(f.transfers)-1).Draw(t, "transfer")
				tr := f.transfers[i]
				if tr.transfer.Version != f.version {
					f.rejectTransfer(tr)
					return
				}
				f.write(tr.moves)
				f.transfers[i].written = true
				if rapid.Bool().Draw(t, "evicted or answered") {
					f.applyRead(f.readRow(tr.from))
				}
				f.sendHandover(tr.to, tr.transfer)
			},
			"transfer with a lost answer": func(t *rapid.T) {
				n, to := node(t), node(t)
				f.reads = append(f.reads, f.readRow(n))
				units := share.Units(rapid.IntRange(1000, 6000).Draw(t, "units"))
				if g, ok := n.limiter.ReserveTransfer(f.clock(n), team, units); ok && g.Version == f.version {
					f.write([]share.Move{{From: f.memberName(n), To: f.memberName(to), Units: units}})
					f.sendHandover(to, g)
				}
				f.applyRead(f.readRow(to))
			},
			"read of before the write": func(t *rapid.T) {
				if len(f.reads) > 0 {
					f.applyRead(f.reads[len(f.reads)-1])
				}
			},
			"busy spell": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "halves") {
					f.now += 500 * time.Millisecond
					for _, n := range f.nodes {
						if !n.evicted {
							f.renew(n, 3*time.Second)
						}
						f.offer(t, n, 100, false)
					}
				}
			},
			"evict": func(t *rapid.T) {
				n, to := node(t), node(t)
				if n == to || n.evicted || f.now < n.until {
					return
				}
				n.evicted = true
				evicted++
				if units := f.row.UnitsOf(f.memberName(n)); units > 0 {
					f.write([]share.Move{{From: f.memberName(n), To: f.memberName(to), Units: units}})
				}
			},
			"come back": func(t *rapid.T) {
				if n := node(t); n.evicted {
					n.limiter.SetLease(time.Time{}, n.epoch+1)
					n.limiter.Reset(f.clock(n))
					n.epoch++
					n.evicted = false
					f.renew(n, 3*time.Second)
				}
			},
			"ask": func(t *rapid.T) {
				n := node(t)
				id := fmt.Sprintf("%s-%d", n.name, len(f.requests))
				if r, ok := n.limiter.RequestLoan(f.clock(n), id, team, rapid.IntRange(1, 30).Draw(t, "waiting")); ok {
					f.requests = append(f.requests, r)
				}
			},
			"request comes": func(t *rapid.T) {
				n, r := node(t), drawFrom(t, f.requests, "request")
				if r.ID[:2] != n.name {
					f.loans = append(f.loans, n.limiter.GrantLoan(f.clock(n), r))
				}
			},
			"borrow": func(t *rapid.T) {
				n, from := node(t), node(t)
				id := fmt.Sprintf("%s-%d", n.name, len(f.requests))
				if r, ok := n.limiter.RequestLoan(f.clock(n), id, team, rapid.IntRange(1, 30).Draw(t, "waiting")); ok && n != from {
					f.requests = append(f.requests, r)
					f.loans = append(f.loans, from.limiter.GrantLoan(f.clock(from), r))
				}
			},
			"last loan comes": func(t *rapid.T) {
				if len(f.loans) > 0 {
					f.receive(node(t), f.loans[len(f.loans)-1], &borrowed)
				}
			},
			"loan goes back": func(t *rapid.T) {
				if len(f.loans) > 0 {
					n := node(t)
					if r, ok := n.limiter.ReturnLoan(f.clock(n), f.loans[len(f.loans)-1].ID, team); ok {
						f.returns = append(f.returns, r)
					}
				}
			},
			"return comes": func(t *rapid.T) {
				n := node(t)
				n.limiter.AcceptReturn(f.clock(n), drawFrom(t, f.returns, "return"))
			},
			"last handover comes": func(*rapid.T) {
				if len(f.handovers) > 0 {
					f.accept(f.handovers[len(f.handovers)-1])
				}
			},
			"handover comes": func(t *rapid.T) { f.accept(drawFrom(t, f.handovers, "handover")) },
			"loan comes": func(t *rapid.T) {
				f.receive(node(t), drawFrom(t, f.loans, "loan"), &borrowed)
			},
			"send what waits": func(t *rapid.T) {
				a := drawFrom(t, f.pending, "in hand")
				reason := a.at.limiter.Confirm(f.clock(a.at), a.decision)
				held := !a.at.evicted && a.at.epoch == a.decision.Epoch && f.now < a.at.until
				if (reason == ReasonNone) != held {
					t.Fatalf("confirm says %q, lease held: %v", reason, held)
				}
				f.pending = slices.DeleteFunc(f.pending, func(o admitted) bool { return o == a })
			},
		})
		sent += f.sent
	})
	t.Logf("%d requests sent, %d loans with tokens, %d evictions", sent, borrowed, evicted)
	if sent == 0 || borrowed == 0 || evicted == 0 {
		t.Fatal("inconclusive run: no request, no loan with tokens or no eviction occurred")
	}
}

func (l *Limiter) tokens(now time.Time) (tokens float64) {
	l.withBucket(team, func(b *Bucket) {
		b.advance(now)
		tokens = b.tokens
	})
	return tokens
}
