package command

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cardamomfront/cardamomfront/front/operator"
	"github.com/cardamomfront/cardamomfront/front/operator/shiftcmd"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/document"
)

// Exit codes of the tool.
const (
	ExitDone            = 0 // success
	ExitFailed          = 1 // any other failure; nothing was changed
	ExitUsage           = 2 // invalid command line or settings
	ExitInvalidDocument = 3 // the document is invalid; nothing was changed
	ExitConflict        = 4 // another promotion came first; nothing was changed
	ExitUnknown         = 5 // the change may or may not be in force
	ExitStragglers      = 6 // the change is in force, but not confirmed by every instance
	ExitRolledBack      = 7 // the watched shift or drain was rolled back
)

// UsageError is returned for an invalid command line or setting.
type UsageError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// StragglersError is returned if instances have not confirmed a generation.
type StragglersError struct {
	// Generation is the generation in force.
	Generation uint64
	// Instances are the names and addresses of instances that may still serve
	// an older generation.
	Instances []string
}

// Error implements error.
func (e *StragglersError) Error() string {
	return fmt.Sprintf("generation %d is in force, but not confirmed by: %s", e.Generation, strings.Join(e.Instances, ", "))
}

// ExitCode returns the exit code for an error that a command returned.
func ExitCode(err error) int {
	var (
		usage            *UsageError
		invalid          *document.Error
		wrongEnvironment *configuration.EnvironmentError
		withdrawn        *configuration.WithdrawnError
		conflict         *configuration.ConflictError
		unknown          *configuration.UnknownOutcomeError
		stragglers       *StragglersError
		notFound         *operator.NotFoundError
		noMovement       *shiftcmd.NotFoundError
		rolledBack       *shiftcmd.RolledBackError
	)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &rolledBack):
		return ExitRolledBack
	case errors.As(err, &usage), errors.As(err, &notFound), errors.As(err, &noMovement):
		return ExitUsage
	case errors.As(err, &invalid), errors.As(err, &wrongEnvironment), errors.As(err, &withdrawn):
		return ExitInvalidDocument
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &stragglers):
		return ExitStragglers
	default:
		return ExitFailed
	}
}
