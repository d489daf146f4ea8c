package instance

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// ignoreOutcomes is an observer of endpoints that keeps nothing.
type ignoreOutcomes struct{}

// Observe implements endpoint.Observer.
func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}
