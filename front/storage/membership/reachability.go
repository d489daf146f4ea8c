package membership

import "time"

// unreachableAfter is how long a member answers nothing, while it is asked, before it
// counts as silent.
const unreachableAfter = 3 * time.Second

// peerReachability is which members answer while the table is silent. Only then are they
// asked.
type peerReachability struct {
	probingSince time.Time // when the asking began; zero while nobody is asked
	lastAnswer   map[string]time.Time
}

// setProbing notes whether members are asked at now.
func (r *peerReachability) setProbing(now time.Time, probing bool) {
	switch {
	case !probing:
		*r = peerReachability{}
	case r.probingSince.IsZero():
		*r = peerReachability{probingSince: now, lastAnswer: make(map[string]time.Time)}
	}
}

// recordAnswer notes an answer to a question asked at a time.
func (r *peerReachability) recordAnswer(member string, sentAt time.Time) {
	if r.lastAnswer != nil && sentAt.After(r.lastAnswer[member]) {
		r.lastAnswer[member] = sentAt
	}
}

// unreachable says that a member has been asked for long and has not answered lately.
func (r *peerReachability) unreachable(member string, now time.Time) bool {
	if r.probingSince.IsZero() || now.Sub(r.probingSince) < unreachableAfter {
		return false
	}
	return now.Sub(r.lastAnswer[member]) >= unreachableAfter
}
