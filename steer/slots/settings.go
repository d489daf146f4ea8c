package slots

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

const (
	// DefaultGuard is added to a grant's bound. It covers the transit of a
	// cancellation to the endpoint and the difference in rate of two clocks.
	DefaultGuard = 500 * time.Millisecond
	// DefaultLongestGrant is the longest bound of a grant without its guard.
	DefaultLongestGrant = time.Minute
)

// Settings are a broker's settings.
type Settings struct {
	// Guard is added to the bound of each grant.
	Guard time.Duration
	// LongestGrant bounds the grants. Requests with later deadlines are cut
	// to it by the instances.
	LongestGrant time.Duration
	// Health says how outcomes move an endpoint's state.
	Health health.EndpointRules
}

// DefaultSettings returns the settings used when nothing else is said.
func DefaultSettings() Settings {
	return Settings{Guard: DefaultGuard, LongestGrant: DefaultLongestGrant, Health: health.DefaultEndpointRules()}
}
