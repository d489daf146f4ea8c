// Package endpoint is the way to the users' endpoints.
//
// Client sends one request to one endpoint, streams bodies both ways, and says
// of each failure whether the request may have run. It keeps the connections
// itself, one exchange at a time on each, because which connection is trusted
// is a decision (see steer/health) and because a request must never be sent
// again without the caller's knowledge.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

const (
	// defaultDialTimeout bounds the making of a connection.
	defaultDialTimeout = time.Second
	// defaultProbeTimeout bounds a probe, with the making of its connection.
	defaultProbeTimeout = time.Second
	// pruneInterval is the time between two sweeps of idle connections.
	pruneInterval = time.Second
)

// Target is the endpoint that a request goes to.
type Target struct {
	// Address is the endpoint's host and port.
	Address string
	// Incarnation tells processes apart that use the address one after another.
	// A connection is only used for the incarnation that it was made for. ""
	// where endpoints are known by address alone.
	Incarnation string
}

// Request is a request to be sent to an endpoint.
type Request struct {
	// HTTP is the caller's request. It is not changed; its body is read.
	HTTP *http.Request
	// ID names the request in the logs of instances and endpoints, "" for none.
	ID string
	// Team is the team that the request runs for, "" on a route open to all.
	Team string
	// Idempotent says that the request may run twice without harm.
	Idempotent bool
	// Deadline is what the endpoint is told; zero means the context's.
	Deadline time.Time
	// ProgressTimeout bounds the time without progress on the connection; 0 leaves
	// only the context's deadline.
	ProgressTimeout time.Duration
	// RelayHeader holds headers for another instance that relays the request; it
	// is nil when the request goes to an endpoint. Only then is
	// HeaderRelayFailed believed.
	RelayHeader http.Header
}

// Observer learns how exchanges end. It is called from many goroutines.
type Observer interface {
	// Observe takes one outcome at the endpoint with the given address.
	// elapsed is the time from sending until the answer began, or until the
	// failure.
	Observe(address string, o health.Outcome, elapsed time.Duration)
}

// Settings are a client's settings. Zero values mean the defaults.
type Settings struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration
	// Connections says how long idle connections are trusted.
	Connections health.ConnectionRules
	// Dial makes network connections; nil means the system's dialer.
	Dial DialFunc
	// Protocol is what is spoken with endpoints; nil means this project's own.
	Protocol Protocol
	// DisableProbes leaves endpoints alone whose connections went silent.
	DisableProbes bool
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

// Run closes idle connections that no request would use, until ctx ends. Then
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

// pool returns the pool of an endpoint.
func (c *Client) pool(t Target) *pool {
	if p, ok := c.pools.Load(t); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(t, &pool{rules: c.settings.Connections})
	return p.(*pool)
}

// RemoveTarget closes the idle connections to an endpoint that is gone. Exchanges
// that are under way go on.
func (c *Client) RemoveTarget(t Target) {
	if p, ok := c.pools.LoadAndDelete(t); ok {
		p.(*pool).close()
	}
}

// nextExchangeID returns an identifier that no other exchange has.
func (c *Client) nextExchangeID() string {
	return c.exchangePrefix + strconv.FormatUint(c.exchanges.Add(1), 36)
}
