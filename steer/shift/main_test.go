package shift

import (
	"flag"
	"os"
	"testing"
	"time"
)

// TestMain fixes the seeds of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "60",
		"rapid.steps":      "60",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// epoch is the time at which the clocks of the tests start.
var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// testConfig returns a shift of a few minutes.
func testConfig() Config {
	return Config{
		Name:     "tracker-v2",
		Service:  "tracker",
		From:     "v1",
		To:       "v2",
		Start:    epoch.Add(10 * time.Second),
		Deadline: epoch.Add(4 * time.Minute),
		Stages: []Stage{
			{Cap: 1 * Percent, Hold: 30 * time.Second},
			{Cap: 10 * Percent, Hold: 30 * time.Second},
			{Cap: 50 * Percent, Hold: 30 * time.Second},
			{Cap: FullShare},
		},
		WatchPeriod: 2 * time.Minute,
		Tuning:      DefaultTuning(),
	}
}
