package instance

import "time"

// Default values of the settings file.
const (
	defaultHeaderTimeout   = 5 * time.Second
	defaultMaxHeader       = 64 << 10 // bytes
	defaultDialTimeout     = time.Second
	defaultPlatformTimeout = 4 * time.Second
	defaultAnnounce        = 35 * time.Second
	defaultDrain           = 60 * time.Second
)
