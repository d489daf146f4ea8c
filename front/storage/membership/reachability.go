package membership

import "time"

// unreachableAfter is how long a probed member may fail to answer before it
// counts as silent.
const unreachableAfter = 3 * time.Second

// peerReachability records which members answer probes. Members are probed only
// while the lease can't be renewed in the table.
type peerReachability struct {
	probingSince time.Time // start of the probing; zero if members are not probed
	lastAnswer   map[string]time.Time
}

// setProbing records whether members are being probed. The end of probing
// clears the recorded answers.
func (r *peerReachability) setProbing(now time.Time, probing bool) {
	switch {
	case !probing:
		*r = peerReachability{}
	case r.probingSince.IsZero():
		*r = peerReachability{probingSince: now, lastAnswer: make(map[string]time.Time)}
	}
}

// recordAnswer records an answer to a probe that was sent at sentAt.
func (r *peerReachability) recordAnswer(member string, sentAt time.Time) {
	if r.lastAnswer != nil && sentAt.After(r.lastAnswer[member]) {
		r.lastAnswer[member] = sentAt
	}
}

// unreachable reports whether a member has been probed for at least
// unreachableAfter and has not answered within that time.
func (r *peerReachability) unreachable(member string, now time.Time) bool {
	if r.probingSince.IsZero() || now.Sub(r.probingSince) < unreachableAfter {
		return false
	}
	return now.Sub(r.lastAnswer[member]) >= unreachableAfter
}
