package slots

import (
	"testing"
	"time"
)

// scenarios are the services of both users. The users give no service times;
// the mean service times are assumptions.
var scenarios = []scenario{
	{"kano tracker", 14, 3, 20 * time.Millisecond, 50 * time.Millisecond},
	{"kano ledger", 12, 3, 20 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly depot-stock", 18, 6, 55 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly claim-ledger", 12, 5, 55 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly proof-store", 12, 3, 55 * time.Millisecond, 200 * time.Millisecond},
}

const (
	jobsPerRun = 15_000
	// runsPerScenario is the number of runs, with seeds from 1.
	runsPerScenario = 3
	// maxRatioToIdeal is the goal for the 99th percentile, relative to that of
	// the ideal queue.
	maxRatioToIdeal = 1.5
)

// policies are the compared policies. Each baseline has two variants: over all
// endpoints, and over those of the instance's own region.
var policies = []policy{
	{"all-knowing", idealQueue},
	{"broker", brokerPerRegion},
	{"partition", partition(false)},
	{"partition and borrowing", partition(true)},
	{"random", random(true)},
	{"least in flight", inFlight(true, 0)},
	{"two choices", inFlight(true, 2)},
	{"random, own region", random(false)},
	{"least in flight, own region", inFlight(false, 0)},
	{"two choices, own region", inFlight(false, 2)},
}

// results holds, for one scenario and by policy, the mean 99th percentiles and
// the number of requests that arrived at a full endpoint.
type results struct {
	p99          map[string]time.Duration
	overCapacity map[string]int
}

func measure(s scenario) results {
	f := results{p99: make(map[string]time.Duration), overCapacity: make(map[string]int)}
	for _, p := range policies {
		for seed := range uint64(runsPerScenario) {
			w := newSimulation(s, seed+1)
			f.p99[p.desc] += w.run(jobsPerRun, p.make(w)) / runsPerScenario
			f.overCapacity[p.desc] += w.overCapacity
		}
	}
	return f
}

// TestLatencyAtHighUse compares the policies for choosing an endpoint at 85 %
// utilization over 8 instances. The broker must never exceed an endpoint's
// slots, must stay near the ideal queue and must beat the baselines that use
// all regions.
func TestLatencyAtHighUse(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.desc, func(t *testing.T) {
			t.Parallel()
			f := measure(s)
			for _, p := range policies {
				t.Logf("%-28s p99 %5.0f ms, met a full endpoint %5d", p.desc, f.p99[p.desc].Seconds()*1e3, f.overCapacity[p.desc])
			}
			broker, ideal := f.p99["broker"], f.p99["all-knowing"]
			if f.overCapacity["broker"] != 0 {
				t.Errorf("%d requests arrived at a full endpoint", f.overCapacity["broker"])
			}
			if ratio := float64(broker) / float64(ideal); ratio > maxRatioToIdeal {
				t.Errorf("p99 is %.2f times the ideal, want at most %.1f", ratio, maxRatioToIdeal)
			}
			for _, baseline := range []string{"random", "least in flight", "two choices"} {
				if broker >= f.p99[baseline] {
					t.Errorf("p99 %v is not lower than that of %s, %v", broker, baseline, f.p99[baseline])
				}
			}
		})
	}
}
