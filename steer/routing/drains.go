package routing

import "github.com/cespare/xxhash/v2"

// InShare reports whether the request with the given identifier is among the
// given share of all requests. The same identifier always gives the same
// answer for a share, and a larger share keeps those of a smaller one.
func InShare(id string, share float64) bool {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String(id)%resolution) < share*resolution
}
