package configuration

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/generation"
	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// Settings configures a Watcher.
type Settings struct {
	// Environment is the environment whose document is followed.
	Environment string
	// Location is where the instance runs.
	Location generation.Location
	// PeerAddr is the address at which peers reach this instance.
	PeerAddr string
	// Generation configures how long observed heads are trusted.
	Generation generation.Settings
	// Relay configures the trees that relay reports from the readers of a
	// failure domain to its other instances.
	Relay relay.Settings
	// RefreshPeriod is the time from the start of one refresh (a read of the
	// head row or a poll of the parents) to the start of the next.
	RefreshPeriod time.Duration
	// ReadSoftTimeout is the time after which a read counts as failed. A
	// response that arrives later is still used.
	ReadSoftTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultRefreshPeriod   = time.Second
	DefaultReadSoftTimeout = 900 * time.Millisecond
)

// Timeouts of a watcher's calls and parameters of its refresh interval.
const (
	readTimeout     = 4 * time.Second
	loadTimeout     = 4 * time.Second
	peerCallTimeout = time.Second
	storeLoadTime   = time.Second // from the request for a document to its adoption
	intervalJitter  = 0.1
	// The refresh interval grows by this factor while the store does not
	// respond, up to this many periods. Together with ReadSoftTimeout it stays
	// well under generation.Settings.MaxReadGap.
	intervalGrowth     = 1.1
	maxIntervalPeriods = 1.25
)

// DefaultSettings returns the defaults for an instance whose store runs in
// storeRegion.
func DefaultSettings(environment string, location generation.Location, peerAddr, storeRegion string) Settings {
	return Settings{
		Environment:     environment,
		Location:        location,
		PeerAddr:        peerAddr,
		Generation:      generation.DefaultSettings(storeRegion),
		Relay:           relay.DefaultSettings(),
		RefreshPeriod:   DefaultRefreshPeriod,
		ReadSoftTimeout: DefaultReadSoftTimeout,
	}
}
