// Package endpoint sends requests to the users' endpoints.
//
// Client sends one request to one endpoint, streams the bodies in both
// directions, and states for each failure whether the request may have run. It
// does not use the connection pool of net/http: steer/health decides which
// connections are trusted, each connection carries one exchange at a time, and
// a request must never be sent again without the caller's knowledge.
package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

const (
	// defaultDialTimeout bounds connection setup.
	defaultDialTimeout = time.Second
	// defaultProbeTimeout bounds a probe, including its connection setup.
	defaultProbeTimeout = time.Second
	// pruneInterval is the time between two checks for idle connections to
	// close.
	pruneInterval = time.Second
)

// Target is the endpoint that a request is sent to.
type Target struct {
	// Address is the endpoint's host and port.
	Address string
	// Incarnation distinguishes the processes that successively use the
	// address. A connection is only used for the incarnation that it was made
	// for. It is "" where endpoints are identified by address alone.
	Incarnation string
}

// Request is a request to an endpoint.
type Request struct {
	// HTTP is the caller's request. It is not changed; its body is read.
	HTTP *http.Request
	// ID identifies the request in the logs of instances and endpoints. It is
	// "" if there is none.
	ID string
	// Team is the team on whose behalf the request runs. It is "" on an open
	// route.
	Team string
	// Idempotent reports whether the request may run twice without harm.
	Idempotent bool
	// Deadline is the deadline sent to the endpoint. The zero value means the
	// context's deadline.
	Deadline time.Time
	// Permit is called immediately before the request is sent, which may be some
	// time after the endpoint was chosen. If it returns false, the request is not
	// sent. Nil permits all.
	Permit func() bool
	// Sent is called when the request is about to be written to a connection, and
	// again if it is written to another one. It may be nil.
	Sent func()
	// ProgressTimeout bounds the time without progress on the connection. With
	// 0 only the context's deadline applies.
	ProgressTimeout time.Duration
	// RelayHeader holds the headers for another instance that relays the
	// request. It is nil when the request is sent to an endpoint directly.
	// HeaderRelayFailed in a response is only honored when RelayHeader is set.
	RelayHeader http.Header
}

// Observer receives the outcomes of exchanges. It is called from many
// goroutines.
type Observer interface {
	// Observe records one outcome at the endpoint with the given address.
	// elapsed is the time from sending the request until the response headers
	// or the failure.
	Observe(address string, o health.Outcome, elapsed time.Duration)
}

// Settings are a client's settings. Zero values mean the defaults.
type Settings struct {
	// DialTimeout bounds connection setup.
	DialTimeout time.Duration
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration
	// Connections defines how long idle connections are trusted.
	Connections health.ConnectionRules
	// Dial makes network connections; nil means the system's dialer.
	Dial DialFunc
	// Protocol is used with endpoints in addition to HTTP; nil means this
	// project's own protocol.
	Protocol Protocol
	// DisableProbes turns off the probes of endpoints whose connections timed
	// out.
	DisableProbes bool
	// InvalidLoads counts the load reports that could not be read; nil counts
	// none.
	InvalidLoads metric.Int64Counter
}

// DialFunc makes a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	settings Settings
	observer Observer
	dialer   *dialer
	pools    sync.Map // Target to *pool

	exchangePrefix string
	exchanges      atomic.Uint64
	pendingProbes  sync.WaitGroup
}

// NewClient returns a client that reports outcomes to o.
func NewClient(s Settings, o Observer) *Client {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.ProbeTimeout == 0 {
		s.ProbeTimeout = defaultProbeTimeout
	}
	if s.Connections == (health.ConnectionRules{}) {
		s.Connections = health.DefaultConnectionRules()
	}
	if s.Dial == nil {
		s.Dial = (&net.Dialer{Timeout: s.DialTimeout}).DialContext
	}
	if s.Protocol == nil {
		s.Protocol = defaultProtocol{}
	}
	return &Client{
		settings:       s,
		observer:       o,
		dialer:         newDialer(s),
		exchangePrefix: uuid.NewString() + "-",
	}
}

// Run closes idle connections that can no longer be used, until ctx ends. Then
// it closes every idle connection and waits for the probes.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return nil
		case now := <-ticker.C:
			c.eachPool(func(p *pool) { p.pruneIdle(now) })
		}
	}
}

// Close closes the idle connections and waits for the probes.
func (c *Client) Close() {
	c.eachPool((*pool).close)
	c.pendingProbes.Wait()
}

// eachPool calls f for each pool.
func (c *Client) eachPool(f func(*pool)) {
	c.pools.Range(func(_, v any) bool {
		f(v.(*pool))
		return true
	})
}

// pool returns an endpoint's pool and creates it if necessary.
func (c *Client) pool(t Target) *pool {
	if p, ok := c.pools.Load(t); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(t, &pool{rules: c.settings.Connections})
	return p.(*pool)
}

// RemoveTarget closes the idle connections to a removed endpoint. Exchanges in
// flight continue.
func (c *Client) RemoveTarget(t Target) {
	if p, ok := c.pools.LoadAndDelete(t); ok {
		p.(*pool).close()
	}
}

// Refuses reports whether the endpoint refuses new connections, as the address of
// a process that has ended does. A connection that it accepts is kept for a later
// request. Errors: *Error if the endpoint does neither.
func (c *Client) Refuses(ctx context.Context, t Target) (bool, error) {
	cn, err := c.dialer.dial(ctx, t.Address)
	switch {
	case err == nil:
		c.pool(t).put(cn, time.Now())
		return false, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, &Error{Reason: ReasonUnreachable, Verdict: notRun, Address: t.Address, Err: err}
}

// nextExchangeID returns a unique identifier for an exchange.
func (c *Client) nextExchangeID() string {
	return c.exchangePrefix + strconv.FormatUint(c.exchanges.Add(1), 36)
}
