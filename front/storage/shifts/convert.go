package shifts

import (
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// drainPrefix begins the names of drains' records. The names of shifts can not
// contain its colon.
const drainPrefix = "drain:"

// shiftConfig returns the description of a shift of the document.
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

// drainConfig returns the description of a drain of the document. A later drain
// of the same region is another drain.
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

// recordPrefix is the prefix of the keys of all records.
func recordPrefix(environment string) string { return environment + "/shifts/" }

// recordKey is the key of a record.
func recordKey(environment, name string) string { return recordPrefix(environment) + name }

// recordName returns the name in a record's key.
func recordName(environment, key string) string {
	return strings.TrimPrefix(key, recordPrefix(environment))
}
