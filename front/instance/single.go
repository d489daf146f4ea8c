package instance

import (
	"time"

	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/platform/configuration"
	"github.com/cardamomfront/cardamomfront/steer/health"
)

// noPeers is the directory of an instance that knows no other.
type noPeers struct{}

// Peers implements configuration.Directory.
func (noPeers) Peers() []configuration.Peer { return nil }

// onlySelf tells callers to use this instance.
type onlySelf struct{ settings *Settings }

// Entries implements caller.EntrySource.
func (o onlySelf) Entries(time.Time, string) []caller.Entry {
	return []caller.Entry{{URL: o.settings.Callers.URL, Region: o.settings.Region}}
}

// ignoreOutcomes is an observer of endpoints that keeps nothing.
type ignoreOutcomes struct{}

// Observe implements endpoint.Observer.
func (ignoreOutcomes) Observe(string, health.Outcome, time.Duration) {}
