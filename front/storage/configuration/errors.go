package configuration

import (
	"fmt"

	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// HeadRefusedError is returned when an instance does not follow a head that was
// sent to it.
type HeadRefusedError struct {
	// Offered is the head that was refused.
	Offered generation.Head
	// Current is the head that the instance follows instead.
	Current generation.Head
}

// Error implements error.
func (e *HeadRefusedError) Error() string {
	return fmt.Sprintf("generation %d (%s) is not followed; generation %d (%s) is",
		e.Offered.Generation, e.Offered.Digest, e.Current.Generation, e.Current.Digest)
}
