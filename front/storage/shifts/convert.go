package shifts

import (
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// drainPrefix is the prefix of the names of drain records. Names of shifts
// cannot contain a colon, so the two never collide.
const drainPrefix = "drain:"

// shiftConfig converts a shift of the document to its configuration. serving is
// the version that the service has before the shift.
func shiftConfig(s *document.Shift, serving string, tuning shift.Tuning) shift.Config {
	cfg := shift.Config{
		Name:        s.Name,
		Service:     s.Service,
		From:        serving,
		To:          s.To,
		Start:       s.Start,
		Deadline:    s.Deadline,
		WatchPeriod: s.Watch.Std(),
		Tuning:      tuning,
	}
	for _, stage := range s.Stages {
		cfg.Stages = append(cfg.Stages, shift.Stage{Cap: shift.Share(stage.Cap), Hold: stage.Hold.Std()})
	}
	return cfg
}

// drainConfig converts a drain of the document to its configuration. The name
// includes the start time, so that a later drain of the same region has a
// record of its own.
func drainConfig(d *document.Drain, tuning shift.Tuning) shift.DrainConfig {
	return shift.DrainConfig{
		Name:             drainPrefix + d.Region + "@" + d.From.UTC().Format(time.RFC3339),
		Region:           d.Region,
		Start:            d.From,
		Deadline:         d.Deadline,
		StepInterval:     shift.DefaultStepInterval,
		HeadroomFraction: shift.DefaultHeadroomFraction,
		Tuning:           tuning,
	}
}

// recordPrefix returns the prefix of the keys of all records.
func recordPrefix(environment string) string { return environment + "/shifts/" }

// recordKey returns the key of a record.
func recordKey(environment, name string) string { return recordPrefix(environment) + name }

// recordName returns the name of the record with a key.
func recordName(environment, key string) string {
	return strings.TrimPrefix(key, recordPrefix(environment))
}
