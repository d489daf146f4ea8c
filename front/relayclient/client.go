// Package relayclient sends requests through other instances while this one reaches
// no endpoint. An instance through which requests are sent is a helper; front/relay
// serves the requests there. The choice of the helper is that of steer/reach.
package relayclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// headerRelayEndpoints is the number of endpoints that a relayed request may still
// be sent to.
const headerRelayEndpoints = endpoint.HeaderPrefix + "Relay-Endpoints"

// dialTimeout bounds the dial of a connection to another instance.
const dialTimeout = 500 * time.Millisecond

// Client sends requests through other instances. It is safe for concurrent use.
type Client struct {
	client  *endpoint.Client
	helpers func() []reach.Helper

	mu      sync.Mutex
	random  *rand.Rand
	running map[string]int // requests, by address
}

// New returns a client that knows no helpers. It reports outcomes to o.
func New(o endpoint.Observer) *Client {
	return &Client{
		client:  endpoint.NewClient(endpoint.Settings{DialTimeout: dialTimeout, DisableProbes: true}, o),
		helpers: func() []reach.Helper { return nil },
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		running: make(map[string]int),
	}
}

// SetHelpers sets the function that returns the instances that reach endpoints. It
// must not be called after the first Choose.
func (c *Client) SetHelpers(f func() []reach.Helper) { c.helpers = f }

// Run closes idle connections to other instances until ctx ends.
func (c *Client) Run(ctx context.Context) error { return c.client.Run(ctx) }

// Choose returns a helper in one of the regions, or in any without regions, if there
// is one. tried are addresses of helpers that have failed.
func (c *Client) Choose(regions []string, tried map[string]bool) (reach.Helper, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var helpers []reach.Helper
	for _, h := range c.helpers() {
		if !tried[h.Address] {
			h.Running = c.running[h.Address]
			helpers = append(helpers, h)
		}
	}
	return reach.ChooseHelper(c.random, helpers, regions)
}

// count adds n to the number of requests that run at a helper.
func (c *Client) count(address string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[address] += n; c.running[address] <= 0 {
		delete(c.running, address)
	}
}

// Send sends a request through a helper, which may send it to a number of endpoints.
// The request counts as running until read has returned. Errors: *endpoint.Error, or
// that of read.
func (c *Client) Send(ctx context.Context, h reach.Helper, request endpoint.Request, endpoints int, read func(*endpoint.Response) error) error {
	c.count(h.Address, 1)
	defer c.count(h.Address, -1)
	request.RelayHeader = http.Header{headerRelayEndpoints: {strconv.Itoa(endpoints)}}
	response, err := c.client.Send(ctx, endpoint.Target{Address: h.Address}, &request)
	if err != nil {
		return err
	}
	return read(response)
}

// MaxEndpoints returns the number of endpoints that a relayed request may be sent
// to, 0 if unknown.
func MaxEndpoints(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(headerRelayEndpoints))
	return n
}
