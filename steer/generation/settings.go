package generation

import "time"

// Defaults of Settings.
const (
	DefaultStaleAfter     = 4500 * time.Millisecond
	DefaultMaxReadGap     = 3 * time.Second
	DefaultConfirmDomains = 2
)

// Location says where an instance runs.
type Location struct {
	// Instance is the instance's name, new for every process.
	Instance string `json:"instance"`
	// Region is the instance's region.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"failureDomain"`
}

// Settings are the limits of a Tracker.
type Settings struct {
	// StoreRegion is the region that the store runs in.
	StoreRegion string
	// StaleAfter is the age at which knowledge is stale.
	StaleAfter time.Duration
	// MaxReadGap is the longest time between two reads of the store that are taken
	// together: with both failed, the store counts as silent in between. It
	// is more than a read's period and timeout together.
	MaxReadGap time.Duration
	// ConfirmDomains is the number of failure domains whose instances must
	// agree before an instance becomes ready without the store, or goes on
	// while the store is silent.
	ConfirmDomains int
}

// DefaultSettings returns the defaults for a store in the given region.
func DefaultSettings(storeRegion string) Settings {
	return Settings{
		StoreRegion:    storeRegion,
		StaleAfter:     DefaultStaleAfter,
		MaxReadGap:     DefaultMaxReadGap,
		ConfirmDomains: DefaultConfirmDomains,
	}
}
