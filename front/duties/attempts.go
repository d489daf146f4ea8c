package duties

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// countInterval is the time between two looks for attempts that are counted before
// they end.
const countInterval = 250 * time.Millisecond

// Attempt is an attempt of a request at an endpoint. It is counted once. A nil Attempt
// is not counted.
type Attempt struct {
	attempts *attempts
	team     string
	start    time.Time
	begins   time.Time // when the endpoint is expected to begin to run it
	sentAt   atomic.Pointer[time.Time]

	// Guarded by the mu of attempts.
	counted    bool
	prev, next *Attempt
}

// attempts are the attempts that have not ended and are not counted, in the order of
// their starts.
type attempts struct {
	length time.Duration
	count  func(began time.Time, team string)

	mu          sync.Mutex
	first, last *Attempt
	notRun      int64 // attempts that were counted and have not run
}

func newAttempts(length time.Duration, count func(began time.Time, team string)) *attempts {
	return &attempts{length: length, count: count}
}

// add adds an attempt that starts now.
func (s *attempts) add(begins time.Time, team string) *Attempt {
	a := &Attempt{attempts: s, team: team, begins: begins}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.start, a.prev = time.Now(), s.last
	if s.last == nil {
		s.first = a
	} else {
		s.last.next = a
	}
	s.last = a
	return a
}

// remove removes an attempt. The caller holds mu.
func (s *attempts) remove(a *Attempt) {
	if a.prev == nil {
		s.first = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		s.last = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.prev, a.next = nil, nil
}

// countLong counts the attempts that are due to be counted although they have not
// ended.
func (s *attempts) countLong(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := s.first; a != nil && now.Sub(a.start) >= usage.LongAttempt; {
		next := a.next
		if sentAt := a.sentAt.Load(); sentAt != nil && !now.Before(usage.CountAt(*sentAt, a.begins, s.length)) {
			a.counted = true
			s.remove(a)
			s.count(a.begins, a.team)
		}
		a = next
	}
}

// Sent records that the request is being sent on a connection.
func (a *Attempt) Sent() {
	if a != nil {
		now := time.Now()
		a.sentAt.Store(&now)
	}
}

// End ends the attempt and counts it if it may have run and has not been counted.
func (a *Attempt) End(mayHaveRun bool) {
	if a == nil {
		return
	}
	s := a.attempts
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.counted {
		if !mayHaveRun {
			s.notRun++
		}
		return
	}
	s.remove(a)
	a.counted = true
	if !mayHaveRun {
		return
	}
	began := a.begins
	if now := time.Now(); now.Before(began) {
		began = now
	}
	s.count(began, a.team)
}

// notRunCount returns how many attempts were counted although they have not run.
func (s *attempts) notRunCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notRun
}
