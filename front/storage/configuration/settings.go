package configuration

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/generation"
	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// Settings of a Watcher.
type Settings struct {
	// Environment names the environment.
	Environment string
	// Location is where the instance runs.
	Location generation.Location
	// PeerAddr is the address at which other instances reach this one.
	PeerAddr string
	// Generation holds the limits of what may be trusted.
	Generation generation.Settings
	// Relay holds the limits of the trees by which instances learn from the
	// readers of their failure domain.
	Relay relay.Settings
	// RefreshPeriod is the time from the start of one read of the head row, or of one
	// question to the parents, to the start of the next.
	RefreshPeriod time.Duration
	// ReadSoftTimeout is the age at which a read counts as failed. Its answer is
	// still taken in when it comes later.
	ReadSoftTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultRefreshPeriod   = time.Second
	DefaultReadSoftTimeout = 900 * time.Millisecond
)

// Limits of a watcher's calls.
const (
	readTimeout     = 4 * time.Second
	loadTimeout     = 4 * time.Second
	peerCallTimeout = time.Second
	intervalJitter  = 0.1
	// Waits grow by this factor while the store is silent, up to this many
	// periods. With Unanswered it stays well under generation.Settings.MaxGap.
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
