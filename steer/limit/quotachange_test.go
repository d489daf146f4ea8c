package limit

import (
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// TestLoweredQuotaBringsNoTokens lowers a quota while tokens counted under the
// previous quota are in flight. A bucket that has spent its tokens must not gain
// more than its share of the new quota.
func TestLoweredQuotaBringsNoTokens(t *testing.T) {
	const half = share.TotalUnits / 2
	start := time.Unix(0, 0)
	previous, lowered := Quota{Rate: 400, Burst: 400}, Quota{Rate: 1, Burst: 12}
	full := func(units share.Units) *Bucket {
		b := NewBucket(previous, start)
		b.Observe(start, 1, units)
		return b
	}
	spend := func(b *Bucket, now time.Time) (n int) {
		for b.Take(now).Admitted() {
			n++
		}
		return n
	}
	now := start.Add(10 * time.Second)
	tests := []struct {
		desc string
		run  func() int
		want int
	}{
		{"loan of a lender with the previous quota", func() int {
			borrower, lender := full(half), full(half)
			borrower.SetQuota(now, lowered)
			n := spend(borrower, now)
			loan := lender.GrantLoan(now, now.Add(time.Hour), borrower.RequestLoan(now, "1", team, 20))
			lender.SetQuota(now, lowered)
			borrower.AcceptLoan(now, loan)
			return n + spend(borrower, now) + spend(lender, now)
		}, 12},
		{"transfer that was not written", func() int {
			b := full(share.TotalUnits)
			transfer, ok := b.ReserveTransfer(now, half)
			if !ok {
				t.Fatal("no units could be reserved")
			}
			b.SetQuota(now, lowered)
			n := spend(b, now)
			b.CancelTransfer(now, transfer)
			return n + spend(b, now)
		}, 12},
		{"loan returned by a borrower with the previous quota", func() int {
			borrower, lender := full(0), full(share.TotalUnits)
			borrower.AcceptLoan(now, lender.GrantLoan(now, now.Add(time.Hour), borrower.RequestLoan(now, "1", team, 20)))
			lender.SetQuota(now, lowered)
			n := spend(lender, now)
			borrower.quota.Burst = 1 // too small a share to be kept
			if back, ok := borrower.ReturnLoan(now, "1", team); ok {
				lender.AcceptReturn(now, back)
			}
			return n + spend(lender, now)
		}, 12},
		{"handover that arrives after its units were refilled at the previous rate", func() int {
			sender, receiver := full(share.TotalUnits), full(0)
			transfer, ok := sender.ReserveTransfer(now, half)
			if !ok {
				t.Fatal("no units could be reserved")
			}
			sender.Observe(now, 2, half)
			receiver.Observe(now, 2, half)
			changed := now.Add(50 * time.Millisecond)
			sender.SetQuota(changed, lowered)
			receiver.SetQuota(changed, lowered)
			n := spend(sender, changed) + spend(receiver, changed)
			receiver.AcceptHandover(changed, Handover{Team: team, Version: 2, Owned: half, Units: half, Tokens: transfer.TokensFor(half)})
			return n + spend(receiver, changed)
		}, 12},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := tt.run(); got > tt.want {
				t.Errorf("%d requests admitted, want at most %d", got, tt.want)
			}
		})
	}
}
