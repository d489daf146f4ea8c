package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"
)

// LogSettings sets the level and format of a process's log.
type LogSettings struct {
	// Level is the least severe level that is logged: debug, info, warning or
	// error. Default: info.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warning error"`
	// Format is text or json. Default: text.
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
}

// NewLog returns a logger that writes to w. Each package that logs adds its own
// constant "prefix" field. Errors: an unknown level.
func NewLog(s LogSettings, w io.Writer) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(w)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	if s.Level == "" {
		return log, nil
	}
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	return log, nil
}
