package shift

import (
	"fmt"
	"time"
)

// Share is a part of a service's requests in parts per million.
type Share uint32

const (
	// FullShare is the share that takes all requests.
	FullShare Share = 1_000_000
	// Percent is one hundredth of the requests.
	Percent Share = FullShare / 100
)

// String gives the share in percent.
func (s Share) String() string {
	return fmt.Sprintf("%.4g%%", float64(s)/float64(Percent))
}

// Stage is one step of a shift.
type Stage struct {
	// Cap is the largest share of requests that the new version may get.
	Cap Share
	// Hold is the least time that the stage lasts.
	Hold time.Duration
}

// Config describes one shift.
type Config struct {
	// Name names the shift; an environment uses a name once.
	Name string
	// Service is the service whose version changes.
	Service string
	// From is the version that served before, To the new one.
	From, To string
	// Start is when the first stage may begin.
	Start time.Time
	// Deadline is when the shift must be complete or taken back.
	Deadline time.Time
	// Stages are the steps, in rising order of Cap; the last is Whole.
	Stages []Stage
	// WatchPeriod is how long the new version is judged after completion.
	WatchPeriod time.Duration
	// Tuning holds the settings that rarely differ between shifts.
	Tuning
}

// Tuning holds the settings of judging and timing.
type Tuning struct {
	// ClockSkew bounds the difference of a wall clock from true time.
	ClockSkew time.Duration
	// Guard is the time before Deadline after which completion can no longer
	// be recorded. It must exceed ContactLimit and three times ClockSkew:
	// then an instance that is in touch at the deadline has been so since the
	// completion was recorded, and knows of it.
	Guard time.Duration
	// HolderLease is how long a record may stay unchanged before another
	// instance takes over advancing it.
	HolderLease time.Duration
	// ContactTimeout is the age at which the last word from the store or from
	// a peer no longer counts.
	ContactTimeout time.Duration
	// WarmUp is the time after each rise of the share to a new height in which slowness of
	// the new version is put down to cold caches.
	WarmUp time.Duration
	// OutcomeTimeout is the time without any outcome from the new version after
	// which its measurements count as stopped.
	OutcomeTimeout time.Duration
	// FalseAlarmProbability bounds the probability that a shift to an equally good
	// version is ever taken back on evidence.
	FalseAlarmProbability float64
	// MinSamples is the number of outcomes of the new version that a stage
	// needs before it may end.
	MinSamples uint64
	// MinRouteSamples is the same for one route, if its traffic could have
	// given twice as many.
	MinRouteSamples uint64
}

// DefaultTuning returns the settings for a fleet whose clocks are kept by NTP.
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

// ConfigError says what is wrong with a shift.
type ConfigError struct {
	// Shift names the shift.
	Shift string
	// Field names the wrong field.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("shift %s: %s: %s", e.Shift, e.Field, e.Problem)
}

// Check returns a *ConfigError if the shift cannot be carried out.
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

// checkStages checks the order of the caps and the time that the holds take.
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

// minDuration returns the minDuration time that the stages from index on take.
func (c *Config) minDuration(index int) time.Duration {
	sum := time.Duration(0)
	for _, s := range c.Stages[min(index, len(c.Stages)):] {
		sum += max(s.Hold, c.WarmUp)
	}
	return sum
}
