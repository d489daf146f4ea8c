package configuration

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Snapshot is an instance's view of the configuration at one time. It is
// immutable.
type Snapshot struct {
	// Head is the head that the instance follows; zero before the first.
	Head generation.Head
	// Index is the compiled document; nil before the first generation.
	Index *document.Index
	// Ready reports whether the instance may serve.
	Ready bool
	// FreshUntil is when the snapshot becomes stale, on the local clock; zero
	// if nothing is known yet.
	FreshUntil time.Time

	content []byte
}

// Fresh reports whether the snapshot may be trusted at now.
func (s *Snapshot) Fresh(now time.Time) bool { return now.Before(s.FreshUntil) }
