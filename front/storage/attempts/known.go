package attempts

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

const (
	// knownPerShard bounds the records that are known by heart, in each of
	// shardCount shards.
	knownPerShard = 128
	// knownDone is how long a done record is known. It never changes, and
	// stands much longer than that.
	knownDone = time.Hour
	// knownRunning is how long another instance's running record is known; a
	// repeat within that time is told that the request runs.
	knownRunning = time.Second
)

// known remembers records that stood in a repeat's way, so that callers that
// repeat quickly and often don't cost a write each.
type known struct {
	shards [shardCount]knownShard
}

type knownShard struct {
	mu      sync.Mutex
	records map[string]knownRecord
	// order holds the keys in the order of their arrival, as a ring.
	order [knownPerShard]string
	next  int
}

type knownRecord struct {
	record attempt.Record
	until  time.Time
}

func newKnown() *known {
	k := &known{}
	for i := range k.shards {
		k.shards[i].records = make(map[string]knownRecord)
	}
	return k
}

func (k *known) shard(key string) *knownShard {
	return &k.shards[xxhash.Sum64String(key)%shardCount]
}

// put remembers a record that has just been read or written. Records in other
// states than running and done may change at any moment and are not kept.
func (k *known) put(key string, record attempt.Record, now time.Time) {
	var until time.Time
	switch record.State {
	case attempt.StateDone:
		until = now.Add(knownDone)
	case attempt.StateRunning:
		until = now.Add(knownRunning)
	default:
		return
	}
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.records[key]; !found {
		delete(s.records, s.order[s.next])
		s.order[s.next] = key
		s.next = (s.next + 1) % knownPerShard
	}
	s.records[key] = knownRecord{record: record, until: until}
}

// get returns a record that is known to stand.
func (k *known) get(key string, now time.Time) (attempt.Record, bool) {
	s := k.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.records[key]
	if !ok || now.After(found.until) {
		return attempt.Record{}, false
	}
	return found.record, true
}
