// Package waiting holds requests in this instance until an endpoint has room for
// their rank. The order and the bounds are those of the package priority.
package waiting

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/priority"
)

// ErrNoRoom is the error of a try to start for which there is still no room.
var ErrNoRoom = errors.New("waiting: no room")

// ErrClosed is the error of a request that waits while the room closes.
var ErrClosed = errors.New("waiting: the instance stops")

// RefusedError is the error of a request that can't start in time.
type RefusedError struct {
	// RetryAfter is the time after which room is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "waiting: no start in time expected" }

// Request is a request that waits for room.
type Request struct {
	// Service is the service that it goes to.
	Service string
	// Rank is its rank, 0 the highest.
	Rank int
	// LatestStart is when it is refused if it has not started.
	LatestStart time.Time
	// Start tries to start it. With ErrNoRoom, it goes on waiting; with any other
	// error it ends.
	Start func() error
}

// Room holds the requests that wait in this instance. It is safe for concurrent use.
type Room struct {
	log    logrus.FieldLogger
	rules  priority.QueueRules
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	queues  map[string]*queue // by service
	total   int
	summary summary

	ended   metric.Int64Counter
	seconds metric.Float64Counter
}

// queue holds the requests that wait for one service.
type queue struct {
	*priority.Queue[*waiter]
	timer *time.Timer // runs while requests wait
}

// waiter is a waiting request. turn receives the number of tries that are left in
// a round, in which each request passes the turn on to the next one.
type waiter struct {
	rank int
	turn chan int
}

// New returns an empty room with instruments of the meter.
func New(meter metric.Meter, log logrus.FieldLogger) (*Room, error) {
	r := &Room{log: log.WithField("prefix", "waiting"), rules: priority.DefaultQueueRules(), closed: make(chan struct{}), queues: make(map[string]*queue)}
	waiting, err1 := meter.Int64ObservableGauge("cardamomfront.waiting",
		metric.WithDescription("Requests that wait in this instance for room at an endpoint, by rank."))
	ended, err2 := meter.Int64Counter("cardamomfront.waiting.ended",
		metric.WithDescription("Requests that have waited in this instance, by rank and outcome."))
	seconds, err3 := meter.Float64Counter("cardamomfront.waiting.time",
		metric.WithUnit("s"), metric.WithDescription("Time that requests have waited in this instance, by rank."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return nil, err
	}
	r.ended, r.seconds = ended, seconds
	// The series of the highest rank exist from the start, so that their rates do.
	r.count(0, outcomeStarted, 0, 0)
	r.count(0, outcomeRefused, 0, 0)
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		r.observe(o, waiting)
		return nil
	}, waiting)
	return r, err
}

// observe reports the waiting requests.
func (r *Room) observe(o metric.Observer, waiting metric.Int64Observable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRank := map[int]int64{0: 0}
	for _, q := range r.queues {
		for i := range q.Len() {
			byRank[q.At(i).Rank]++
		}
	}
	for rank, n := range byRank {
		o.ObserveInt64(waiting, n, metric.WithAttributes(rankAttribute(rank)))
	}
}

// Outcomes of a wait, the values of the metrics' outcome attribute.
const (
	outcomeStarted = "started"
	outcomeRefused = "refused"
	outcomeEnded   = "ended" // the caller has left, the instance stops, or no endpoint can serve it in time
)

// count adds requests that have waited to the metrics.
func (r *Room) count(rank int, outcome string, n int64, waited time.Duration) {
	ctx := context.Background()
	r.ended.Add(ctx, n, metric.WithAttributes(rankAttribute(rank), attribute.String("outcome", outcome)))
	r.seconds.Add(ctx, waited.Seconds(), metric.WithAttributes(rankAttribute(rank)))
}

// Close refuses the requests that wait, and further ones.
func (r *Room) Close() { r.once.Do(func() { close(r.closed) }) }

// Wait returns nil once the request has started. Errors: *RefusedError, ErrClosed,
// the context's, and those of Start.
func (r *Room) Wait(ctx context.Context, request Request) error {
	arrived := time.Now()
	err := r.wait(ctx, request, arrived)
	outcome := outcomeStarted
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		outcome = outcomeRefused
	case err != nil:
		outcome = outcomeEnded
	}
	waited := time.Since(arrived)
	r.count(request.Rank, outcome, 1, waited)
	r.logSummary(waited, refused != nil)
	return err
}

func rankAttribute(rank int) attribute.KeyValue { return attribute.String("rank", strconv.Itoa(rank)) }

func (r *Room) wait(ctx context.Context, request Request, now time.Time) error {
	w := &waiter{rank: request.Rank, turn: make(chan int, 1)}
	q, err := r.enter(w, request, now)
	if err != nil {
		return err
	}
	defer r.leave(q, w)
	expiry := time.NewTimer(min(time.Until(request.LatestStart), r.rules.MaxWait))
	defer expiry.Stop()
	for {
		select {
		case <-r.closed:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		case <-expiry.C:
			return r.refuse(q, w)
		case left := <-w.turn:
			if ctx.Err() != nil {
				continue // the next round is for the others
			}
			switch err := request.Start(); {
			case err == nil:
				r.started(q, w)
				return nil
			case !errors.Is(err, ErrNoRoom):
				return err
			}
			r.passOn(q, w, left-1)
		}
	}
}

// enter adds a request to the queue of its service.
func (r *Room) enter(w *waiter, request Request, now time.Time) (*queue, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[request.Service]
	if q == nil {
		q = &queue{Queue: priority.NewQueue[*waiter](r.rules)}
		r.queues[request.Service] = q
	}
	if r.total >= r.rules.MaxWaiting {
		return nil, &RefusedError{RetryAfter: q.Refuse(now, w.rank)}
	}
	if retryAfter, ok := q.Push(now, w.rank, request.LatestStart, w); !ok {
		return nil, &RefusedError{RetryAfter: retryAfter}
	}
	r.total++
	if q.timer == nil {
		q.timer = time.AfterFunc(tryInterval(), func() { r.tick(q) })
	}
	return q, nil
}

// tryInterval returns the time to the next round that no attempt's end begins. It is
// random, so that instances do not try at the same time.
func tryInterval() time.Duration {
	return priority.TryInterval/2 + rand.N(priority.TryInterval)
}

// tick begins a round and starts the timer again while requests wait.
func (r *Room) tick(q *queue) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Len() == 0 {
		q.timer = nil
		return
	}
	r.begin(q)
	q.timer.Reset(tryInterval())
}

// Wake lets the first requests that wait for a service try again.
func (r *Room) Wake(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.queues[service]; q != nil {
		r.begin(q)
	}
}

// begin gives the turn to the first request. The caller holds mu.
func (r *Room) begin(q *queue) {
	if q.Len() > 0 {
		q.At(0).Value.give(priority.MaxTries)
	}
}

// give lets the request try, unless it already has the turn.
func (w *waiter) give(left int) {
	select {
	case w.turn <- left:
	default:
	}
}

// passOn gives the turn to the request behind w.
func (r *Room) passOn(q *queue, w *waiter, left int) {
	if left <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range q.Len() - 1 {
		if q.At(i).Value == w {
			q.At(i + 1).Value.give(left)
			return
		}
	}
}

// started removes a request that has started.
func (r *Room) started(q *queue, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.Started(time.Now(), w)
}

// refuse returns the error of a request that could not start in time.
func (r *Room) refuse(q *queue, w *waiter) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.Remove(w)
	return &RefusedError{RetryAfter: q.Refuse(time.Now(), w.rank)}
}

// leave removes a request that no longer waits.
func (r *Room) leave(q *queue, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.Remove(w)
	r.total--
}

// summaryInterval is the shortest time between two lines on waiting requests.
const summaryInterval = 2 * time.Second

// summary counts the requests since the last line.
type summary struct {
	since           time.Time
	waited, refused int
	longest         time.Duration
}

// logSummary counts a request and logs a line on all at most once in
// summaryInterval.
func (r *Room) logSummary(waited time.Duration, refused bool) {
	r.mu.Lock()
	s := &r.summary
	s.waited++
	s.longest = max(s.longest, waited)
	if refused {
		s.refused++
	}
	now := time.Now()
	if now.Sub(s.since) < summaryInterval {
		r.mu.Unlock()
		return
	}
	line, total := *s, r.total
	*s = summary{since: now}
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{
		"ended": line.waited, "refused": line.refused, "longest_ms": line.longest.Milliseconds(), "waiting": total,
	}).Info("Requests waited for room at endpoints.")
}
