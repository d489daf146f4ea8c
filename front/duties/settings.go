package duties

import "time"

// Settings are the settings of the duties. Without names there are none.
type Settings struct {
	// Names are the platform's names of the duties. Default: none.
	Names []string `yaml:"names"`
	// Address is the host and port that takes the calls.
	Address string `yaml:"address" validate:"required_with=Names,omitempty,hostname_port"`
	// CallsPerSecond is how many calls a second the platform accepts from all
	// instances together. Default: 1.
	CallsPerSecond float64 `yaml:"callsPerSecond" validate:"gte=0"`
	// FencesChecked is whether the platform refuses lower fencing tokens. Default:
	// false.
	FencesChecked bool `yaml:"fencesChecked"`
	// Lease is the time, in seconds, within which holders must not alternate.
	// Default: 3.
	Lease float64 `yaml:"lease" validate:"gte=0"`
	// Usage are the settings of the usage reports.
	Usage UsageSettings `yaml:"usage"`
}

// UsageSettings are the settings of the usage reports.
type UsageSettings struct {
	// Window is the length of a window in seconds.
	Window float64 `yaml:"window" validate:"omitempty,gte=0.1"`
	// Late is how long after its end, in seconds, a window's report is late.
	// Default: none is.
	Late float64 `yaml:"late" validate:"gte=0"`
}

// defaultLease and defaultCallsPerSecond apply where the settings have none.
const (
	defaultLease          = 3 * time.Second
	defaultCallsPerSecond = 1
)

func (s *Settings) lease() time.Duration {
	if s.Lease == 0 {
		return defaultLease
	}
	return seconds(s.Lease)
}

func (s *Settings) callsPerSecond() float64 {
	if s.CallsPerSecond == 0 {
		return defaultCallsPerSecond
	}
	return s.CallsPerSecond
}

func (s *UsageSettings) window() time.Duration { return seconds(s.Window) }

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
