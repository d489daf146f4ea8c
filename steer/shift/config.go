package shift

import (
	"fmt"
	"time"
)

// Share is a fraction of a service's requests in parts per million.
type Share uint32

const (
	// FullShare is the share of all requests.
	FullShare Share = 1_000_000
	// Percent is a share of one percent.
	Percent Share = FullShare / 100
)

// String formats the share as a percentage.
func (s Share) String() string {
	return fmt.Sprintf("%.4g%%", float64(s)/float64(Percent))
}

// Stage is one step of a shift.
type Stage struct {
	// Cap is the maximum share of requests that the new version may get.
	Cap Share
	// Hold is the minimum duration of the stage.
	Hold time.Duration
}

// Config describes one shift.
type Config struct {
	// Name identifies the shift. Each name is used only once per environment.
	Name string
	// Service is the service that changes its version.
	Service string
	// From is the old version and To the new one.
	From, To string
	// Start is the earliest time at which the first stage may begin.
	Start time.Time
	// Deadline is the time by which the shift must be complete or rolled back.
	Deadline time.Time
	// Stages lists the stages by strictly increasing Cap. The last Cap is
	// FullShare.
	Stages []Stage
	// WatchPeriod is how long the new version is still judged after completion.
	WatchPeriod time.Duration
	// Tuning holds the settings that rarely differ between shifts.
	Tuning
}

// Tuning holds the settings for judging and timing.
type Tuning struct {
	// ClockSkew is the maximum difference between an instance's wall clock and
	// true time.
	ClockSkew time.Duration
	// Guard is the period before Deadline in which completion can no longer be
	// recorded. It must exceed ContactTimeout plus three times ClockSkew. An
	// instance that is connected at the deadline has then been in contact since
	// the completion was recorded, and so has received it.
	Guard time.Duration
	// HolderLease is how long a record may stay unchanged before another
	// instance takes over advancing it.
	HolderLease time.Duration
	// ContactTimeout is the age at which the last answer from the store or the
	// last report from a peer no longer counts as contact.
	ContactTimeout time.Duration
	// WarmUp is the period after each rise of the share to a new maximum in
	// which slowness of the new version is attributed to cold caches and
	// ignored.
	WarmUp time.Duration
	// OutcomeTimeout is the time without any outcome of the new version after
	// which its outcomes count as missing.
	OutcomeTimeout time.Duration
	// FalseAlarmProbability bounds the probability that a shift to an equally
	// good version is ever rolled back on evidence.
	FalseAlarmProbability float64
	// MinSamples is the number of outcomes of the new version that a stage
	// needs before it may end.
	MinSamples uint64
	// MinRouteSamples is the number of outcomes of the new version that a stage
	// needs on one route. It applies only if the route's traffic at the stage's
	// cap would yield twice as many.
	MinRouteSamples uint64
}

// DefaultTuning returns the settings for a fleet whose clocks are synchronized
// by NTP.
func DefaultTuning() Tuning {
	return Tuning{
		ClockSkew:             time.Second,
		Guard:                 15 * time.Second,
		HolderLease:           10 * time.Second,
		ContactTimeout:        10 * time.Second,
		WarmUp:                10 * time.Second,
		OutcomeTimeout:        5 * time.Second,
		FalseAlarmProbability: 0.005,
		MinSamples:            30,
		MinRouteSamples:       10,
	}
}

// ConfigError describes an invalid setting of a shift.
type ConfigError struct {
	// Shift is the name of the shift.
	Shift string
	// Field is the name of the invalid field.
	Field string
	// Problem describes what is wrong with the field.
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("shift %s: %s: %s", e.Shift, e.Field, e.Problem)
}

// Check validates the shift's configuration. It returns a *ConfigError if the
// shift cannot be carried out.
func (c *Config) Check() error {
	invalid := func(field, problem string) error {
		return &ConfigError{Shift: c.Name, Field: field, Problem: problem}
	}
	if c.Name == "" || c.Service == "" {
		return invalid("name", "name and service must be given")
	}
	if c.To == "" || c.From == c.To {
		return invalid("to", "must name another version than the serving one")
	}
	if len(c.Stages) == 0 {
		return invalid("stages", "at least one is needed")
	}
	if c.Guard <= c.ContactTimeout+3*c.ClockSkew {
		return invalid("guard", "must exceed the contact limit and three times the clock skew")
	}
	if c.FalseAlarmProbability <= 0 || c.FalseAlarmProbability >= 1 {
		return invalid("falseAlarm", "must lie between 0 and 1")
	}
	return c.checkStages(invalid)
}

// checkStages checks that the caps rise to 100% and that the holds fit before
// the deadline.
func (c *Config) checkStages(invalid func(field, problem string) error) error {
	last := Share(0)
	needed := time.Duration(0)
	for _, s := range c.Stages {
		if s.Cap <= last || s.Cap > FullShare {
			return invalid("stages", "caps must rise and stay within 100%")
		}
		last = s.Cap
		needed += s.Hold
	}
	if last != FullShare {
		return invalid("stages", "the last cap must be 100%")
	}
	if c.Start.Add(needed).After(c.Deadline) {
		return invalid("deadline", "leaves no time for the stages' holds")
	}
	return nil
}

// minDuration returns the minimum duration of the stages from index on.
func (c *Config) minDuration(index int) time.Duration {
	sum := time.Duration(0)
	for _, s := range c.Stages[min(index, len(c.Stages)):] {
		sum += max(s.Hold, c.WarmUp)
	}
	return sum
}
