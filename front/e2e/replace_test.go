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

// Pace of the callers in the replacement test.
const (
	replaceCallers = 6
	callerPause    = 20 * time.Millisecond
	// entriesAge is how long a caller uses an entry answer, below its lifetime.
	entriesAge = 500 * time.Millisecond
)

// callers are a team's callers that follow entry answers.
type callers struct {
	answered atomic.Int64
	mu       sync.Mutex
	lost     []error
	running  sync.WaitGroup
}

// loseError is a request without a whole answer of an endpoint.
type loseError struct{ answer request.Response }

func (e *loseError) Error() string {
	return e.answer.Instance + " answered " + http.StatusText(e.answer.Status) + ", " + e.answer.Reason
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context, seeds []string) {
	client := &request.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Seeds: seeds, Key: keyLarge}
	var asked time.Time
	for ctx.Err() == nil {
		if time.Since(asked) > entriesAge {
			entries, err := client.Entries(context.Background())
			if err != nil {
				c.lose(err)
				continue
			}
			asked = time.Now()
			client.Seeds = nil
			for _, e := range entries {
				client.Seeds = append(client.Seeds, e.URL)
			}
		}
		answer, err := client.Send(context.Background(), request.Request{Method: http.MethodGet, Path: "/tracker/mats"})
		switch {
		case err != nil:
			c.lose(err)
		case answer.Status != http.StatusOK:
			c.lose(&loseError{answer})
		default:
			c.answered.Add(1)
		}
		time.Sleep(callerPause)
	}
}

// lose notes a lost request.
func (c *callers) lose(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, err)
}

// TestReplacementLosesNothing replaces all instances one after another, then
// three at once, under callers who follow entry answers.
func TestReplacementLosesNothing(t *testing.T) {
	f := startFleet(t, 10)
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{}
	var seeds []string
	for _, i := range f.instances {
		seeds = append(seeds, i.url())
	}
	for range replaceCallers {
		c.running.Go(func() { c.run(ctx, seeds) })
	}
	old := f.instances
	for _, i := range old {
		f.addInstance(t, i.FailureDomain)
		i.stop(t)
	}
	old = f.instances[len(old):]
	for _, i := range old[:3] {
		f.addInstance(t, i.FailureDomain)
	}
	for _, i := range old[:3] {
		i.signal(t, syscall.SIGTERM)
	}
	for _, i := range old[:3] {
		i.ended(t)
	}
	cancel()
	c.running.Wait()
	if c.answered.Load() == 0 {
		t.Error("no request was answered")
	}
	if len(c.lost) > 0 {
		t.Errorf("%d requests were lost of %d: %v", len(c.lost), c.answered.Load(), errors.Join(c.lost[:min(len(c.lost), 10)]...))
	}
	t.Logf("%d requests answered, %d lost", c.answered.Load(), len(c.lost))
}
