package caller

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/front/platform/configuration"
)

// recheckEvery is the time between two checks of the keys of requests that are
// under way.
const recheckEvery = 500 * time.Millisecond

// keyUseShards is the number of locks over the requests under way.
const keyUseShards = 32

// keyUse is one request that is under way with a key.
type keyUse struct {
	grant  *configuration.Grant
	cancel context.CancelCauseFunc
}

// keyUses holds the requests that are under way with a key, by request ID, in
// shards each under its own lock.
type keyUses struct {
	shards [keyUseShards]keyUseShard
}

type keyUseShard struct {
	mu   sync.Mutex
	uses map[string]*keyUse
}

func newKeyUses() *keyUses {
	u := &keyUses{}
	for i := range u.shards {
		u.shards[i].uses = make(map[string]*keyUse)
	}
	return u
}

func (u *keyUses) shard(id string) *keyUseShard {
	return &u.shards[xxhash.Sum64String(id)%keyUseShards]
}

func (u *keyUses) add(id string, use *keyUse) {
	s := u.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses[id] = use
}

func (u *keyUses) remove(id string) {
	s := u.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uses, id)
}

// Run ends requests whose key has been withdrawn, until ctx ends.
func (s *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(recheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.endWithdrawn()
		}
	}
}

// endWithdrawn cancels the requests whose key no longer works.
func (s *Keys) endWithdrawn() {
	for i := range s.uses.shards {
		shard := &s.uses.shards[i]
		shard.mu.Lock()
		for _, use := range shard.uses {
			if use.grant.Check() != nil {
				use.cancel(errKeyWithdrawn)
			}
		}
		shard.mu.Unlock()
	}
}
