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

// Outcome describes whether an instance follows a generation.
type Outcome string

const (
	// Confirmed means that the instance reported the generation or a newer one.
	Confirmed Outcome = "confirmed"
	// Stale means that the instance does not respond. It either refuses keyed
	// requests by now because its knowledge is stale, or follows the
	// generation.
	Stale Outcome = "stale"
	// Straggler means that the instance may still serve an older generation.
	Straggler Outcome = "straggler"
)

// InstanceResult is the result of a rollout for one instance.
type InstanceResult struct {
	ListedInstance
	// Outcome describes whether the instance follows the generation.
	Outcome Outcome `json:"outcome"`
	// Generation is the generation that it confirmed, or 0.
	Generation uint64 `json:"generation"`
	// Error is the last error of a call to it.
	Error string `json:"error,omitempty"`
}

// Rollout announces a promotion to instances and waits for them to confirm it.
type Rollout struct {
	// Client calls the instances.
	Client *Client
	// Store is read to verify that instances could learn of the promotion from
	// the store.
	Store configuration.Store
	// Environment is the name of the environment.
	Environment string
	// Instances are the instances to wait for.
	Instances []ListedInstance
	// StaleAfter is the age at which an instance's knowledge is stale.
	StaleAfter time.Duration
}

// Timing of a rollout.
const (
	pollInterval        = 250 * time.Millisecond
	instanceCallTimeout = 2 * time.Second
	// staleMargin is added to StaleAfter before an instance that does not
	// respond counts as stale.
	staleMargin = time.Second
)

// AnnounceAndIdentify announces the promotion once to every instance with a
// known listener. Meanwhile it merges entries of Instances that belong to the
// same instance, so that Wait lists no instance twice.
func (r *Rollout) AnnounceAndIdentify(ctx context.Context, head generation.Head, content []byte) {
	announcement := Head{Head: head, Content: content}
	var wg sync.WaitGroup
	for _, instance := range r.Instances {
		if instance.Addr != "" {
			wg.Go(func() { _, _ = r.announce(ctx, instance, announcement) }) // Wait announces it again
		}
	}
	r.Instances = r.Client.Identify(ctx, r.Instances)
	wg.Wait()
}

// Wait announces the promotion to every instance until each has confirmed it or
// must be stale, or until ctx ends. An instance that does not respond must be
// stale once the store has answered every read for StaleAfter. Only a store
// outage that peers confirm lets an instance trust its document for longer, and
// no peer can have reported one during that time.
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

// announceUntilConfirmed announces the promotion to one instance until it has
// confirmed it or must be stale.
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

// NoAddressError is returned if the operator listener of an instance is
// unknown.
type NoAddressError struct {
	// Instance is the name of the instance.
	Instance string
}

// Error implements error.
func (e *NoAddressError) Error() string {
	return "the operator listener of instance " + e.Instance + " is not known"
}

// announce announces the promotion to one instance and returns the generation
// that it follows afterwards. If its listener is unknown, the generation is
// read from its row.
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

// storeMonitor measures for how long every read of the store has succeeded.
type storeMonitor struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	healthySince time.Time
	lastSuccess  time.Time
}

// monitorStore reads the head row periodically until the monitor is stopped.
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

// healthyFor returns for how long every read of the store has succeeded.
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
