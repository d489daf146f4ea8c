package generation

import "time"

// Defaults of Settings.
const (
	DefaultStaleAfter     = 4500 * time.Millisecond
	DefaultMaxReadGap     = 3 * time.Second
	DefaultConfirmDomains = 2
)

// Location identifies an instance and where it runs.
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
	// StaleAfter is the age at which an instance's knowledge is stale.
	StaleAfter time.Duration
	// MaxReadGap is the longest time between the starts of two failed reads
	// for which the store counts as unavailable throughout. It exceeds a
	// read's period plus its timeout.
	MaxReadGap time.Duration
	// ConfirmDomains is the number of failure domains whose instances must
	// agree before an instance becomes ready without the store, or extends its
	// knowledge during a store outage.
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
