package configuration

import (
	"fmt"

	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// NotFollowedError says that an instance refused a head.
type NotFollowedError struct {
	// Offered is the head that was refused.
	Offered generation.Head
	// Current is the head that the instance follows.
	Current generation.Head
}

// Error implements error.
func (e *NotFollowedError) Error() string {
	return fmt.Sprintf("generation %d (%s) is not followed; generation %d (%s) is",
		e.Offered.Generation, e.Offered.Digest, e.Current.Generation, e.Current.Digest)
}
