package endpoint

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// get sends an idempotent request with the given progress timeout.
func get(ctx context.Context, c *Client, progressTimeout time.Duration) error {
	resp, err := c.Send(ctx, target, &Request{HTTP: callerRequest(http.MethodGet, "/", nil), Idempotent: true, ProgressTimeout: progressTimeout})
	if err != nil {
		return err
	}
	_, err = readAll(resp)
	return err
}

// openIdle leaves n idle connections in the client's pool.
func openIdle(t *testing.T, c *Client, n int, gate *gate) {
	t.Helper()
	gate.hold()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if err := get(t.Context(), c, 0); err != nil {
				t.Error(err)
			}
		})
	}
	synctest.Wait()
	gate.open()
	wg.Wait()
}

// gate blocks a handler while it is held, so that requests overlap.
type gate struct {
	held atomic.Pointer[chan struct{}]
}

func (g *gate) hold() {
	c := make(chan struct{})
	g.held.Store(&c)
}

func (g *gate) open() { close(*g.held.Load()) }

func (g *gate) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if c := g.held.Load(); c != nil {
		<-*c
	}
	_, _ = w.Write([]byte("done"))
}

// TestAllConnectionsGoSilent makes all idle connections drop their writes at
// once. One request times out, the endpoint itself is not reported as
// unreachable, and the next requests run on new connections.
func TestAllConnectionsGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const progressTimeout = 250 * time.Millisecond
		g := &gate{}
		c, n, o := newTestClient(t, serveHTTP(g))
		openIdle(t, c, 42, g)
		n.dropAllWrites()
		start := time.Now()
		var e *Error
		if err := get(t.Context(), c, progressTimeout); !errors.As(err, &e) || e.Reason != ReasonTimedOut || e.Verdict != verdict.MayHaveRun {
			t.Fatalf("first request: %v, want %s", err, ReasonTimedOut)
		}
		for i := range 50 {
			if err := get(t.Context(), c, progressTimeout); err != nil {
				t.Fatalf("request %d after the silence: %v", i, err)
			}
		}
		if took := time.Since(start); took > 2*progressTimeout {
			t.Errorf("all requests took %v, want at most %v", took, 2*progressTimeout)
		}
		synctest.Wait()
		if o.count(health.OutcomeUnreachable) != 0 || o.count(health.OutcomeStaleConnection) != 1 {
			t.Errorf("outcomes = %v, want one silent connection and no unreachable endpoint", o.counts)
		}
		c.Close()
	})
}

// TestUnresponsiveEndpointIsUnreachable drops writes on the old connections and
// refuses new ones. The endpoint must be reported as unreachable.
func TestUnresponsiveEndpointIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, n, o := newTestClient(t, serveHTTP(&gate{}))
		if err := get(t.Context(), c, 0); err != nil {
			t.Fatal(err)
		}
		n.dropAllWrites()
		n.refuseDials = true
		if err := get(t.Context(), c, time.Second); err == nil {
			t.Fatal("request on a silent connection succeeded")
		}
		synctest.Wait()
		if o.count(health.OutcomeUnreachable) != 1 {
			t.Errorf("outcomes = %v, want the endpoint unreachable once", o.counts)
		}
		c.Close()
	})
}

// TestNonIdempotentAvoidsOldConnections drops writes on an idle connection
// without a response for longer than FreshFor. A booking must use a new
// connection and succeed.
func TestNonIdempotentAvoidsOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, n, _ := newTestClient(t, serveHTTP(&gate{}))
		if err := get(t.Context(), c, 0); err != nil {
			t.Fatal(err)
		}
		n.dropAllWrites()
		time.Sleep(health.DefaultFreshFor + time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		resp, err := c.Send(ctx, target, &Request{HTTP: callerRequest(http.MethodPost, "/book", nil)})
		if err != nil {
			t.Fatalf("booking: %v", err)
		}
		if _, err := readAll(resp); err != nil {
			t.Fatal(err)
		}
		c.Close()
	})
}

// TestLateAnswerReachesNobody lets a request time out before its response
// arrives. The next request must get its own response.
func TestLateAnswerReachesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/late" {
				time.Sleep(2 * time.Second)
			}
			_, _ = w.Write([]byte(r.URL.Path))
		})
		c, _, _ := newTestClient(t, serveHTTP(h))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Send(ctx, target, &Request{HTTP: callerRequest(http.MethodGet, "/late", nil), Idempotent: true})
		var e *Error
		if !errors.As(err, &e) || e.Reason != ReasonDeadline {
			t.Fatalf("late request: %v, want %s", err, ReasonDeadline)
		}
		for range 5 {
			resp, err := c.Send(t.Context(), target, &Request{HTTP: callerRequest(http.MethodGet, "/mine", nil), Idempotent: true})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := readAll(resp); err != nil || body != "/mine" {
				t.Fatalf("response %q, %v", body, err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		c.Close()
	})
}
