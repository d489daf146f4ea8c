package crash

import "time"

// recentAnswers remembers which requests got a response of late. An end that
// another instance reports later may have been observed before.
type recentAnswers struct {
	current, previous map[Fingerprint]time.Time
	began             time.Time // of the current generation
}

// add records a response.
func (a *recentAnswers) add(now time.Time, f Fingerprint) {
	if a.current == nil || len(a.current) >= maxRecentAnswers || now.Sub(a.began) > answerGeneration {
		a.previous, a.current, a.began = a.current, make(map[Fingerprint]time.Time), now
	}
	a.current[f] = now
}

// at returns when a request last got a response.
func (a *recentAnswers) at(f Fingerprint) (time.Time, bool) {
	if at, ok := a.current[f]; ok {
		return at, true
	}
	at, ok := a.previous[f]
	return at, ok
}
