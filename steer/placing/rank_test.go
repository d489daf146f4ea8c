package placing

import (
	"slices"
	"testing"
	"time"
)

// ledger is a third of ledger-service: kinds of two ranks at one service, at
// multiples of their usual rates.
func ledger(high, low float64) load {
	l := load{
		regions: []modelRegion{{"guanacaste", 8, 4, 0}, {"limon", 10, 13, 0.33}, {"cartago", 10, 14, 0.66}},
		slots:   6, queue: 12, memory: 37, objects: 60, wave: 0.3, swing: 0.25, until: 30 * time.Second,
		kinds: []modelKind{
			{"rate-lock", 0, 78 * high, 600 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second},
			{"amort-schedule", 2, 51 * low, 3500 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second, 20 * time.Second},
		},
	}
	for _, k := range l.kinds {
		l.rate += k.rate
	}
	return l
}

// portal is a third of donor-portal, whose lower rank has the shorter work.
func portal(times float64) load {
	l := ledger(times, times)
	l.regions = []modelRegion{{"midtjylland", 8, 5, 0}, {"fyn", 10, 19, 0.33}, {"lolland", 10, 20, 0.66}}
	l.slots, l.queue, l.objects, l.until = 4, 8, 100, 15*time.Second
	l.kinds = []modelKind{
		{"book-tapping", 1, 127 * times, 540 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second},
		{"slot-lookup", 2, 253 * times, 410 * time.Millisecond, 137 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond},
	}
	l.rate = 380 * times
	return l
}

// served returns the share of a kind's requests that were answered.
func (f figures) served() float64 { return 1 - float64(f.refused)/float64(max(1, f.requests)) }

// inTime returns the share of a kind's requests that were answered in time.
func (f figures) inTime() float64 { return float64(f.inGoal) / float64(max(1, f.requests)) }

// Guards against urgent requests that wait in endpoints behind long ones of a lower
// rank, and against a lower rank that is served less than a quarter as often as all.
func TestHigherRanksAreServedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		load load
		gain float64 // least gain of the share of the higher rank in time
		loss float64 // largest loss of the share of the lower rank in time
	}{
		{"below the room", ledger(0.8, 0.8), 0, 0.05},
		{"above the room", ledger(1.6, 1.6), 0.1, 0.2},
		{"far above the room", ledger(2.2, 2.2), 0.2, 0.5},
		{"rank 0 alone above the room", ledger(12, 1), 0, 1},
		{"short work of the lower rank", portal(1.6), -0.03, 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := func(ranked bool) *model {
				l := c.load
				l.ranked = ranked
				m := newModel(l, 1)
				all := m.run(newPlaced(m))
				for _, k := range l.kinds {
					f := m.ofKind[k.name]
					t.Logf("ranked %t: %s (rank %d): in time %.3f, late %.3f, refused %.3f of %d", ranked, k.name, k.rank,
						f.inTime(), float64(f.late)/float64(f.requests), 1-f.served(), f.requests)
				}
				t.Logf("ranked %t: served %.3f of all", ranked, all.served())
				if low := m.ofKind[l.kinds[1].name].served(); ranked && low < all.served()/4 {
					t.Errorf("%.3f of the lower rank served, %.3f of all", low, all.served())
				}
				return m
			}
			before, now := run(false), run(true)
			for i, change := range []float64{c.gain, -c.loss} {
				kind := c.load.kinds[i].name
				if got, without := now.ofKind[kind].inTime(), before.ofKind[kind].inTime(); got < without+change {
					t.Errorf("%s in time: %.3f, %.3f without ranks", kind, got, without)
				}
			}
		})
	}
}

// Guards against any effect of the mechanism on services of one rank: each choice
// is the same with and without it.
func TestServicesOfOneRankAreUnchanged(t *testing.T) {
	run := func(ranked bool) *model {
		l := ledger(1.6, 1.6)
		l.until = 8 * time.Second
		l.ranked = ranked
		for i := range l.kinds {
			l.kinds[i].rank = 1
		}
		m := newModel(l, 1)
		m.run(newPlaced(m))
		return m
	}
	before, now := run(false), run(true)
	for i := range before.runs {
		if !slices.Equal(before.runs[i], now.runs[i]) {
			t.Errorf("requests of region %d run elsewhere or at other times", i)
		}
	}
}
