package instance

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// ignoreOutcomes is an endpoint.Observer that discards all outcomes.
type ignoreOutcomes struct{}

// Observe implements endpoint.Observer.
func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}
