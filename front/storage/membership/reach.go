package membership

import "time"

// unreached is how long a member answers nothing, while it is asked, before it
// counts as silent.
const unreached = 3 * time.Second

// reach is which members answer while the table is silent. Only then are they
// asked.
type reach struct {
	since time.Time // when the asking began; zero while nobody is asked
	last  map[string]time.Time
}

// asking notes whether members are asked at now.
func (r *reach) asking(now time.Time, on bool) {
	switch {
	case !on:
		*r = reach{}
	case r.since.IsZero():
		*r = reach{since: now, last: make(map[string]time.Time)}
	}
}

// answered notes an answer to a question asked at a time.
func (r *reach) answered(member string, asked time.Time) {
	if r.last != nil && asked.After(r.last[member]) {
		r.last[member] = asked
	}
}

// lost says that a member has been asked for long and has not answered lately.
func (r *reach) lost(member string, now time.Time) bool {
	if r.since.IsZero() || now.Sub(r.since) < unreached {
		return false
	}
	return now.Sub(r.last[member]) >= unreached
}
