package operator

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	members "github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

// Outcome says how far an instance has come with a generation.
type Outcome string

const (
	// Confirmed means that the instance said that it follows the generation
	// or a newer one.
	Confirmed Outcome = "confirmed"
	// Stale means that the instance does not answer and must refuse keyed
	// requests by now, or follows the generation.
	Stale Outcome = "stale"
	// Straggler means that the instance may still serve an older generation.
	Straggler Outcome = "straggler"
)

// InstanceResult is how far one instance has come.
type InstanceResult struct {
	ListedInstance
	// Outcome says how far it has come.
	Outcome Outcome `json:"outcome"`
	// Generation is the generation that it confirmed; 0 for none.
	Generation uint64 `json:"generation"`
	// Error is the last failure to reach it.
	Error string `json:"error,omitempty"`
}

// Rollout follows a promotion through the listed instances.
type Rollout struct {
	// Client reaches the instances.
	Client *Client
	// Store is read to see that the promotion can spread.
	Store configuration.Store
	// Environment names the environment.
	Environment string
	// Instances are the instances to wait for.
	Instances []ListedInstance
	// StaleAfter is the age at which instances stop trusting what they know.
	StaleAfter time.Duration
}

// Times of a rollout.
const (
	rolloutPeriod = 250 * time.Millisecond
	tellTimeout   = 2 * time.Second
	// staleGuard is added to StaleAfter before an instance that does not
	// answer counts as stale.
	staleGuard = time.Second
)

// AnnounceAndIdentify tells every instance whose listener is known once, and meanwhile finds
// out which of the instances are the same, so that Wait lists none twice.
func (r *Rollout) AnnounceAndIdentify(ctx context.Context, head generation.Head, content []byte) {
	told := HeadAnnouncement{Head: head, Content: content}
	var telling sync.WaitGroup
	for _, listed := range r.Instances {
		if listed.Addr != "" {
			telling.Go(func() { _, _ = r.tell(ctx, listed, told) }) // Wait tells again
		}
	}
	r.Instances = r.Client.Identify(ctx, r.Instances)
	telling.Wait()
}

// Wait tells every instance of the promotion and returns when each of them has
// confirmed it or must have gone stale, or when ctx ends. An instance must
// have gone stale when it is silent and the store has answered all the time
// since StaleAfter ago: nobody can have told it that the store is silent.
func (r *Rollout) Wait(ctx context.Context, head generation.Head, content []byte) []InstanceResult {
	told := HeadAnnouncement{Head: head, Content: content}
	results := make([]InstanceResult, len(r.Instances))
	watched := r.watchStore(ctx)
	var waiting sync.WaitGroup
	for i, listed := range r.Instances {
		waiting.Go(func() { results[i] = r.follow(ctx, listed, told, watched) })
	}
	waiting.Wait()
	watched.stop()
	return results
}

// follow tells one instance until it has confirmed or must have gone stale.
func (r *Rollout) follow(ctx context.Context, listed ListedInstance, told HeadAnnouncement, watched *storeWatch) InstanceResult {
	result := InstanceResult{ListedInstance: listed, Outcome: Straggler}
	for {
		followed, err := r.tell(ctx, listed, told)
		if err == nil && followed >= told.Head.Generation {
			return InstanceResult{ListedInstance: listed, Outcome: Confirmed, Generation: followed}
		}
		if err == nil {
			err = &RefusedError{Addr: listed.Addr, Status: http.StatusOK, Message: "still follows an older generation"}
		}
		result.Error = err.Error()
		var refused *RefusedError
		if !errors.As(err, &refused) && watched.answeredFor() > r.StaleAfter+staleGuard {
			result.Outcome = Stale
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(rolloutPeriod):
		}
	}
}

// NoAddressError says that an instance's operator listener is not known.
type NoAddressError struct {
	// Instance names the instance.
	Instance string
}

// Error implements error.
func (e *NoAddressError) Error() string {
	return "the operator listener of instance " + e.Instance + " is not known"
}

// tell tells one instance and returns the generation that it follows then. One
// whose listener is not known is looked up in its row.
func (r *Rollout) tell(ctx context.Context, listed ListedInstance, told HeadAnnouncement) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if listed.Addr != "" {
		status, err := r.Client.AnnounceHead(ctx, listed.Addr, told)
		return status.Generation, err
	}
	row, err := r.Store.Get(ctx, members.InstancesPrefix(r.Environment)+listed.Name)
	if err != nil || row.Version == 0 {
		return 0, &NoAddressError{Instance: listed.Name}
	}
	seen, err := listedRow(row)
	if err == nil && seen.RowGeneration < told.Head.Generation {
		err = &NoAddressError{Instance: listed.Name}
	}
	return seen.RowGeneration, err
}

// storeWatch knows since when the store has answered every read.
type storeWatch struct {
	cancel context.CancelFunc
	ended  sync.WaitGroup

	mu    sync.Mutex
	since time.Time
	last  time.Time
}

// watchStore reads the head row again and again until it is stopped.
func (r *Rollout) watchStore(ctx context.Context) *storeWatch {
	ctx, cancel := context.WithCancel(ctx)
	s := &storeWatch{cancel: cancel}
	s.ended.Go(func() {
		for ctx.Err() == nil {
			started := time.Now()
			_, err := r.Store.Get(ctx, configuration.HeadKey(r.Environment))
			s.note(started, err == nil)
			select {
			case <-ctx.Done():
			case <-time.After(rolloutPeriod):
			}
		}
	})
	return s
}

func (s *storeWatch) note(started time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !answered:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since, s.last = started, started
	default:
		s.last = started
	}
}

// answeredFor returns how long the store has answered without a failure.
func (s *storeWatch) answeredFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return s.last.Sub(s.since)
}

func (s *storeWatch) stop() {
	s.cancel()
	s.ended.Wait()
}
