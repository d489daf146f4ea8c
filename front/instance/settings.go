package instance

import (
	"errors"
	"fmt"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// Settings are the fixed settings of one instance. They are read once at the
// start; what operators change while instances run stands in the document.
type Settings struct {
	// Environment names the environment whose document is served. Required.
	Environment string `yaml:"environment" validate:"required"`
	// Region is the instance's region. Required.
	Region string `yaml:"region" validate:"required"`
	// FailureDomain is the instance's failure domain. Required.
	FailureDomain string `yaml:"failureDomain" validate:"required"`
	// Callers is the listener for callers.
	Callers CallerSettings `yaml:"callers"`
	// Peers is the listener for other instances and the way to them.
	Peers PeerSettings `yaml:"peers"`
	// Operators is the listener for operators.
	Operators OperatorSettings `yaml:"operators"`
	// StaleKeys says what happens to requests with a key while the instance
	// can't know whether the key was withdrawn: refuse or serve. Default:
	// refuse.
	StaleKeys configuration.StaleKeys `yaml:"staleKeys" validate:"oneof=refuse serve"`
	// Platform is the way to the platform's service.
	Platform PlatformSettings `yaml:"platform"`
	// Stop bounds a planned stop.
	Stop StopSettings `yaml:"stop"`
	// Log says what is logged and how.
	Log telemetry.LogSettings `yaml:"log"`
}

// CallerSettings is the listener for callers.
type CallerSettings struct {
	// Listen is the IP address and port to listen on. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// URL is the base address that callers are told. Required.
	URL string `yaml:"url" validate:"required,http_url"`
	// Certificate and PrivateKey are PEM files. With both empty, callers are
	// served in plain HTTP. Default: empty.
	Certificate string `yaml:"certificate" validate:"required_with=PrivateKey"`
	// PrivateKey is the PEM file of the certificate's key. Default: empty.
	PrivateKey string `yaml:"privateKey" validate:"required_with=Certificate"`
	// HeaderTimeout is how long a request's header may take. Default: 5s.
	HeaderTimeout document.Duration `yaml:"headerTimeout" validate:"gt=0"`
	// MaxHeader bounds a request's header. Default: 64KiB.
	MaxHeader document.Size `yaml:"maxHeader" validate:"gt=0"`
}

// PeerSettings is the listener for other instances and the way to them.
type PeerSettings struct {
	// Listen is the IP address and port to listen on; other instances are told
	// the same address. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Certificate, PrivateKey and Authority are PEM files for mutual TLS. With
	// all empty, Listen must be a loopback address. Default: empty.
	Certificate string `yaml:"certificate" validate:"required_with=PrivateKey Authority"`
	// PrivateKey is the PEM file of the certificate's key. Default: empty.
	PrivateKey string `yaml:"privateKey" validate:"required_with=Certificate Authority"`
	// Authority is the PEM file of the authority that signs the instances'
	// certificates. Default: empty.
	Authority string `yaml:"authority" validate:"required_with=Certificate PrivateKey"`
	// Relay is the IP address and port at which other instances hand over
	// requests for endpoints in this region, under the same certificates.
	// Default: empty, no requests are relayed.
	Relay string `yaml:"relay" validate:"omitempty,hostname_port"`
	// Seeds are peer addresses of instances to ask while the platform is
	// silent and no other instance is known yet. Default: empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// DialTimeout bounds the making of a connection. Default: 1s.
	DialTimeout document.Duration `yaml:"dialTimeout" validate:"gt=0"`
}

// OperatorSettings is the listener for operators.
type OperatorSettings struct {
	// Listen is the IP address and port to listen on. Required.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
}

// PlatformSettings is the way to the platform's service.
type PlatformSettings struct {
	// URL is the base address of the service. Required.
	URL string `yaml:"url" validate:"required,http_url"`
	// Region is the region that the service is in. Required.
	Region string `yaml:"region" validate:"required"`
	// Timeout bounds one call. Default: 4s.
	Timeout document.Duration `yaml:"timeout" validate:"gt=0"`
}

// StopSettings bounds a planned stop.
type StopSettings struct {
	// Announce is how long the instance goes on serving after it has announced
	// its leaving. It covers the lifetime of entry answers. Default: 35s.
	Announce document.Duration `yaml:"announce"`
	// Drain bounds the wait for requests that are under way. Default: 60s.
	Drain document.Duration `yaml:"drain" validate:"gt=0"`
}

// SettingsError is a fault in the settings file. Its text names file, line and
// column.
type SettingsError struct {
	// File is the path as given.
	File string
	// Line and Column count from 1; both are 0 when the fault has no place.
	Line, Column int
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *SettingsError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// DefaultSettings returns the settings that a file starts from.
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

// ReadSettings reads and checks a settings file. Errors: *SettingsError.
func ReadSettings(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingsError{File: file, Message: err.Error()}
	}
	return DecodeSettings(file, content)
}

// DecodeSettings decodes and checks the content of a settings file. Unknown
// fields and missing units are errors. Errors: *SettingsError.
func DecodeSettings(file string, content []byte) (*Settings, error) {
	s := DefaultSettings()
	check := validator.New(validator.WithRequiredStructEnabled())
	err := yaml.UnmarshalWithOptions(content, &s, yaml.Strict(), yaml.Validator(check))
	if err != nil {
		return nil, settingsError(file, err)
	}
	// The decoder does not check what an empty file or section leaves unset.
	if err := check.Struct(&s); err != nil {
		return nil, settingsError(file, err)
	}
	return &s, nil
}

// settingsError gives a decoder's error its place in the file.
func settingsError(file string, err error) *SettingsError {
	var unit *document.Error
	if errors.As(err, &unit) {
		return &SettingsError{File: file, Line: unit.Line, Column: unit.Column, Message: unit.Message}
	}
	placed, ok := err.(yaml.Error) //nolint:errorlint // the decoder returns it unwrapped
	if !ok {
		return &SettingsError{File: file, Message: err.Error()}
	}
	e := &SettingsError{File: file, Message: placed.GetMessage()}
	if token := placed.GetToken(); token != nil {
		e.Line = token.Position.Line
		e.Column = token.Position.Column
	}
	return e
}
