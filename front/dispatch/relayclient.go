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
	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Headers between instances. An endpoint never sees them and cannot forge them.
const (
	headerService    = endpoint.HeaderPrefix + "Relay-Service"
	headerVersion    = endpoint.HeaderPrefix + "Relay-Version"
	headerRegion     = endpoint.HeaderPrefix + "Relay-Region"
	headerIdempotent = endpoint.HeaderPrefix + "Relay-Idempotent"
	headerMaxWait    = endpoint.HeaderPrefix + "Relay-Max-Wait-Ms"
	headerWait       = endpoint.HeaderPrefix + "Relay-Wait-Ms"
)

const (
	// reasonNoRelay is the reason when the other instance can't be reached.
	reasonNoRelay = "relay-unreachable"
	// methodRelayAddress asks an instance where it takes relayed requests.
	methodRelayAddress = "relay.address"
	// refreshEvery is the time between two looks for other instances.
	refreshEvery = time.Second
	// addressTimeout bounds one question for an address.
	addressTimeout = time.Second
)

// relayAddress answers methodRelayAddress.
type relayAddress struct {
	// Address is host and port.
	Address string `json:"address"`
}

// RelayClient implements Relays.
type RelayClient struct {
	sender  Sender
	peers   peer.Caller
	members func() []membership.Member
	self    func() string

	mu        sync.RWMutex
	addresses map[string]string // relay address by instance
	byRegion  map[string][]string
}

// NewRelayClient returns a client that relays nothing until Run. sender carries
// requests to other instances.
func NewRelayClient(sender Sender, peers peer.Caller, members func() []membership.Member, self func() string) *RelayClient {
	return &RelayClient{
		sender: sender, peers: peers, members: members, self: self,
		addresses: make(map[string]string), byRegion: make(map[string][]string),
	}
}

// Run learns where other instances take relayed requests, until ctx ends.
func (c *RelayClient) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshEvery)
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

// refresh asks the instances whose addresses are not known and drops those that
// take no new work.
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

// address returns an instance's relay address, "" when it can't be learned now.
func (c *RelayClient) address(ctx context.Context, m membership.Member) string {
	c.mu.RLock()
	known := c.addresses[m.Name]
	c.mu.RUnlock()
	if known != "" {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer relayAddress
	if err := c.peers.Call(ctx, m.PeerAddress, methodRelayAddress, nil, &answer); err != nil {
		return ""
	}
	return answer.Address
}

// pick returns an instance in a region, spread by the request's identifier.
func (c *RelayClient) pick(region, id string) string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list := c.byRegion[region]
	if len(list) == 0 {
		return ""
	}
	return list[xxhash.Sum64String(id)%uint64(len(list))]
}

// Relay implements Relays.
func (c *RelayClient) Relay(ctx context.Context, g slots.Group, maxWait time.Duration, r *endpoint.Request) (*endpoint.Response, bool, error) {
	address := c.pick(g.Region, r.ID)
	if address == "" {
		return nil, false, nil
	}
	relayed := *r
	relayed.RelayHeader = http.Header{
		headerService: {g.Service}, headerVersion: {g.Version}, headerRegion: {g.Region},
		headerIdempotent: {strconv.FormatBool(r.Idempotent)},
		headerMaxWait:    {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	answer, err := c.sender.Send(ctx, endpoint.Target{Address: address}, &relayed)
	return answer, true, relayError(g, err)
}

// relayError turns the other instance's refusal of a slot back into the error
// that it was there.
func relayError(g slots.Group, err error) error {
	var failed *endpoint.Error
	if !errors.As(err, &failed) {
		return err
	}
	if failed.Reason == endpoint.ReasonUnreachable && failed.Header == nil {
		return &broker.UnavailableError{Group: g, Reason: reasonNoRelay, RetryAfter: noEndpointWait, Err: err}
	}
	if failed.Header.Get(headerWait) == "" {
		return err
	}
	ms, parseErr := strconv.ParseInt(failed.Header.Get(headerWait), 10, 64)
	if parseErr != nil {
		return err
	}
	wait := time.Duration(ms) * time.Millisecond
	switch reason := admission.Reason(failed.Reason); reason {
	case admission.ReasonDeadline, admission.ReasonWait, admission.ReasonFull:
		return &admission.Refusal{Reason: reason, Wait: wait}
	default:
		return &broker.UnavailableError{Group: g, Reason: string(failed.Reason), RetryAfter: wait}
	}
}
