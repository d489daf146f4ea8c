package attempts

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// shardCount parts the keys that are in work here; it is a power of two.
const shardCount = 32

// inFlightRecords holds the keys that are in work at this instance, from the start of
// a claim until its outcome stands in the table. A second request with such a
// key costs the store nothing.
type inFlightRecords struct {
	shards [shardCount]inFlightShard
}

type inFlightShard struct {
	mu      sync.Mutex
	records map[string]attempt.Record
}

func newInFlightRecords() *inFlightRecords {
	r := &inFlightRecords{}
	for i := range r.shards {
		r.shards[i].records = make(map[string]attempt.Record)
	}
	return r
}

func (r *inFlightRecords) shard(key string) *inFlightShard {
	return &r.shards[xxhash.Sum64String(key)%shardCount]
}

// add notes a key, or returns the record that is in work already.
func (r *inFlightRecords) add(key string, record attempt.Record) (attempt.Record, bool) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, found := s.records[key]; found {
		return current, false
	}
	s.records[key] = record
	return record, true
}

// set replaces a key's record.
func (r *inFlightRecords) set(key string, record attempt.Record) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = record
}

// remove forgets a key.
func (r *inFlightRecords) remove(key string) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
}
