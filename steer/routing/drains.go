package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// moveWithin is the part of a drain's time in which all new requests have moved
// away; the rest is left for those that still run.
const moveWithin = 0.8

// MovedShare returns the part of a region's requests, 0 to 1, that goes to
// other regions while it is drained from one time until a deadline. It grows
// evenly, so that the caches of the receivers can warm up. After the deadline
// the region stays out of service.
func MovedShare(from, deadline, now time.Time) float64 {
	if now.Before(from) {
		return 0
	}
	moving := moveWithin * float64(deadline.Sub(from))
	if moving <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(from))/moving)
}

// Moves reports whether the request with the given identifier is among the
// given share of all requests. The same identifier always gives the same
// answer for a share, and a larger share keeps those of a smaller one.
func Moves(id string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String(id)%resolution) < share*resolution
}
