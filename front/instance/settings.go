package instance

import (
	"github.com/cardamomfront/cardamomfront/front/settings"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// Settings are the static settings of one instance, read once at the start.
// What operators change while instances run is in the document instead.
type Settings struct {
	// Environment names the environment whose document is served. Required.
	Environment string `yaml:"environment" validate:"required"`
	// Region is the instance's region. Required.
	Region string `yaml:"region" validate:"required"`
	// FailureDomain is the instance's failure domain. Required.
	FailureDomain string `yaml:"failureDomain" validate:"required"`
	// Callers is the listener for callers.
	Callers CallerSettings `yaml:"callers"`
	// Peers is the listener for other instances and how to connect to them.
	Peers PeerSettings `yaml:"peers"`
	// Operators is the listener for operators.
	Operators OperatorSettings `yaml:"operators"`
	// StaleKeys selects how requests with a key are handled while the instance
	// can't know whether the key was withdrawn: refuse or serve. Default:
	// refuse.
	StaleKeys configuration.StaleKeyPolicy `yaml:"staleKeys" validate:"oneof=refuse serve"`
	// Platform is how to connect to the platform's service.
	Platform PlatformSettings `yaml:"platform"`
	// Stop sets the times of a planned stop.
	Stop StopSettings `yaml:"stop"`
	// Log sets the level and format of the log.
	Log telemetry.LogSettings `yaml:"log"`
}

// CallerSettings is the listener for callers.
type CallerSettings struct {
	// Listen is the IP address and port to listen on. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// URL is the base address that is given to callers. Required.
	URL string `yaml:"url" validate:"required,http_url"`
	// Certificate and PrivateKey are PEM files. If both are empty, callers are
	// served over plain HTTP. Default: empty.
	Certificate string `yaml:"certificate" validate:"required_with=PrivateKey"`
	// PrivateKey is the PEM file of the certificate's key. Default: empty.
	PrivateKey string `yaml:"privateKey" validate:"required_with=Certificate"`
	// HeaderTimeout bounds the reading of a request's header. Default: 5s.
	HeaderTimeout document.Duration `yaml:"headerTimeout" validate:"gt=0"`
	// MaxHeader bounds the size of a request's header. Default: 64KiB.
	MaxHeader document.Size `yaml:"maxHeader" validate:"gt=0"`
}

// PeerSettings is the listener for other instances and how to connect to them.
type PeerSettings struct {
	// Listen is the IP address and port to listen on. The same address is
	// announced to the other instances. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Certificate, PrivateKey and Authority are PEM files for mutual TLS. If
	// all are empty, Listen must be a loopback address. Default: empty.
	Certificate string `yaml:"certificate" validate:"required_with=PrivateKey Authority"`
	// PrivateKey is the PEM file of the certificate's key. Default: empty.
	PrivateKey string `yaml:"privateKey" validate:"required_with=Certificate Authority"`
	// Authority is the PEM file of the authority that signs the instances'
	// certificates. Default: empty.
	Authority string `yaml:"authority" validate:"required_with=Certificate PrivateKey"`
	// Relay is the IP address and port on which other instances relay requests
	// for endpoints in this region. It uses the same certificates as Listen.
	// Default: empty, no requests are relayed.
	Relay string `yaml:"relay" validate:"omitempty,hostname_port"`
	// Seeds are peer addresses of instances from which the instance reads the
	// configuration while the platform does not respond and no other instance
	// is known yet. Default: empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// DialTimeout bounds the opening of a connection. Default: 1s.
	DialTimeout document.Duration `yaml:"dialTimeout" validate:"gt=0"`
}

// OperatorSettings is the listener for operators.
type OperatorSettings struct {
	// Listen is the IP address and port to listen on. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
}

// PlatformSettings is how to connect to the platform's service.
type PlatformSettings struct {
	// URL is the base address of the service. Required.
	URL string `yaml:"url" validate:"required,http_url"`
	// Region is the region that the service is in. Required.
	Region string `yaml:"region" validate:"required"`
	// Timeout bounds one call. Default: 4s.
	Timeout document.Duration `yaml:"timeout" validate:"gt=0"`
}

// StopSettings sets the times of a planned stop.
type StopSettings struct {
	// Announce is how long the instance keeps serving in a planned stop,
	// counted from the start of the announcement. It must cover the lifetime of
	// the entry lists that callers hold. Default: 35s.
	Announce document.Duration `yaml:"announce"`
	// Drain bounds the wait for requests in flight. Default: 60s.
	Drain document.Duration `yaml:"drain" validate:"gt=0"`
}

// DefaultSettings returns the defaults that a settings file is decoded over.
func DefaultSettings() Settings {
	return Settings{
		Callers: CallerSettings{
			HeaderTimeout: document.Duration(defaultHeaderTimeout),
			MaxHeader:     defaultMaxHeader,
		},
		Peers:     PeerSettings{DialTimeout: document.Duration(defaultDialTimeout)},
		StaleKeys: configuration.RefuseStale,
		Platform:  PlatformSettings{Timeout: document.Duration(defaultPlatformTimeout)},
		Stop: StopSettings{
			Announce: document.Duration(defaultAnnounce),
			Drain:    document.Duration(defaultDrain),
		},
	}
}

// ReadSettings reads, decodes and validates a settings file. Errors:
// *settings.Error.
func ReadSettings(file string) (*Settings, error) {
	s := DefaultSettings()
	if err := settings.Read(file, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// DecodeSettings decodes and validates the content of a settings file. Unknown
// fields and values without a unit are errors. Errors: *settings.Error.
func DecodeSettings(file string, content []byte) (*Settings, error) {
	s := DefaultSettings()
	if err := settings.Decode(file, content, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
