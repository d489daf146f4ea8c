package attempts

import (
	"sync"
	"time"
)

// storeHealth tracks whether the store answers.
type storeHealth struct {
	mu         sync.Mutex
	answeredAt time.Time
	down       bool
	// wentDown is signaled when the store is marked unavailable.
	wentDown chan struct{}
}

func newStoreHealth() *storeHealth { return &storeHealth{wentDown: make(chan struct{}, 1)} }

func (s *storeHealth) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// recordAnswer records an answer of the store, which ends an outage.
func (s *storeHealth) recordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
	s.down = false
}

// markUnavailable marks the store unavailable unless it has answered after
// since. It reports whether the store was marked.
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
