package slots

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

const (
	// DefaultGuard is added to a grant's duration. It covers the time that a
	// cancellation takes to reach the endpoint and the drift between two
	// clocks.
	DefaultGuard = 500 * time.Millisecond
	// DefaultLongestGrant is the longest duration of a grant, without its
	// guard.
	DefaultLongestGrant = time.Minute
)

// Settings are a broker's settings.
type Settings struct {
	// Guard is added to the duration of each grant.
	Guard time.Duration
	// LongestGrant is the longest duration of a grant. Instances shorten
	// requests with later deadlines to it.
	LongestGrant time.Duration
	// Health holds the rules for the endpoints' health.
	Health health.EndpointRules
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Guard: DefaultGuard, LongestGrant: DefaultLongestGrant, Health: health.DefaultEndpointRules()}
}
