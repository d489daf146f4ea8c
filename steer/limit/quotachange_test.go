package limit

import (
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

// TestLoweredQuotaBringsNoTokens lowers a quota while tokens of the former one
// are on their way. A bucket that has spent its part gets no more than what its
// new part allows.
func TestLoweredQuotaBringsNoTokens(t *testing.T) {
	const half = share.Whole / 2
	start := time.Unix(0, 0)
	former, lowered := Quota{Rate: 400, Burst: 400}, Quota{Rate: 1, Burst: 12}
	full := func(units share.Units) *Bucket {
		b := NewBucket(former, start)
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
		{"loan of a lender with the former quota", func() int {
			borrower, lender := full(half), full(half)
			borrower.SetQuota(now, lowered)
			n := spend(borrower, now)
			loan := lender.Lend(now, now.Add(time.Hour), borrower.Ask(now, "1", team, 20))
			lender.SetQuota(now, lowered)
			borrower.Receive(now, loan)
			return n + spend(borrower, now) + spend(lender, now)
		}, 12},
		{"transfer that was not written", func() int {
			b := full(share.Whole)
			transfer, ok := b.Reserve(now, half)
			if !ok {
				t.Fatal("nothing was set aside")
			}
			b.SetQuota(now, lowered)
			n := spend(b, now)
			b.Release(now, transfer)
			return n + spend(b, now)
		}, 12},
		{"loan given back by a borrower with the former quota", func() int {
			borrower, lender := full(0), full(share.Whole)
			borrower.Receive(now, lender.Lend(now, now.Add(time.Hour), borrower.Ask(now, "1", team, 20)))
			lender.SetQuota(now, lowered)
			n := spend(lender, now)
			borrower.quota.Burst = 1 // too small a part to be kept
			if back, ok := borrower.GiveBack(now, "1", team); ok {
				lender.TakeBack(now, back)
			}
			return n + spend(lender, now)
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
