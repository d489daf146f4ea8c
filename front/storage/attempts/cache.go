package attempts

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

const (
	// recordsPerShard is the capacity of each of the shardCount shards.
	recordsPerShard = 128
	// doneTTL is how long a done record is cached. A done record never changes
	// and stays in the table much longer than this.
	doneTTL = time.Hour
	// runningTTL is how long a running record of another instance is cached. A
	// repeated request within this time is answered with the running state.
	runningTTL = time.Second
)

// recordCache caches records that conflicted with a claim, so that frequently
// repeated requests don't cost a write each.
type recordCache struct {
	shards [shardCount]cacheShard
}

type cacheShard struct {
	mu      sync.Mutex
	records map[string]cachedRecord
	// order is a ring buffer of the keys in insertion order, for eviction.
	order [recordsPerShard]string
	next  int
}

type cachedRecord struct {
	record    attempt.Record
	expiresAt time.Time
}

func newRecordCache() *recordCache {
	c := &recordCache{}
	for i := range c.shards {
		c.shards[i].records = make(map[string]cachedRecord)
	}
	return c
}

func (c *recordCache) shard(key string) *cacheShard {
	return &c.shards[xxhash.Sum64String(key)%shardCount]
}

// put caches a record that has just been read or written. Records in states
// other than running and done may change at any time and are not cached.
func (c *recordCache) put(key string, record attempt.Record, now time.Time) {
	var expiresAt time.Time
	switch record.State {
	case attempt.StateDone:
		expiresAt = now.Add(doneTTL)
	case attempt.StateRunning:
		expiresAt = now.Add(runningTTL)
	default:
		return
	}
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.records[key]; !found {
		delete(s.records, s.order[s.next])
		s.order[s.next] = key
		s.next = (s.next + 1) % recordsPerShard
	}
	s.records[key] = cachedRecord{record: record, expiresAt: expiresAt}
}

// get returns the cached record of a key unless it has expired.
func (c *recordCache) get(key string, now time.Time) (attempt.Record, bool) {
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.records[key]
	if !ok || now.After(cached.expiresAt) {
		return attempt.Record{}, false
	}
	return cached.record, true
}
