package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
)

// recheckEvery is the time between two checks of the keys of requests that are
// under way. A request ends at the second check that finds its key untrusted;
// with generation.DefaultStaleAfter that is within five seconds of the last
// moment at which the key was known to be in force.
const recheckEvery = 250 * time.Millisecond

// keyUseShards is the number of locks over the requests under way.
const keyUseShards = 32

// keyUse is one request that is under way with a key.
type keyUse struct {
	grant  *configuration.Grant
	cancel context.CancelCauseFunc
	// stale says that the last check found the knowledge of keys stale.
	stale bool
}

// recheck ends the request when its key no longer works. Stale knowledge must
// be found twice: a process that was paused finds it at once on waking, and
// has it renewed a moment later.
func (u *keyUse) recheck() {
	err := u.grant.Revalidate()
	var refused *configuration.KeyError
	stale := errors.As(err, &refused) && refused.Reason == configuration.KeyStale
	switch {
	case stale && u.stale:
		u.cancel(&endedKeyError{reason: ReasonStaleKeys, status: http.StatusServiceUnavailable})
	case err != nil && !stale:
		u.cancel(&endedKeyError{reason: ReasonKeyWithdrawn, status: http.StatusUnauthorized})
	}
	u.stale = stale
}

// endedKeyError ends the context of a request whose key no longer works.
type endedKeyError struct {
	reason Reason
	status int
}

// Error implements error.
func (e *endedKeyError) Error() string { return string(e.reason) }

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
			use.recheck()
		}
		shard.mu.Unlock()
	}
}
