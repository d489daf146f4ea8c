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

// recheckInterval is the interval between two checks of the keys of requests in
// flight. A request is canceled at the second consecutive check that finds its
// key data stale; with generation.DefaultStaleAfter that is within five seconds
// of the last moment at which the key was known to be valid.
const recheckInterval = 250 * time.Millisecond

// keyUseShards is the number of shards, each with its own lock, that hold the
// requests in flight.
const keyUseShards = 32

// keyUse is one request in flight that was authenticated with a key.
type keyUse struct {
	grant  *configuration.Grant
	cancel context.CancelCauseFunc
	// stale reports whether the last check found the key data stale.
	stale bool
}

// recheckKey cancels the request if its key is no longer valid. Stale key data
// must be found by two consecutive checks: a process that was paused finds its
// data stale when it resumes and refreshes it a moment later.
func (u *keyUse) recheckKey() {
	err := u.grant.Revalidate()
	var refused *configuration.KeyError
	stale := errors.As(err, &refused) && refused.Reason == configuration.KeyStale
	switch {
	case stale && u.stale:
		u.cancel(&invalidKeyError{reason: ReasonStaleKeys, status: http.StatusServiceUnavailable})
	case err != nil && !stale:
		u.cancel(&invalidKeyError{reason: ReasonKeyWithdrawn, status: http.StatusUnauthorized})
	}
	u.stale = stale
}

// invalidKeyError is the cause with which a request is canceled when its key is
// no longer valid.
type invalidKeyError struct {
	reason Reason
	status int
}

// Error implements error.
func (e *invalidKeyError) Error() string { return string(e.reason) }

// keyUses holds the requests in flight that were authenticated with a key, by
// request ID. Each shard has its own lock.
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

// Run cancels requests whose key is no longer valid, until ctx ends.
func (s *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.cancelInvalid()
		}
	}
}

// cancelInvalid rechecks all requests in flight once.
func (s *Keys) cancelInvalid() {
	for i := range s.inFlight.shards {
		shard := &s.inFlight.shards[i]
		shard.mu.Lock()
		for _, use := range shard.uses {
			use.recheckKey()
		}
		shard.mu.Unlock()
	}
}
