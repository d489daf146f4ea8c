package routing

import "github.com/cespare/xxhash/v2"

// InShare reports whether the request with the given identifier belongs to the
// given share of all requests. The result is deterministic, and a larger share
// contains every smaller one.
func InShare(id string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String(id)%resolution) < share*resolution
}
