package duty

import (
	"testing"
	"time"
)

// Guards against claims that come too early after a claim of another instance, a
// lease, a restore or a refusal, and against tokens that were given before.
func TestWaitsBeforeAClaim(t *testing.T) {
	const lease = 3 * time.Second
	start := Now(time.Unix(1_700_000_000, 0))
	after := func(d time.Duration) Clock { return Now(start.Mono.Add(d)) }
	for _, c := range []struct {
		name     string
		fence    bool
		row      Row
		refused  uint64
		earliest time.Duration // after the read
		token    uint64
	}{
		{"no row", true, Row{}, 0, 0, 1},
		{"claim of another instance", true, Row{Holder: "b", Started: 1, Token: 4, Revision: 9}, 0, lease, 5},
		{"claim of an earlier process", true, Row{Holder: "a", Started: 1, Token: 4, Revision: 9}, 0, 0, 5},
		{"lease of an earlier process", false, Row{Holder: "a", Started: 1, Token: 4, Revision: 9}, 0, lease + leaseMargin, 5},
		{"restored claim", true, Row{Holder: "a", Started: 2, Token: 4, Revision: 9, Era: 1}, 0, lease, 1<<32 + 10},
		{"restored without a row", true, Row{Era: 2}, 0, lease, 2<<32 + 1},
		{"damaged row", true, Row{Revision: 9}, 0, lease, 10},
		{"refused claim", true, Row{Holder: "a", Started: 2, Token: 4, Revision: 9}, 4, lease, 5},
		{"claim below a refused one", true, Row{Holder: "a", Started: 2, Token: 4, Revision: 9}, 7, lease, 8},
	} {
		s := New(start, Settings{Holder: "a", Started: 2, RequireFence: c.fence, Lease: lease, Interval: 5 * time.Second})
		const read = 4 * time.Second
		s.Refused(after(read), c.refused)
		s.Observe(after(read), c.row)
		if _, ok := s.Permit(after(read)); ok {
			t.Errorf("%s: permit under the row's token", c.name)
		}
		d := time.Duration(0)
		for ; d < 10*time.Second; d += 50 * time.Millisecond {
			if a := s.Next(after(read+d), 0); a.Kind == Claim {
				if a.Write.Token != c.token || a.Write.Holder != "a" || a.Write.Started != 2 || a.Write.Revision != c.row.Revision {
					t.Errorf("%s: claim %+v, want token %d", c.name, a.Write, c.token)
				}
				break
			}
		}
		if d < c.earliest || d > c.earliest+100*time.Millisecond {
			t.Errorf("%s: claim %s after the read, want %s", c.name, d, c.earliest)
		}
	}
}

// Guards against calls after the lease, when either clock stops or is set, and after
// a write that the store has acknowledged without its revision.
func TestPermitEndsByBothClocks(t *testing.T) {
	start := Now(time.Unix(1_700_000_000, 0))
	s := New(start, Settings{Holder: "a", Started: 2, Lease: 3 * time.Second, Interval: 5 * time.Second})
	s.Observe(start, Row{})
	s.Begin(start, s.Next(start, 0).Write)
	s.Written(start, Result{Outcome: Applied})
	for _, c := range []struct {
		mono, wall time.Duration
		want       bool
	}{{0, 0, true}, {2900, 2900, true}, {3000, 1000, false}, {1000, 3000, false}, {1000, -1, false}} {
		now := Clock{Mono: start.Mono.Add(c.mono * time.Millisecond), Wall: start.Wall.Add(c.wall * time.Millisecond)}
		if p, ok := s.Permit(now); ok != c.want || ok && (p.Token != 1 || p.Until.After(start.Mono.Add(3*time.Second))) {
			t.Errorf("after %d and %d ms: permit %v %v, want %v", c.mono, c.wall, p, ok, c.want)
		}
	}
}
