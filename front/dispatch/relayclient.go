package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/relay"
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Headers between instances. Endpoints never receive them and cannot forge
// them.
const (
	headerService    = endpoint.HeaderPrefix + "Relay-Service"
	headerVersion    = endpoint.HeaderPrefix + "Relay-Version"
	headerRegion     = endpoint.HeaderPrefix + "Relay-Region"
	headerIdempotent = endpoint.HeaderPrefix + "Relay-Idempotent"
	headerMaxWait    = endpoint.HeaderPrefix + "Relay-Max-Wait-Ms"
)

const (
	// reasonRelayUnreachable is the reason when the relaying instance cannot be
	// reached.
	reasonRelayUnreachable = "relay-unreachable"
	// methodRelayAddress requests the address at which an instance accepts
	// relayed requests.
	methodRelayAddress = "relay.address"
	// refreshInterval is the interval between two refreshes of the relay
	// addresses.
	refreshInterval = time.Second
	// addressTimeout is the timeout of one request for an address.
	addressTimeout = time.Second
)

// relayAddress is the response of methodRelayAddress.
type relayAddress struct {
	// Address is the host and port.
	Address string `json:"address"`
}

// RelayClient implements Relays. It sends requests for another region to an
// instance there.
type RelayClient struct {
	sender  Sender
	peers   peer.Caller
	members func() []membership.Member
	self    func() string

	mu        sync.RWMutex
	addresses map[string]string // relay address by instance
	byRegion  map[string][]string
}

// NewRelayClient returns a client that knows no relays until Run has refreshed
// them. sender sends requests to other instances.
func NewRelayClient(sender Sender, peers peer.Caller, members func() []membership.Member, self func() string) *RelayClient {
	return &RelayClient{
		sender: sender, peers: peers, members: members, self: self,
		addresses: make(map[string]string), byRegion: make(map[string][]string),
	}
}

// Run refreshes the relay addresses of other instances until ctx ends.
func (c *RelayClient) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh requests the addresses that are not known yet and drops instances
// that accept no new requests.
func (c *RelayClient) refresh(ctx context.Context) {
	byRegion := make(map[string][]string)
	addresses := make(map[string]string)
	for _, m := range c.members() {
		if !m.Usable() || m.Name == c.self() {
			continue
		}
		address := c.address(ctx, m)
		if address == "" {
			continue
		}
		addresses[m.Name] = address
		byRegion[m.Region] = append(byRegion[m.Region], address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
	c.byRegion = byRegion
}

// address returns the relay address of an instance, or "" if it cannot be
// determined now.
func (c *RelayClient) address(ctx context.Context, m membership.Member) string {
	c.mu.RLock()
	known := c.addresses[m.Name]
	c.mu.RUnlock()
	if known != "" {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var reply relayAddress
	if err := c.peers.Call(ctx, m.PeerAddress, methodRelayAddress, nil, &reply); err != nil {
		return ""
	}
	return reply.Address
}

// pickRelay returns the relay address of an instance in the region, or "".
// Requests are spread over the instances by request ID.
func (c *RelayClient) pickRelay(region, id string) string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	addresses := c.byRegion[region]
	if len(addresses) == 0 {
		return ""
	}
	return addresses[xxhash.Sum64String(id)%uint64(len(addresses))]
}

// Relay implements Relays.
func (c *RelayClient) Relay(ctx context.Context, g slots.Group, maxWait time.Duration, r *endpoint.Request) (*endpoint.Response, bool, error) {
	address := c.pickRelay(g.Region, r.ID)
	if address == "" {
		return nil, false, nil
	}
	relayed := *r
	relayed.RelayHeader = http.Header{
		headerService: {g.Service}, headerVersion: {g.Version}, headerRegion: {g.Region},
		headerIdempotent: {strconv.FormatBool(r.Idempotent)},
		headerMaxWait:    {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	response, err := c.sender.Send(ctx, endpoint.Target{Address: address}, &relayed)
	return response, true, slotError(g, err)
}

// slotError converts the error of a relayed request back into the error with
// which the relaying instance refused the slot, if it did.
func slotError(g slots.Group, err error) error {
	var endpointErr *endpoint.Error
	if !errors.As(err, &endpointErr) {
		return err
	}
	if endpointErr.Reason == endpoint.ReasonUnreachable && endpointErr.Header == nil {
		return &broker.UnavailableError{Group: g, Reason: reasonRelayUnreachable, RetryAfter: noEndpointRetryAfter, Err: err}
	}
	wait, ok := relay.FailureWait(endpointErr)
	if !ok {
		return err
	}
	switch reason := admission.Reason(endpointErr.Reason); reason {
	case admission.ReasonDeadline, admission.ReasonWait, admission.ReasonFull:
		return &admission.Refusal{Reason: reason, Wait: wait}
	default:
		return &broker.UnavailableError{Group: g, Reason: string(endpointErr.Reason), RetryAfter: wait}
	}
}
