package slots

import (
	"testing"
	"time"
)

// Both users' services. The mean service times are the benchmark's: the users
// name none.
var scenarios = []scenario{
	{"kano tracker", 14, 3, 20 * time.Millisecond, 50 * time.Millisecond},
	{"kano ledger", 12, 3, 20 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly depot-stock", 18, 6, 55 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly claim-ledger", 12, 5, 55 * time.Millisecond, 50 * time.Millisecond},
	{"ganguly proof-store", 12, 3, 55 * time.Millisecond, 200 * time.Millisecond},
}

const (
	// jobsPerRun is the number of requests of one run.
	jobsPerRun = 15_000
	// runsPerScenario is the number of seeds, counted from 1.
	runsPerScenario = 3
	// maxRatioToIdeal is the goal for the 99th percentile over that of one
	// all-knowing queue.
	maxRatioToIdeal = 1.5
)

// policies are the ways that were weighed. The baselines come in two forms:
// over all endpoints, and over those of the instance's own region.
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

// results are the mean 99th percentiles of one scene by policy, and the
// requests that met a full endpoint.
type results struct {
	p99    map[string]time.Duration
	excess map[string]int
}

func measure(s scenario) results {
	f := results{p99: make(map[string]time.Duration), excess: make(map[string]int)}
	for _, p := range policies {
		for seed := range uint64(runsPerScenario) {
			w := newSimulation(s, seed+1)
			f.p99[p.desc] += w.run(jobsPerRun, p.make(w)) / runsPerScenario
			f.excess[p.desc] += w.overCapacity
		}
	}
	return f
}

// TestLatencyAtHighUse measures the ways to choose an endpoint at 85 % of the
// slots in use over 8 instances.
func TestLatencyAtHighUse(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.desc, func(t *testing.T) {
			t.Parallel()
			f := measure(s)
			for _, p := range policies {
				t.Logf("%-28s p99 %5.0f ms, met a full endpoint %5d", p.desc, f.p99[p.desc].Seconds()*1e3, f.excess[p.desc])
			}
			broker, ideal := f.p99["broker"], f.p99["all-knowing"]
			if f.excess["broker"] != 0 {
				t.Errorf("%d requests met a full endpoint", f.excess["broker"])
			}
			if ratio := float64(broker) / float64(ideal); ratio > maxRatioToIdeal {
				t.Errorf("p99 is %.2f times the ideal, want at most %.1f", ratio, maxRatioToIdeal)
			}
			for _, baseline := range []string{"random", "least in flight", "two choices"} {
				if broker >= f.p99[baseline] {
					t.Errorf("p99 %v is not ahead of %s with %v", broker, baseline, f.p99[baseline])
				}
			}
		})
	}
}
