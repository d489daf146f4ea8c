package gateway

import (
	"time"

	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/settings"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

// Settings are the settings of one instance.
type Settings struct {
	// Name is unique among the instances of an environment. Required.
	Name string `yaml:"name" validate:"required"`
	// Region is the instance's region. Required.
	Region string `yaml:"region" validate:"required"`
	// FailureDomain is the instance's failure domain. Required.
	FailureDomain string `yaml:"failureDomain" validate:"required"`
	// FailureDomains maps all failure domains to their regions. Required.
	FailureDomains map[string]string `yaml:"failureDomains" validate:"required"`
	// Listen are the addresses of this instance.
	Listen ListenSettings `yaml:"listen"`
	// Capacity is the share of a processor that this instance has. Instances with
	// more of it relay reports and tables to others. Default: 0.
	Capacity float64 `yaml:"capacity" validate:"gte=0"`
	// Bootstrap is set when all instances start for the first time. This instance
	// then waits for the others to register before it reads their list. Otherwise its
	// first requests may run in any region. Default: false.
	Bootstrap bool `yaml:"bootstrap"`
	// Store is the host and port of the shared store. Required.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Lifetime is how long, in seconds, callers may use a response of the
	// directory. Required.
	Lifetime float64 `yaml:"lifetime" validate:"gt=0"`
	// Grace is the time, in seconds, from the stop signal until the process is
	// killed. Required.
	Grace float64 `yaml:"grace" validate:"gt=0"`
	// RetryRatio is the number of attempts beyond the first that each request
	// adds to the retry budget of the fleet; 0.01 to 1. Required.
	RetryRatio float64 `yaml:"retryRatio" validate:"gte=0.01,lte=1"`
	// RetrySlack is the number of such attempts that the fleet may make in
	// addition. Required.
	RetrySlack float64 `yaml:"retrySlack" validate:"gte=0"`
	// Pipelining configures callers that send requests ahead. Default: their requests
	// are served one after the other.
	Pipelining PipeliningSettings `yaml:"pipelining"`
	// Duties are calls to the platform that one instance at a time makes. Default:
	// none.
	Duties duties.Settings `yaml:"duties"`
	// EndpointPace is whether requests at endpoints that join or recover are limited by
	// how these answer. Default: false.
	EndpointPace bool `yaml:"endpointPace"`
	// Log configures what is logged and how.
	Log telemetry.LogSettings `yaml:"log"`
}

// PipeliningSettings configure requests that callers send before earlier ones on the
// same connection have been answered.
type PipeliningSettings struct {
	// MaxAhead bounds the requests of a connection that run before their turn.
	// Default: 0, none.
	MaxAhead int `yaml:"maxAhead" validate:"gte=0,lte=64"`
}

// ListenSettings are the addresses, each an IP address and a port, on which an
// instance listens.
type ListenSettings struct {
	// Callers accepts callers' requests. Required.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Ready reports whether the instance takes requests. Required.
	Ready string `yaml:"ready" validate:"required,hostname_port"`
	// Directory lists the instances that callers should use. Default: none.
	Directory string `yaml:"directory" validate:"omitempty,hostname_port"`
	// Peers accepts calls of other instances, which connect to the same
	// address. The network must carry no other traffic. Required.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Relay accepts requests that other instances send through this one, and only
	// connections of instances must reach it. Default: none are accepted.
	Relay string `yaml:"relay" validate:"omitempty,hostname_port"`
	// Metrics serves the metrics. Default: none.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// ReadSettings reads and checks a settings file. Errors: *settings.Error.
func ReadSettings(file string) (*Settings, error) {
	var s Settings
	if err := settings.Read(file, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// DecodeSettings decodes and checks the content of a settings file. Errors:
// *settings.Error.
func DecodeSettings(file string, content []byte) (*Settings, error) {
	var s Settings
	if err := settings.Decode(file, content, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// lifetime returns Lifetime as a duration.
func (s *Settings) lifetime() time.Duration { return seconds(s.Lifetime) }

// grace returns Grace as a duration.
func (s *Settings) grace() time.Duration { return seconds(s.Grace) }

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
