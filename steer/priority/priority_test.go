package priority

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against headroom where it is not needed, and against its lack or lower
// ranks in endpoint queues where it is.
func TestLimit(t *testing.T) {
	for _, x := range []struct {
		name        string
		high        int // requests of rank 0 among 100
		utilization float64
		rank        int
		min, max    int
	}{
		{"highest rank, scarce", 50, 1, 0, 7, 9},
		{"lower rank, plenty of slots", 50, 0.3, 2, 6, 6},
		{"lower rank, scarce", 10, 0.8, 2, 4, 5},
		{"lower rank, scarce, much demand above", 90, 0.8, 2, 2, 3},
		{"lower rank, queues at endpoints", 50, 1.2, 2, 2, 3},
		{"lower rank alone", 0, 0.95, 2, math.MaxInt, math.MaxInt},
		{"rank that is not configured", 90, 0.8, 1 << 40, 2, 3},
		{"negative rank", 50, 0.8, -1, 7, 9},
	} {
		c := NewController(DefaultRules(), []int{2, 0, 2})
		for i := range 100 {
			if i < x.high {
				c.Observe(start, 0, time.Second)
				continue
			}
			c.Observe(start, 2, 6*time.Second)
		}
		c.SetUtilization(start, x.utilization)
		if got := c.Limit(start, x.rank, 6); got < x.min || got > x.max {
			t.Errorf("%s: %d, want %d to %d", x.name, got, x.min, x.max)
		}
		if got := c.Limit(start, x.rank, 1); got < 1 {
			t.Errorf("%s: %d at one slot", x.name, got)
		}
	}
}

// Guards against headroom where lower ranks do not delay higher ones, which costs
// room and gains nothing.
func TestNoLimitForShortWork(t *testing.T) {
	c := NewController(DefaultRules(), []int{1, 2})
	for range 100 {
		c.Observe(start, 1, 180*time.Millisecond)
		c.Observe(start, 2, 140*time.Millisecond)
	}
	c.SetUtilization(start, 1.2)
	for _, rank := range c.Ranks() {
		if got := c.Limit(start, rank, 4); got != math.MaxInt {
			t.Errorf("rank %d: limit %d", rank, got)
		}
	}
}

// Guards against headroom for a rank that has ceased to arrive.
func TestHeadroomEndsWithTheDemand(t *testing.T) {
	c := NewController(DefaultRules(), []int{0, 1})
	c.Observe(start, 0, time.Second)
	now := start
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		c.Observe(now, 1, time.Second)
	}
	c.SetUtilization(now, 0.9)
	if got := c.Limit(now, 1, 6); got < 6 {
		t.Errorf("limit %d", got)
	}
}

// Guards against ranks and teams that are served less than a quarter as often as
// all: once they are below it, they are admitted as the highest rank.
func TestFloor(t *testing.T) {
	c := NewController(DefaultRules(), []int{0, 1})
	requests := []struct {
		rank int
		team string
	}{{0, "a"}, {1, "a"}, {1, "b"}}
	served := make([]int, len(requests))
	const rounds = 400
	for range rounds {
		for i, x := range requests {
			c.Admit(x.rank, x.team)
			if c.Effective(x.rank, x.team) == 0 { // there is room for the highest rank only
				c.Served(x.rank, x.team)
				served[i]++
			}
		}
	}
	mean := float64(served[0]+served[1]+served[2]) / float64(len(requests)*rounds)
	low, team := float64(served[1]+served[2])/(2*rounds), float64(served[2])/rounds
	if low < mean/4 || team < mean/4 || low > mean*0.6 {
		t.Errorf("%.3f of rank 1 and %.3f of team b served, %.3f of all", low, team, mean)
	}
}

// Guards against a wrong order, and against requests that wait without a chance.
func TestQueueOrderAndBounds(t *testing.T) {
	rules := DefaultQueueRules()
	rules.MaxWaiting = 4
	q := NewQueue[string](rules)
	push := func(value string, rank int, latest time.Duration) (time.Duration, bool) {
		return q.Push(start, rank, start.Add(latest), value)
	}
	push("low", 2, 2*time.Second)
	push("late", 0, 3*time.Second)
	push("early", 0, time.Second)
	if _, ok := push("hopeless", 2, 100*time.Millisecond); ok {
		t.Error("a request waits that can't start before its latest start")
	}
	push("urgent", 1, 2*time.Second)
	high, ok := push("too many", 0, 4*time.Second)
	if ok {
		t.Error("more requests wait than allowed")
	}
	again, _ := push("too many", 0, 4*time.Second)
	low, _ := push("too many", 2, 4*time.Second)
	if again <= high || low <= again || low > rules.MaxRetryAfter {
		t.Errorf("return after %v, %v and, of a lower rank, %v", high, again, low)
	}
	if expired := q.Expire(start.Add(time.Second)); len(expired) != 1 || expired[0] != "early" {
		t.Errorf("expired %v", expired)
	}
	for _, want := range []string{"late", "urgent", "low"} {
		if e, _ := q.Pop(start); e.Value != want {
			t.Errorf("%q, want %q", e.Value, want)
		}
	}
}
