// Package admission queues requests for a group of slots. It decides which
// waiting request runs next and which request is refused at once.
//
// Teams share the slots by start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time Fair Queueing", SIGCOMM 1996), weighted by their rates and with a
// small credit for bursts. A team that sends more than its share therefore delays
// itself. A request that cannot finish by its deadline is refused on arrival,
// or as soon as this is known.
package admission

import (
	"time"
)

const (
	// DefaultTeamLimit bounds the waiting requests of one team in one queue.
	DefaultTeamLimit = 512
	// DefaultServiceTime is the expected service time of a request before any has
	// been observed.
	DefaultServiceTime = 20 * time.Millisecond
	// creditRequests and creditTime bound the burst credit of a team that was
	// below its share: the larger of creditRequests requests and the requests
	// that the team may send in creditTime.
	creditRequests = 12
	creditTime     = 250 * time.Millisecond
	// holdTimeWeight is the weight of a new observation in the mean hold time.
	holdTimeWeight = 0.05
)

// Item is a waiting request.
type Item[K comparable] struct {
	// Key identifies the request.
	Key K
	// Team is the team that the request runs for.
	Team string
	// Deadline is when the request must have finished.
	Deadline time.Time
	// MaxWait bounds the expected wait; 0 means that only the deadline does.
	MaxWait time.Duration

	startTag float64
}

// Queue holds the requests that wait for one group of slots. It is not safe
// for concurrent use.
type Queue[K comparable] struct {
	weight    func(team string) float64
	teamLimit int

	virtualTime float64
	teams       map[string]*team[K]
	waiting     map[K]string // key to team
	slots       int
	meanHold    time.Duration // mean time that a request holds a slot
}

// team is the backlog of one team.
type team[K comparable] struct {
	weight    float64
	finishTag float64 // finish tag of the last item
	items     []Item[K]
}

// credit returns how far, in virtual time, the team's start tags may lie behind
// those of the others. Without it, the second of two requests that a small team
// sends at once would wait for as long as the team needs to earn it at its rate.
func (t *team[K]) credit() float64 {
	return max(creditRequests, t.weight*creditTime.Seconds()) / t.weight
}

// NewQueue returns an empty queue. weight returns a team's weight: its rate in
// requests per second, which must be above 0. Teams with equal weights get equal
// shares.
func NewQueue[K comparable](weight func(team string) float64) *Queue[K] {
	return &Queue[K]{
		weight:    weight,
		teamLimit: DefaultTeamLimit,
		teams:     make(map[string]*team[K]),
		waiting:   make(map[K]string),
		meanHold:  DefaultServiceTime,
	}
}

// SetSlots sets the number of requests that run at the same time.
func (q *Queue[K]) SetSlots(n int) { q.slots = n }

// ObserveHoldTime records how long a request held its slot.
func (q *Queue[K]) ObserveHoldTime(held time.Duration) {
	q.meanHold += time.Duration(holdTimeWeight * float64(held-q.meanHold))
}

// MeanHoldTime returns the mean time that a request holds a slot.
func (q *Queue[K]) MeanHoldTime() time.Duration { return q.meanHold }

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.waiting) }

// Contains reports whether a request is waiting.
func (q *Queue[K]) Contains(key K) bool {
	_, ok := q.waiting[key]
	return ok
}

// Push enqueues a request or refuses it. free is the number of slots that are
// free now. Errors: *Refusal.
func (q *Queue[K]) Push(now time.Time, item Item[K], free int) error {
	t := q.team(item.Team)
	item.startTag = max(q.virtualTime-t.credit(), t.finishTag)
	wait := q.expectedWait(item.startTag, free)
	if err := q.checkAdmission(now, item, len(t.items), wait); err != nil {
		q.dropIfIdle(item.Team)
		return err
	}
	t.finishTag = item.startTag + 1/t.weight
	t.items = append(t.items, item)
	q.waiting[item.Key] = item.Team
	return nil
}

// checkAdmission returns a *Refusal if an item may not wait, or nil.
func (q *Queue[K]) checkAdmission(now time.Time, item Item[K], queued int, wait time.Duration) error {
	switch {
	case queued >= q.teamLimit:
		return &Refusal{Reason: ReasonFull, Wait: wait}
	case now.Add(wait + q.meanHold).After(item.Deadline):
		return &Refusal{Reason: ReasonDeadline, Wait: wait}
	case item.MaxWait > 0 && wait > item.MaxWait:
		return &Refusal{Reason: ReasonWait, Wait: wait}
	}
	return nil
}

// team returns the backlog of a team, creating it if necessary.
func (q *Queue[K]) team(name string) *team[K] {
	t, ok := q.teams[name]
	if !ok {
		t = &team[K]{}
		q.teams[name] = t
	}
	t.weight = q.weight(name)
	return t
}

// dropIfIdle removes a team that has no waiting requests and whose finish tag no
// longer affects the start tag of its next request.
func (q *Queue[K]) dropIfIdle(name string) {
	t := q.teams[name]
	if t != nil && len(t.items) == 0 && t.finishTag <= q.virtualTime-t.credit() {
		delete(q.teams, name)
	}
}

// expectedWait estimates the wait of a request with the given start tag: the
// number of requests that start before it, divided by the rate at which slots
// become free.
func (q *Queue[K]) expectedWait(start float64, free int) time.Duration {
	ahead := 0
	for _, t := range q.teams {
		if len(t.items) == 0 || t.items[0].startTag >= start {
			continue
		}
		before := 1 + int((start-t.items[0].startTag)*t.weight)
		ahead += min(len(t.items), before)
	}
	excess := ahead + 1 - free
	if excess <= 0 || q.slots == 0 {
		return 0
	}
	return time.Duration(excess) * q.meanHold / time.Duration(q.slots)
}

// Pop removes and returns the request that runs next. Requests that can no longer
// finish by their deadlines are removed too and returned as expired.
func (q *Queue[K]) Pop(now time.Time) (next Item[K], ok bool, expired []Item[K]) {
	for {
		name, t := q.nextTeam()
		if t == nil {
			return next, false, expired
		}
		item := q.removeAt(name, t, 0)
		if now.Add(q.meanHold).After(item.Deadline) {
			t.finishTag -= 1 / t.weight
			expired = append(expired, item)
			continue
		}
		q.virtualTime = max(q.virtualTime, item.startTag)
		q.dropIfIdle(name)
		return item, true, expired
	}
}

// nextTeam returns the team whose oldest request has the smallest start tag.
func (q *Queue[K]) nextTeam() (string, *team[K]) {
	var best *team[K]
	var bestName string
	for name, t := range q.teams {
		if len(t.items) == 0 {
			continue
		}
		if best == nil || t.items[0].startTag < best.items[0].startTag ||
			t.items[0].startTag == best.items[0].startTag && name < bestName {
			best, bestName = t, name
		}
	}
	return bestName, best
}

// removeAt removes and returns the request at index i of a team.
func (q *Queue[K]) removeAt(name string, t *team[K], i int) Item[K] {
	item := t.items[i]
	copy(t.items[i:], t.items[i+1:])
	t.items[len(t.items)-1] = Item[K]{}
	t.items = t.items[:len(t.items)-1]
	delete(q.waiting, item.Key)
	q.dropIfIdle(name)
	return item
}

// Remove removes a request whose caller has given up. It reports whether the
// request was waiting.
func (q *Queue[K]) Remove(key K) bool {
	name, ok := q.waiting[key]
	if !ok {
		return false
	}
	t := q.teams[name]
	for i := range t.items {
		if t.items[i].Key == key {
			q.removeAt(name, t, i)
			break
		}
	}
	return true
}

// Expire removes and returns the requests that can no longer finish by their
// deadlines.
func (q *Queue[K]) Expire(now time.Time) []Item[K] {
	var expired []Item[K]
	for name, t := range q.teams {
		for i := 0; i < len(t.items); {
			if now.Add(q.meanHold).After(t.items[i].Deadline) {
				expired = append(expired, q.removeAt(name, t, i))
				continue
			}
			i++
		}
	}
	return expired
}
