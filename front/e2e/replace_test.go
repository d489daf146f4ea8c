package e2e

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/operator/request"
)

// Load in the replacement test.
const (
	replaceCallerCount = 6
	requestInterval    = 20 * time.Millisecond
	// maxEntriesAge is how long a caller uses an entries response. It is less than
	// the lifetime of the response, which is 1 s in the test document.
	maxEntriesAge = 500 * time.Millisecond
)

// steadyCallers simulates callers of one team that refresh their entries and
// counts their requests.
type steadyCallers struct {
	succeeded atomic.Int64
	mu        sync.Mutex
	failures  []error
	running   sync.WaitGroup
}

// failedRequestError reports a response other than 200.
type failedRequestError struct{ response request.Response }

func (e *failedRequestError) Error() string {
	return e.response.Instance + " responded " + http.StatusText(e.response.Status) + ", " + e.response.Reason
}

// run sends requests until ctx is done.
func (c *steadyCallers) run(ctx context.Context, seeds []string) {
	client := &request.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Seeds: seeds, Key: keyLarge}
	var fetchedAt time.Time
	for ctx.Err() == nil {
		if time.Since(fetchedAt) > maxEntriesAge {
			entries, err := client.Entries(context.Background())
			if err != nil {
				c.recordFailure(err)
				continue
			}
			fetchedAt = time.Now()
			client.Seeds = nil
			for _, e := range entries {
				client.Seeds = append(client.Seeds, e.URL)
			}
		}
		resp, err := client.Send(context.Background(), request.Request{Method: http.MethodGet, Path: "/tracker/mats"})
		switch {
		case err != nil:
			c.recordFailure(err)
		case resp.Status != http.StatusOK:
			c.recordFailure(&failedRequestError{resp})
		default:
			c.succeeded.Add(1)
		}
		time.Sleep(requestInterval)
	}
}

// recordFailure records a failed request.
func (c *steadyCallers) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, err)
}

// TestReplacementLosesNothing replaces all instances one after another, then
// three at once. No request of callers that refresh their entries may fail.
func TestReplacementLosesNothing(t *testing.T) {
	f := startFleet(t, 10)
	ctx, cancel := context.WithCancel(context.Background())
	c := &steadyCallers{}
	var seeds []string
	for _, i := range f.instances {
		seeds = append(seeds, i.url())
	}
	for range replaceCallerCount {
		c.running.Go(func() { c.run(ctx, seeds) })
	}
	replaced := f.instances
	for _, i := range replaced {
		f.addInstance(t, i.FailureDomain)
		i.stop(t)
	}
	replaced = f.instances[len(replaced):]
	for _, i := range replaced[:3] {
		f.addInstance(t, i.FailureDomain)
	}
	for _, i := range replaced[:3] {
		i.signal(t, syscall.SIGTERM)
	}
	for _, i := range replaced[:3] {
		i.waitStopped(t)
	}
	cancel()
	c.running.Wait()
	if c.succeeded.Load() == 0 {
		t.Error("no request succeeded")
	}
	if len(c.failures) > 0 {
		t.Errorf("%d requests failed, %d succeeded: %v", len(c.failures), c.succeeded.Load(), errors.Join(c.failures[:min(len(c.failures), 10)]...))
	}
	t.Logf("%d requests succeeded, %d failed", c.succeeded.Load(), len(c.failures))
}
