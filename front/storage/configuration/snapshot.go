package configuration

import (
	"time"

	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Snapshot is what an instance knows at one moment. It is immutable.
type Snapshot struct {
	// Head is the generation that is followed; zero before the first.
	Head generation.Head
	// Index holds the document's look-ups; nil before the first generation.
	Index *document.Index
	// Ready says that the instance may serve.
	Ready bool
	// FreshUntil is when the knowledge becomes stale, on the instance's own
	// clock; the zero time when nothing is known.
	FreshUntil time.Time

	content []byte
}

// Fresh says whether the knowledge may be trusted at now.
func (s *Snapshot) Fresh(now time.Time) bool { return now.Before(s.FreshUntil) }
