package placing

import (
	"slices"
	"testing"
	"time"
)

// unevenLedger is a third of ledger-service, at a multiple of the usual rate: the first
// region has a tenth of the endpoints and a third of the callers, and each region has its
// own wave.
func unevenLedger(times float64) load {
	l := ledger(times, times)
	l.regions = []modelRegion{{"guanacaste", 9, 3, 0.3}, {"limon", 10, 14, 0.63}, {"cartago", 10, 14, 0.97}}
	l.wave, l.swing, l.ranked, l.relayed = 0, 0.55, true, true
	return l
}

// unevenPortal is a third of donor-portal, likewise.
func unevenPortal(times float64) load {
	l := donor(380 * times)
	l.regions = []modelRegion{{"midtjylland", 15, 5, 0.3}, {"fyn", 15, 19, 0.63}, {"jylland", 16, 20, 0.97}}
	l.objects, l.ranked = 100, true
	l.kinds = []modelKind{
		{"book-tapping", 1, 127 * times, 540 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second},
		{"slot-lookup", 2, 253 * times, 410 * time.Millisecond, 137 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond},
	}
	return l
}

// allKnowingByKind sees the current load and memory of each endpoint. It sends a request
// where it would end in time at the lowest cost of slots, with a round trip counted as
// that much of a slot, or else where it ends first. It is no upper bound: it sends no
// request ahead of time to where an object will be wanted.
func allKnowingByKind(m *model, r *modelRequest) *modelEndpoint {
	var best *modelEndpoint
	lowest, left := time.Duration(0), r.kind.goal-(m.now-r.first)
	for _, e := range m.endpoints {
		d, roundTrip, wait := r.kind.cold, m.remote(), time.Duration(0)
		if slices.Contains(e.known, r.object) {
			d = r.kind.warm
		}
		if e.region == m.regions[r.region].name {
			roundTrip = localRoundTrip
		}
		d = time.Duration(float64(d) * m.workTime(e))
		if over := e.sent - m.slots + 1; over > 0 {
			mean := time.Duration(0)
			for _, k := range m.kinds {
				mean += time.Duration(k.rate / m.rate * float64(k.warm))
			}
			wait = mean * time.Duration(over) / time.Duration(m.slots)
		}
		cost := d + roundTrip + wait
		if cost > left {
			cost += time.Minute
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best.sent >= m.slots+m.queue {
		return nil
	}
	return best
}

// byKind are the sums over several runs of the figures of each kind and region.
type byKind struct {
	ends            map[pair]figures
	ran, away, warm map[pair]int
	payoff, change  float64
	worst           float64
}

// runByKind runs a load with several seeds.
func runByKind(l load, seeds uint64, p func(*model) policy) byKind {
	b := byKind{ends: map[pair]figures{}, ran: map[pair]int{}, away: map[pair]int{}, warm: map[pair]int{}}
	for seed := range seeds {
		m := newModel(l, seed)
		f := m.run(p(m))
		b.payoff += f.payoff() / float64(seeds)
		b.worst += f.worstRegion / float64(seeds)
		b.change = max(b.change, m.largestRegionChange().part)
		for of, one := range m.ofPair {
			sum := b.ends[of]
			sum.requests += one.requests
			sum.inGoal += one.inGoal
			sum.late += one.late
			sum.refused += one.refused
			b.ends[of] = sum
		}
		for i, runs := range m.runs {
			for _, r := range runs {
				of := pair{r.kind, m.regions[i].name}
				b.ran[of]++
				if r.region != of.region {
					b.away[of]++
				}
				if r.warm {
					b.warm[of]++
				}
			}
		}
	}
	return b
}

// log logs the parts of each kind's requests, in 1000.
func (b byKind) log(t *testing.T, name string, l load) {
	t.Helper()
	t.Logf("%s: payoff %.3f, worst region %.3f, largest change %.2f", name, b.payoff, b.worst, b.change)
	for _, k := range l.kinds {
		for _, region := range l.regions {
			of := pair{k.name, region.name}
			f, n := b.ends[of], float64(b.ends[of].requests)/1000
			ran := float64(max(1, b.ran[of])) / 1000
			t.Logf("%-14s %-12s in time %3.0f, late %3.0f, refused %3.0f, away %3.0f, warm %3.0f, of %d", k.name, region.name,
				float64(f.inGoal)/n, float64(f.late)/n, float64(f.refused)/n, float64(b.away[of])/ran, float64(b.warm[of])/ran, f.requests)
		}
	}
}

// Guards against a growing loss by the way to other regions, at which a choice by kind of
// the requests that travel would begin to pay. What callers gain without any distance
// between the regions is about the most that such a choice could give them.
// docs/design/uneven-regions.md has the figures that it logs.
func TestTravelCostsCallersLittle(t *testing.T) {
	if testing.Short() {
		t.Skip("plays many loads")
	}
	const (
		seeds         = 8
		maxLoss       = 0.025 // of the payoff; 0.016 was measured
		maxRegionLoss = 0.06  // of the payoff of the region served worst; 0.044 was measured
	)
	for name, l := range map[string]load{
		"ledger, usual": unevenLedger(1), "ledger, less": unevenLedger(0.7), "portal, usual": unevenPortal(1), "portal, less": unevenPortal(0.6),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			placers := func(m *model) policy { return newPlacedWith(m, 4, DefaultRules()) }
			near := l
			near.away = localRoundTrip
			far, without := runByKind(l, seeds, placers), runByKind(near, seeds, placers)
			far.log(t, "placers", l)
			without.log(t, "placers, no distance", l)
			runByKind(l, seeds, func(*model) policy { return pick(allKnowingByKind) }).log(t, "all-knowing", l)
			if loss := without.payoff - far.payoff; loss > maxLoss {
				t.Errorf("the distance costs %.3f of the payoff, %.3f allowed", loss, maxLoss)
			}
			if loss := without.worst - far.worst; loss > maxRegionLoss {
				t.Errorf("the distance costs the worst region %.3f of its payoff, %.3f allowed", loss, maxRegionLoss)
			}
		})
	}
}

// Guards against a region with a tenth of the endpoints whose requests change their
// region too fast.
func TestRequestsOfUnevenRegionsMoveSlowly(t *testing.T) {
	for _, c := range []struct {
		load  load
		seeds []uint64
	}{
		{unevenLedger(1), []uint64{16, 18, 34}},
		{unevenPortal(1), []uint64{3, 11, 19}},
	} {
		for _, seed := range c.seeds {
			m := newModel(c.load, seed)
			f := m.run(newPlacedWith(m, 4, DefaultRules()))
			change := m.largestRegionChange()
			t.Logf("seed %d: %v; %v", seed, change, f)
			if change.part > maxRegionChange {
				t.Errorf("seed %d: %v move, %.2f allowed", seed, change, maxRegionChange)
			}
		}
	}
}
