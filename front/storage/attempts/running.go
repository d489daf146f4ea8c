package attempts

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// shardCount parts the keys that are in work here; it is a power of two.
const shardCount = 32

// running holds the keys that are in work at this instance, from the start of
// a claim until its outcome stands in the table. A second request with such a
// key costs the store nothing.
type running struct {
	shards [shardCount]runningShard
}

type runningShard struct {
	mu      sync.Mutex
	records map[string]attempt.Record
}

func newRunning() *running {
	r := &running{}
	for i := range r.shards {
		r.shards[i].records = make(map[string]attempt.Record)
	}
	return r
}

func (r *running) shard(key string) *runningShard {
	return &r.shards[xxhash.Sum64String(key)%shardCount]
}

// add notes a key, or returns the record that is in work already.
func (r *running) add(key string, record attempt.Record) (attempt.Record, bool) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if standing, found := s.records[key]; found {
		return standing, false
	}
	s.records[key] = record
	return record, true
}

// set replaces a key's record.
func (r *running) set(key string, record attempt.Record) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = record
}

// remove forgets a key.
func (r *running) remove(key string) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
}
