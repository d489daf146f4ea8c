package attempts

import (
	"sync"
	"time"
)

// storeHealth tracks whether the store is available.
type storeHealth struct {
	mu          sync.Mutex
	respondedAt time.Time
	down        bool
	// wentDown is signaled when the store is marked unavailable.
	wentDown chan struct{}
}

func newStoreHealth() *storeHealth { return &storeHealth{wentDown: make(chan struct{}, 1)} }

func (s *storeHealth) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// recordResponse records a response of the store, which ends an outage.
func (s *storeHealth) recordResponse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respondedAt = now
	s.down = false
}

// markUnavailable marks the store unavailable unless it has responded after
// since. It reports whether the store was marked.
func (s *storeHealth) markUnavailable(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.respondedAt.After(since) {
		return false
	}
	s.down = true
	select {
	case s.wentDown <- struct{}{}:
	default:
	}
	return true
}
