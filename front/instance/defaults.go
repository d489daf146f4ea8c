package instance

import "time"

// Defaults of the settings.
const (
	defaultHeaderTimeout   = 5 * time.Second
	defaultMaxHeader       = 64 << 10 // bytes
	defaultDialTimeout     = time.Second
	defaultPlatformTimeout = 4 * time.Second
	defaultAnnounce        = 35 * time.Second
	defaultDrain           = 60 * time.Second
)
