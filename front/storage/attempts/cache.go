package attempts

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

const (
	// recordsPerShard bounds the records that are known by heart, in each of
	// shardCount shards.
	recordsPerShard = 128
	// doneTTL is how long a done record is known. It never changes, and
	// stands much longer than that.
	doneTTL = time.Hour
	// runningTTL is how long another instance's running record is known; a
	// repeat within that time is told that the request runs.
	runningTTL = time.Second
)

// recordCache remembers records that stood in a repeat's way, so that callers that
// repeat quickly and often don't cost a write each.
type recordCache struct {
	shards [shardCount]cacheShard
}

type cacheShard struct {
	mu      sync.Mutex
	records map[string]cachedRecord
	// order holds the keys in the order of their arrival, as a ring.
	order [recordsPerShard]string
	next  int
}

type cachedRecord struct {
	record    attempt.Record
	expiresAt time.Time
}

func newRecordCache() *recordCache {
	k := &recordCache{}
	for i := range k.shards {
		k.shards[i].records = make(map[string]cachedRecord)
	}
	return k
}

func (k *recordCache) shard(key string) *cacheShard {
	return &k.shards[xxhash.Sum64String(key)%shardCount]
}

// put remembers a record that has just been read or written. Records in other
// states than running and done may change at any moment and are not kept.
func (k *recordCache) put(key string, record attempt.Record, now time.Time) {
	var expiresAt time.Time
	switch record.State {
	case attempt.StateDone:
		expiresAt = now.Add(doneTTL)
	case attempt.StateRunning:
		expiresAt = now.Add(runningTTL)
	default:
		return
	}
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.records[key]; !found {
		delete(s.records, s.order[s.next])
		s.order[s.next] = key
		s.next = (s.next + 1) % recordsPerShard
	}
	s.records[key] = cachedRecord{record: record, expiresAt: expiresAt}
}

// get returns a record that is known to stand.
func (k *recordCache) get(key string, now time.Time) (attempt.Record, bool) {
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.records[key]
	if !ok || now.After(cached.expiresAt) {
		return attempt.Record{}, false
	}
	return cached.record, true
}
