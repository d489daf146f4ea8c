package configuration

import (
	"fmt"

	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// HeadRefusedError says that an instance refused a head.
type HeadRefusedError struct {
	// Offered is the head that was refused.
	Offered generation.Head
	// Current is the head that the instance follows.
	Current generation.Head
}

// Error implements error.
func (e *HeadRefusedError) Error() string {
	return fmt.Sprintf("generation %d (%s) is not followed; generation %d (%s) is",
		e.Offered.Generation, e.Offered.Digest, e.Current.Generation, e.Current.Digest)
}
