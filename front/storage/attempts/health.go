package attempts

import (
	"sync"
	"time"
)

// storeHealth tells whether the store answers.
type storeHealth struct {
	mu         sync.Mutex
	answeredAt time.Time
	down       bool
	// wentDown is signalled when the silence begins.
	wentDown chan struct{}
}

func newStoreHealth() *storeHealth { return &storeHealth{wentDown: make(chan struct{}, 1)} }

func (s *storeHealth) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// recordAnswer notes an answer.
func (s *storeHealth) recordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
	s.down = false
}

// markUnavailable declares the store silent, unless it has answered something since a
// time. It tells whether the store is silent.
func (s *storeHealth) markUnavailable(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(since) {
		return false
	}
	s.down = true
	select {
	case s.wentDown <- struct{}{}:
	default:
	}
	return true
}
