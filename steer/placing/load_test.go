package placing

import (
	"slices"
	"testing"
	"time"
)

// kano and ganguly are the users' services at their largest load: all of the
// service's requests at three times their mean rate, at the peak of a wave and
// with a burst.
func kano(rate float64) load {
	return load{
		regions: []modelRegion{{"kano", 3, 6, 0}, {"kaduna", 3, 2, 0}, {"sokoto", 2, 6, 0}},
		slots:   3, queue: 9, memory: 21, cold: 880 * time.Millisecond, warm: 264 * time.Millisecond,
		goal: 600 * time.Millisecond, limit: 2500 * time.Millisecond, objects: 24, rate: rate, until: 30 * time.Second,
	}
}

func ganguly(rate float64) load {
	return load{
		regions: []modelRegion{{"kolkata", 4, 2, 0}, {"siliguri", 3, 8, 0}, {"bardhaman", 3, 8, 0}},
		slots:   6, queue: 18, memory: 37, cold: 640 * time.Millisecond, warm: 192 * time.Millisecond,
		goal: 500 * time.Millisecond, limit: 1200 * time.Millisecond, objects: 53, rate: rate, until: 30 * time.Second,
	}
}

// withWaves varies the rate of a load by half, doubles it for two seconds, and
// moves callers from the first region to the second and back.
func withWaves(l load) load {
	l.wave = 0.5
	l.burst = span{8 * time.Second, 10 * time.Second}
	l.move = span{14 * time.Second, 22 * time.Second}
	return l
}

// minPayoffShare is the share of an all-knowing dispatcher's payoff that
// callers must get.
const minPayoffShare = 0.9

// runBoth runs a load with the placers and with the all-knowing dispatcher.
func runBoth(t *testing.T, l load) (got, limit figures) {
	m := newModel(l, 1)
	got = m.run(newPlaced(m))
	limit = newModel(l, 1).run(pick(allKnowing))
	t.Logf("placed:      %v", got)
	t.Logf("all-knowing: %v", limit)
	return got, limit
}

// Callers get close to the payoff of an all-knowing dispatcher and more than
// that of any simple policy, in total and in the region that is served worst,
// at the usual load and at the heaviest.
func TestCallersGetNearlyWhatIsPossible(t *testing.T) {
	for _, c := range []struct {
		name string
		load load
	}{
		{"kano, usual", kano(61)},
		{"kano, heaviest", kano(110)},
		{"ganguly, usual", ganguly(214)},
		{"ganguly, heaviest", ganguly(400)},
		{"kano, waves", withWaves(kano(80))},
		{"ganguly, waves", withWaves(ganguly(280))},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, limit := runBoth(t, c.load)
			if got.payoff() < minPayoffShare*limit.payoff() {
				t.Errorf("payoff %.3f, an all-knowing dispatcher gives %.3f", got.payoff(), limit.payoff())
			}
			for name, p := range baselines {
				other := newModel(c.load, 1).run(p)
				t.Logf("%s: %v", name, other)
				if got.payoff() < other.payoff() || got.worstRegion < other.worstRegion || got.worstWindow < other.worstWindow {
					t.Errorf("%s gives %v; placed %v", name, other, got)
				}
			}
		})
	}
}

// withHomes restricts a part of a load's requests to one region.
func withHomes(l load, part float64, region int) load {
	l.homed = part
	l.regions = slices.Clone(l.regions)
	l.regions[0], l.regions[region] = l.regions[region], l.regions[0]
	return l
}

// Callers whose requests may only run in the smallest region get close to the
// payoff of an all-knowing dispatcher, and not at the expense of other callers.
func TestTeamAtHomeInASmallRegion(t *testing.T) {
	for _, c := range []struct {
		name string
		load load
	}{
		{"kano, a tenth at home in kaduna", withHomes(kano(61), 0.1, 1)},
		{"kano, a seventh", withHomes(kano(61), 0.15, 1)},
		{"ganguly, a tenth at home in kolkata", withHomes(ganguly(214), 0.1, 0)},
		{"ganguly, a seventh", withHomes(ganguly(214), 0.15, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, limit := runBoth(t, c.load)
			if got.homed < minPayoffShare*limit.homed || got.payoff() < minPayoffShare*limit.payoff() {
				t.Errorf("payoff %.3f, of those with a home %.3f; all-knowing %.3f and %.3f", got.payoff(), got.homed, limit.payoff(), limit.homed)
			}
			for name, p := range baselines {
				if other := newModel(c.load, 1).run(p); got.homed < other.homed || got.payoff() < other.payoff() {
					t.Errorf("%s gives %v; placed %v", name, other, got)
				}
			}
		})
	}
}

// Beyond the capacity of the slots, the number of responses in time does not fall
// below that of the heaviest load within capacity: excess requests are refused
// and do not delay others.
func TestOverloadKeepsGoodput(t *testing.T) {
	for name, at := range map[string]func(rate float64) load{"kano": kano, "ganguly": ganguly} {
		inGoal := func(rate float64) int {
			m := newModel(at(rate), 2)
			f := m.run(newPlaced(m))
			t.Logf("%s at %.0f requests per second: %v", name, rate, f)
			return f.inGoal
		}
		ratedLoad := map[string]float64{"kano": 110, "ganguly": 400}[name]
		heaviest := inGoal(ratedLoad)
		for _, times := range []float64{1.5, 2.5} {
			if n := inGoal(times * ratedLoad); n < heaviest {
				t.Errorf("%s: %d answers in time at %.1f times the heaviest load, %d at the heaviest load", name, n, times, heaviest)
			}
		}
	}
}

// withLimits lets every n-th endpoint limit its requests.
func withLimits(l load, n int, perSecond float64) load {
	l.limited, l.perSecond = n, perSecond
	return l
}

// Endpoints that limit their requests keep their limits, and callers get close to
// the payoff of an all-knowing dispatcher that keeps them too.
func TestCallersBesideLimitedEndpoints(t *testing.T) {
	for _, c := range []struct {
		name string
		load load
	}{
		{"kano, a seventh of the endpoints", withLimits(kano(61), 7, 1.3)},
		{"kano, half of the endpoints", withLimits(kano(61), 2, 1.5)},
		{"kano, all endpoints", withLimits(kano(61), 1, 1.8)},
		{"ganguly, a third of the endpoints", withLimits(ganguly(214), 3, 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, limit := runBoth(t, c.load)
			if got.payoff() < minPayoffShare*limit.payoff() {
				t.Errorf("payoff %.3f, an all-knowing dispatcher gives %.3f", got.payoff(), limit.payoff())
			}
		})
	}
}
