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
	pollInterval        = 250 * time.Millisecond
	instanceCallTimeout = 2 * time.Second
	// staleMargin is added to StaleAfter before an instance that does not
	// answer counts as stale.
	staleMargin = time.Second
)

// AnnounceAndIdentify tells every instance whose listener is known once, and meanwhile finds
// out which of the instances are the same, so that Wait lists none twice.
func (r *Rollout) AnnounceAndIdentify(ctx context.Context, head generation.Head, content []byte) {
	announcement := Head{Head: head, Content: content}
	var wg sync.WaitGroup
	for _, instance := range r.Instances {
		if instance.Addr != "" {
			wg.Go(func() { _, _ = r.announce(ctx, instance, announcement) }) // Wait tells again
		}
	}
	r.Instances = r.Client.Identify(ctx, r.Instances)
	wg.Wait()
}

// Wait tells every instance of the promotion and returns when each of them has
// confirmed it or must have gone stale, or when ctx ends. An instance must
// have gone stale when it is silent and the store has answered all the time
// since StaleAfter ago: nobody can have told it that the store is silent.
func (r *Rollout) Wait(ctx context.Context, head generation.Head, content []byte) []InstanceResult {
	announcement := Head{Head: head, Content: content}
	results := make([]InstanceResult, len(r.Instances))
	monitor := r.monitorStore(ctx)
	var wg sync.WaitGroup
	for i, instance := range r.Instances {
		wg.Go(func() { results[i] = r.announceUntilConfirmed(ctx, instance, announcement, monitor) })
	}
	wg.Wait()
	monitor.stop()
	return results
}

// announceUntilConfirmed tells one instance until it has confirmed or must have gone stale.
func (r *Rollout) announceUntilConfirmed(ctx context.Context, instance ListedInstance, announcement Head, monitor *storeMonitor) InstanceResult {
	result := InstanceResult{ListedInstance: instance, Outcome: Straggler}
	for {
		confirmed, err := r.announce(ctx, instance, announcement)
		if err == nil && confirmed >= announcement.Head.Generation {
			return InstanceResult{ListedInstance: instance, Outcome: Confirmed, Generation: confirmed}
		}
		if err == nil {
			err = &RefusedError{Addr: instance.Addr, Status: http.StatusOK, Message: "still follows an older generation"}
		}
		result.Error = err.Error()
		var refused *RefusedError
		if !errors.As(err, &refused) && monitor.healthyFor() > r.StaleAfter+staleMargin {
			result.Outcome = Stale
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(pollInterval):
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

// announce tells one instance and returns the generation that it follows then. One
// whose listener is not known is looked up in its row.
func (r *Rollout) announce(ctx context.Context, instance ListedInstance, announcement Head) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
	defer cancel()
	if instance.Addr != "" {
		status, err := r.Client.AnnounceHead(ctx, instance.Addr, announcement)
		return status.Generation, err
	}
	row, err := r.Store.Get(ctx, members.InstancesPrefix(r.Environment)+instance.Name)
	if err != nil || row.Version == 0 {
		return 0, &NoAddressError{Instance: instance.Name}
	}
	current, err := decodeInstanceRow(row)
	if err == nil && current.RowGeneration < announcement.Head.Generation {
		err = &NoAddressError{Instance: instance.Name}
	}
	return current.RowGeneration, err
}

// storeMonitor knows since when the store has answered every read.
type storeMonitor struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	healthySince time.Time
	lastSuccess  time.Time
}

// monitorStore reads the head row again and again until it is stopped.
func (r *Rollout) monitorStore(ctx context.Context) *storeMonitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &storeMonitor{cancel: cancel}
	m.wg.Go(func() {
		for ctx.Err() == nil {
			started := time.Now()
			_, err := r.Store.Get(ctx, configuration.HeadKey(r.Environment))
			m.recordRead(started, err == nil)
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
	})
	return m
}

func (m *storeMonitor) recordRead(started time.Time, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !answered:
		m.healthySince = time.Time{}
	case m.healthySince.IsZero():
		m.healthySince, m.lastSuccess = started, started
	default:
		m.lastSuccess = started
	}
}

// healthyFor returns how long the store has answered without a failure.
func (m *storeMonitor) healthyFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.healthySince.IsZero() {
		return 0
	}
	return m.lastSuccess.Sub(m.healthySince)
}

func (m *storeMonitor) stop() {
	m.cancel()
	m.wg.Wait()
}
