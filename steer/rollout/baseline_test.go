package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lostShare is the share of responses that endpoints lose, and of those that they
// spoil.
const lostShare = 0.2

// baselineRates add the rate of the users' smallest service that is rolled out.
var baselineRates = append([]time.Duration{25}, rates...)

// A bad version is rolled back although the old version fails too.
func TestBadVersionBesideFailingOldIsRolledBack(t *testing.T) {
	for seed := range uint64(20) {
		var r *rand.Rand
		for name, old := range map[string]behavior{
			"old loses responses": func(time.Duration, float64) (Outcome, time.Duration) { return losing(r, lostShare), usual },
			"old gives errors":    func(time.Duration, float64) (Outcome, time.Duration) { return failing(r, 0.3), usual },
		} {
			for badName, bad := range map[string]behavior{
				"0.3 errors": func(time.Duration, float64) (Outcome, time.Duration) { return failing(r, 0.3), usual },
				"0.5 errors": func(time.Duration, float64) (Outcome, time.Duration) { return failing(r, 0.5), usual },
				"0.6 too late": func(time.Duration, float64) (Outcome, time.Duration) {
					if r.Float64() < 0.6 {
						return OutcomeTimedOut, 0
					}
					return OutcomeGood, usual
				},
			} {
				for _, rate := range baselineRates {
					r = rand.New(rand.NewPCG(seed, 4))
					p := play(seed, rate, old, bad)
					if p.complete || p.rolledBackAt == 0 {
						t.Errorf("seed %d, %s, %s, %d/s: not rolled back: %+v", seed, name, badName, rate, p)
					}
					if limit := maxNewShare*float64(p.total) + maxNewSlack; float64(p.toNew) > limit {
						t.Errorf("seed %d, %s, %s, %d/s: %d requests to the new version, %.0f allowed", seed, name, badName, rate, p.toNew, limit)
					}
				}
			}
		}
	}
}

// A good version completes beside an old one that fails, whether the cause
// affects the new version or not.
func TestGoodVersionBesideFailingOldCompletes(t *testing.T) {
	for seed := range uint64(40) {
		var r *rand.Rand
		lossy := func(time.Duration, float64) (Outcome, time.Duration) { return losing(r, lostShare), usual }
		sound := func(time.Duration, float64) (Outcome, time.Duration) { return failing(r, 0.002), usual }
		for name, candidate := range map[string]behavior{"new is sound": sound, "new loses responses": lossy} {
			for _, rate := range baselineRates {
				r = rand.New(rand.NewPCG(seed, 5))
				if p := play(seed, rate, lossy, candidate); !p.complete {
					t.Errorf("seed %d, %s, %d/s: %+v", seed, name, rate, p)
				}
			}
		}
	}
}

// A slow version is rolled back although the old one is slow too; one that is as
// slow as the old one completes.
func TestSlowVersionBesideSlowOldIsRolledBack(t *testing.T) {
	for _, rate := range baselineRates {
		for factor, rolledBack := range map[time.Duration]bool{4: false, 8: true} {
			slow := func(factor time.Duration) behavior {
				return func(time.Duration, float64) (Outcome, time.Duration) { return OutcomeGood, factor * usual }
			}
			p := play(1, rate, slow(4), slow(factor))
			if got := p.rolledBackAt > 0; got != rolledBack || p.complete == rolledBack {
				t.Errorf("%d/s, old 4 times, new %d times as slow as usual: %+v", rate, factor, p)
			}
		}
	}
}
