package attempts

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

// shardCount is the number of shards of the keys. It must be a power of two.
const shardCount = 32

// inFlightRecords holds the records of the keys in flight at this instance:
// from the start of a claim until its outcome is in the table. Another request
// with such a key is answered without a call to the store.
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

// add adds a record for the key, or returns the existing one and false.
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

func (r *inFlightRecords) set(key string, record attempt.Record) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = record
}

func (r *inFlightRecords) remove(key string) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
}
