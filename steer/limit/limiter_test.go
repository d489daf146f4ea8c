package limit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/share"
)

func readyLimiter(now time.Time, teams int, q Quota) *Limiter {
	l := NewLimiter()
	quotas := make(map[string]Quota, teams)
	for i := range teams {
		quotas[fmt.Sprintf("ward-%02d", i+1)] = q
	}
	l.SetQuotas(now, quotas)
	l.SetLease(now.Add(time.Hour), 1)
	for team := range quotas {
		l.Observe(now, 1, team, 1, share.TotalUnits)
	}
	return l
}

func TestAllowReasons(t *testing.T) {
	start := time.Unix(0, 0)
	q := Quota{Rate: 2, Burst: 4}
	tests := []struct {
		desc   string
		with   func(*Limiter)
		at     time.Duration
		team   string
		reason Reason
		retry  time.Duration
	}{
		{"no token gained yet", func(*Limiter) {}, 0, team, ReasonRate, 500 * time.Millisecond},
		{"one token gained", func(*Limiter) {}, 500 * time.Millisecond, team, ReasonNone, 0},
		{"unknown team", func(*Limiter) {}, 0, "nobody", ReasonUnknownTeam, 0},
		{"no share", func(l *Limiter) { l.Observe(start, 1, team, 2, 0) }, time.Second, team, ReasonNoShare, 0},
		{"lease ended", func(*Limiter) {}, time.Hour, team, ReasonNoLease, time.Second},
		{"team removed", func(l *Limiter) { l.SetQuotas(start, nil) }, time.Second, team, ReasonUnknownTeam, 0},
		{"rate raised", func(l *Limiter) { l.SetQuotas(start, map[string]Quota{team: {Rate: 20, Burst: 40}}) }, 50 * time.Millisecond, team, ReasonNone, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			l := readyLimiter(start, 1, q)
			tt.with(l)
			d := l.Allow(start.Add(tt.at), tt.team)
			if d.Reason != tt.reason || d.RetryAfter != tt.retry {
				t.Errorf("got %+v, want %q after %v", d, tt.reason, tt.retry)
			}
		})
	}
}

func TestConfirmAfterAFreeze(t *testing.T) {
	start := time.Unix(0, 0)
	l := readyLimiter(start, 1, Quota{Rate: 2, Burst: 4})
	l.SetLease(start.Add(3*time.Second), 1)
	d := l.Allow(start.Add(time.Second), team)
	if got := l.Confirm(start.Add(2*time.Second), d); got != ReasonNone {
		t.Errorf("within the lease: %q", got)
	}
	if got := l.Confirm(start.Add(3*time.Second), d); got != ReasonLeaseChanged {
		t.Errorf("after the lease: %q", got)
	}
	l.SetLease(start.Add(time.Hour), 2)
	if got := l.Confirm(start.Add(4*time.Second), d); got != ReasonLeaseChanged {
		t.Errorf("under a later lease: %q", got)
	}
}

func TestLimiterUnderManyGoroutines(t *testing.T) {
	start := time.Unix(0, 0)
	l := readyLimiter(start, 4, Quota{Rate: 10, Burst: 50})
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 2000 {
				name := fmt.Sprintf("ward-%02d", (g+i)%4+1)
				if l.Allow(start.Add(100*time.Second), name).Admitted() {
					admitted.Add(1)
				}
				l.GrantLoan(start.Add(100*time.Second), LoanRequest{ID: "x", Team: "nobody"})
			}
		})
	}
	wg.Wait()
	if got := admitted.Load(); got != 4*50 {
		t.Errorf("admitted %d, want the four bursts of 50", got)
	}
}

func TestAllowTakesNoMemory(t *testing.T) {
	now := time.Unix(0, 0)
	l := readyLimiter(now, 8, Quota{Rate: 100, Burst: 100})
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		l.Allow(now, team)
	}); n > 0 {
		t.Errorf("%v allocations for a decision, want none", n)
	}
}

func BenchmarkAllow(b *testing.B) {
	now := time.Unix(0, 0)
	l := readyLimiter(now, 8, Quota{Rate: 1e9, Burst: 1e9})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Allow(now, team)
	}
}

func BenchmarkAllowParallel(b *testing.B) {
	now := time.Unix(0, 0)
	l := readyLimiter(now, 8, Quota{Rate: 1e9, Burst: 1e9})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Allow(now, team)
		}
	})
}
