package caller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcomes are counted in time buckets; a window consists of recentBuckets of
// them.
const (
	recentBucketWidth = 10 * time.Second
	recentBuckets     = 7
	recentShards      = 16
)

// RecentWindow is the minimum time over which Recent counts.
const RecentWindow = (recentBuckets - 1) * recentBucketWidth

// Recent counts the outcomes of the last minute by team, route and reason. Each
// shard has its own lock. Its size is bounded by the teams and routes in the
// document.
type Recent struct {
	shards [recentShards]recentShard
}

type recentShard struct {
	mu     sync.Mutex
	counts map[recentKey]*recentCount
}

// recentKey identifies one kind of outcome; an empty reason means an endpoint
// response.
type recentKey struct {
	team   string
	route  string
	reason Reason
}

// recentCount counts one kind of outcome by time bucket.
type recentCount struct {
	buckets [recentBuckets]uint64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
	last   time.Time
}

// NewRecent returns a counter without outcomes.
func NewRecent() *Recent {
	r := &Recent{}
	for i := range r.shards {
		r.shards[i].counts = make(map[recentKey]*recentCount)
	}
	return r
}

// bucketNumber returns the number of the bucket that contains t.
func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(recentBucketWidth) }

// add counts one outcome at now.
func (r *Recent) add(now time.Time, key recentKey) {
	s := &r.shards[xxhash.Sum64String(key.team)%recentShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[key]
	if !ok {
		c = &recentCount{newest: bucketNumber(now)}
		s.counts[key] = c
	}
	c.advance(bucketNumber(now))
	c.buckets[c.newest%recentBuckets]++
	c.last = now
}

// advance resets the buckets that are reused since the newest one.
func (c *recentCount) advance(bucket int64) {
	for steps := 0; c.newest < bucket && steps < recentBuckets; steps++ {
		c.newest++
		c.buckets[c.newest%recentBuckets] = 0
	}
	c.newest = max(c.newest, bucket)
}

// sum returns the count of the window that ends with bucket.
func (c *recentCount) sum(bucket int64) uint64 {
	c.advance(bucket)
	var n uint64
	for _, count := range c.buckets {
		n += count
	}
	return n
}

// RecentOutcome is the count of one kind of outcome.
type RecentOutcome struct {
	// Team is the team, empty for requests without a known key.
	Team string `json:"team,omitempty"`
	// Route is the route, empty for requests that matched none.
	Route string `json:"route,omitempty"`
	// Reason is the reason of a refusal, empty for an endpoint response.
	Reason Reason `json:"reason,omitempty"`
	// Count is the number in the window.
	Count uint64 `json:"count"`
	// Last is when the last one ended.
	Last time.Time `json:"last"`
}

// Outcomes returns the outcomes of the window that ends at now, for one team or
// route. Empty names match all. The most frequent outcomes come first.
func (r *Recent) Outcomes(now time.Time, team, route string) []RecentOutcome {
	var all []RecentOutcome
	for i := range r.shards {
		all = append(all, r.shards[i].outcomes(now, team, route)...)
	}
	slices.SortFunc(all, func(a, b RecentOutcome) int {
		return cmp.Or(
			cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	return all
}

// outcomes returns the outcomes of a shard and removes expired ones.
func (s *recentShard) outcomes(now time.Time, team, route string) []RecentOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []RecentOutcome
	for key, c := range s.counts {
		n := c.sum(bucketNumber(now))
		if n == 0 {
			delete(s.counts, key)
			continue
		}
		if team != "" && key.team != team || route != "" && key.route != route {
			continue
		}
		found = append(found, RecentOutcome{Team: key.team, Route: key.route, Reason: key.reason, Count: n, Last: c.last})
	}
	return found
}
