package priority

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// QueueRules are the limits of a queue.
type QueueRules struct {
	// MaxWaiting bounds the waiting requests. Each may hold a body.
	MaxWaiting int
	// MaxWait bounds the wait of a request.
	MaxWait time.Duration
	// InitialRate is the number of starts per second assumed before the first.
	InitialRate float64
	// RateWindow is the time constant of the observed starts.
	RateWindow time.Duration
	// MaxRetryAfter bounds the time after which a refused request may return.
	MaxRetryAfter time.Duration
}

// DefaultQueueRules returns the rules used when none are set.
func DefaultQueueRules() QueueRules {
	return QueueRules{
		MaxWaiting:    32, // bodies of up to 512 KiB on machines of 136 MB
		MaxWait:       5 * time.Second,
		InitialRate:   4,
		RateWindow:    2 * time.Second,
		MaxRetryAfter: 5 * time.Second,
	}
}

const (
	// TryInterval is the mean time between two tries without the end of an attempt.
	// All instances see the same free slots, with figures that are up to 0.5 s old;
	// at shorter intervals, several of them send to the same slot.
	TryInterval = 200 * time.Millisecond
	// MaxTries is how many of the first waiting requests try again at a time. The
	// first one may be bound to regions or versions that have no room.
	MaxTries = 8
)

// LatestStart returns the latest start of a request with some work that meets its
// goal or, if the goal is out of reach, its deadline.
func LatestStart(goal, deadline, now time.Time, work time.Duration) time.Time {
	if latest := goal.Add(-work); latest.After(now) {
		return latest
	}
	return deadline.Add(-work)
}

// Entry is a waiting request.
type Entry[T any] struct {
	// Value identifies the request.
	Value T
	// Rank is the request's rank.
	Rank int
	// LatestStart is when it is refused if it has not started.
	LatestStart time.Time

	sequence uint64
}

// Queue holds waiting requests by rank and then by latest start.
type Queue[T comparable] struct {
	rules    QueueRules
	entries  []Entry[T]
	sequence uint64
	rate     float64 // decayed number of starts per second
	rateAt   time.Time
	returns  map[int]time.Time // when the last refused request of a rank may return
}

// NewQueue returns an empty queue.
func NewQueue[T comparable](r QueueRules) *Queue[T] {
	return &Queue[T]{rules: r, rate: r.InitialRate, returns: make(map[int]time.Time)}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns an entry by its position; the first one starts next.
func (q *Queue[T]) At(i int) Entry[T] { return q.entries[i] }

// Push adds a request and reports whether it waits. Otherwise it can't start in
// time, and retryAfter is the time after which room is expected for its rank.
func (q *Queue[T]) Push(now time.Time, rank int, latestStart time.Time, value T) (retryAfter time.Duration, ok bool) {
	q.sequence++
	if latest := now.Add(q.rules.MaxWait); latest.Before(latestStart) {
		latestStart = latest
	}
	e := Entry[T]{Value: value, Rank: rank, LatestStart: latestStart, sequence: q.sequence}
	i, _ := slices.BinarySearchFunc(q.entries, e, compare[T])
	if len(q.entries) >= q.rules.MaxWaiting || now.Add(q.wait(now, i)).After(latestStart) {
		return q.Refuse(now, rank), false
	}
	q.entries = slices.Insert(q.entries, i, e)
	return 0, true
}

// compare orders entries by rank, latest start and arrival.
func compare[T any](a, b Entry[T]) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.sequence, b.sequence))
}

// wait returns the expected wait behind a number of requests.
func (q *Queue[T]) wait(now time.Time, ahead int) time.Duration {
	return time.Duration(float64(ahead) / q.startRate(now) * float64(time.Second))
}

// startRate returns the observed starts per second.
func (q *Queue[T]) startRate(now time.Time) float64 {
	q.decay(now)
	return max(q.rate, 1/q.rules.MaxRetryAfter.Seconds())
}

// decay reduces the observed rate by the time since the last call. An idle queue
// keeps its rate, since nothing could start.
func (q *Queue[T]) decay(now time.Time) {
	if elapsed := now.Sub(q.rateAt); elapsed > 0 && len(q.entries) > 0 && !q.rateAt.IsZero() {
		q.rate *= math.Exp(-elapsed.Seconds() / q.rules.RateWindow.Seconds())
	}
	q.rateAt = now
}

// Refuse returns the time after which a refused request of a rank may return.
// Successive requests get successive times, those of lower ranks after those of
// higher ones.
func (q *Queue[T]) Refuse(now time.Time, rank int) time.Duration {
	ahead := 0
	for ahead < len(q.entries) && q.entries[ahead].Rank <= rank {
		ahead++
	}
	at := now.Add(q.wait(now, ahead))
	for other, t := range q.returns {
		if other <= rank && t.After(at) {
			at = t
		}
	}
	at = at.Add(q.wait(now, 1))
	if latest := now.Add(q.rules.MaxRetryAfter); at.After(latest) {
		at = latest
	}
	q.returns[rank] = at
	return at.Sub(now)
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue[T]) Remove(value T) bool {
	i := slices.IndexFunc(q.entries, func(e Entry[T]) bool { return e.Value == value })
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Started removes a request that was sent to an endpoint.
func (q *Queue[T]) Started(now time.Time, value T) {
	q.decay(now)
	if q.Remove(value) {
		q.rate += 1 / q.rules.RateWindow.Seconds()
	}
}

// Pop removes and returns the first request.
func (q *Queue[T]) Pop(now time.Time) (e Entry[T], ok bool) {
	if len(q.entries) == 0 {
		return e, false
	}
	e = q.entries[0]
	q.Started(now, e.Value)
	return e, true
}

// Expire removes and returns the requests that can't start in time any more.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	q.entries = slices.DeleteFunc(q.entries, func(e Entry[T]) bool {
		if now.Before(e.LatestStart) {
			return false
		}
		expired = append(expired, e.Value)
		return true
	})
	return expired
}
