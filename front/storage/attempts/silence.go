package attempts

import (
	"sync"
	"time"
)

// silence tells whether the store answers.
type silence struct {
	mu      sync.Mutex
	heardAt time.Time
	isOn    bool
	// started is signalled when the silence begins.
	started chan struct{}
}

func newSilence() *silence { return &silence{started: make(chan struct{}, 1)} }

func (s *silence) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOn
}

// heard notes an answer.
func (s *silence) heard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = now
	s.isOn = false
}

// begin declares the store silent, unless it has answered something since a
// time. It tells whether the store is silent.
func (s *silence) begin(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt.After(since) {
		return false
	}
	s.isOn = true
	select {
	case s.started <- struct{}{}:
	default:
	}
	return true
}
