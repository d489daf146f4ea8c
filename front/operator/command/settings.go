package command

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

// Settings of the tool. They are read from a YAML file; flags override them.
type Settings struct {
	// Platform is the base address of the platform's service, such as
	// "http://127.0.0.1:7000". Required.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// Environment is the name of the environment. Required.
	Environment string `yaml:"environment" validate:"required"`
	// Operator is the name under which changes are recorded. Defaults to the
	// environment variable USER.
	Operator string `yaml:"operator" validate:"required"`
	// Instances are additional operator listeners, besides those of the
	// instances that have a row in the table.
	Instances []string `yaml:"instances" validate:"dive,hostname_port"`
}

// flags are the flags shared by all commands.
type flags struct {
	file     string
	settings Settings
	output   string
	timeout  time.Duration
}

const defaultTimeout = 20 * time.Second

// addTo adds the shared flags to a command.
func (f *flags) addTo(cmd *cobra.Command) {
	set := cmd.PersistentFlags()
	set.StringVar(&f.file, "settings", "", "YAML file with platform, environment, operator, instances")
	set.StringVar(&f.settings.Platform, "platform", "", "base address of the platform's service")
	set.StringVar(&f.settings.Environment, "environment", "", "name of the environment")
	set.StringVar(&f.settings.Operator, "operator", "", "who acts (default $USER)")
	set.StringSliceVar(&f.settings.Instances, "instance", nil, "further operator listeners, host:port")
	set.StringVar(&f.output, "output", outputText, "form of the output: text or json")
	set.DurationVar(&f.timeout, "timeout", defaultTimeout, "time allowed for the whole command")
}

// resolve merges the settings file and the flags and validates the result.
func (f *flags) resolve() (Settings, error) {
	var s Settings
	if f.file != "" {
		content, err := os.ReadFile(f.file)
		if err != nil {
			return s, &UsageError{Err: err}
		}
		decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
		if err := decoder.Decode(&s); err != nil {
			return s, &UsageError{Err: withPosition(f.file, err)}
		}
	}
	override(&s.Platform, f.settings.Platform)
	override(&s.Environment, f.settings.Environment)
	override(&s.Operator, f.settings.Operator)
	if s.Operator == "" {
		s.Operator = os.Getenv("USER")
	}
	s.Instances = append(s.Instances, f.settings.Instances...)
	return s, checkSettings(s)
}

func override(value *string, flag string) {
	if flag != "" {
		*value = flag
	}
}

// withPosition adds file, line and column to an error of the YAML library.
func withPosition(file string, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		at := yamlErr.GetToken().Position
		return fmt.Errorf("%s:%d:%d: %s", file, at.Line, at.Column, yamlErr.GetMessage())
	}
	return fmt.Errorf("%s: %w", file, err)
}

func checkSettings(s Settings) error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		first := invalid[0]
		return &UsageError{Err: fmt.Errorf("setting %s: %q does not meet %q", first.Field(), first.Value(), first.Tag())}
	}
	return err
}
