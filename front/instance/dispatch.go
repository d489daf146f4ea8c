package instance

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/dispatch"
	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

// relaySender sends relayed requests to the relay listeners of peers. It is a
// type of its own so that wire can distinguish it from the endpoint client.
type relaySender struct{ *endpoint.Client }

func newEndpointClient(b *broker.Service, m *telemetry.Metrics) (*endpoint.Client, error) {
	observer, err := endpoint.CountOutcomes(b, m.Meter)
	if err != nil {
		return nil, err
	}
	return endpoint.NewClient(endpoint.Settings{}, observer), nil
}

// newRelaySender returns a client that uses mutual TLS, or plain HTTP if the
// instances are connected by plain TCP.
func newRelaySender(c peerTLS) relaySender {
	settings := endpoint.Settings{}
	if c != nil {
		config := (*tls.Config)(c).Clone()
		config.NextProtos = nil
		settings.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
		}
	}
	return relaySender{endpoint.NewClient(settings, ignoreOutcomes{})}
}

func newRelayClient(r relaySender, c *peer.Client, k *membership.Keeper) *dispatch.RelayClient {
	return dispatch.NewRelayClient(r, c, k.Members, k.Name)
}

func newDispatcher(s *Settings, b *broker.Service, c *endpoint.Client, r *dispatch.RelayClient, drains *shifts.Manager, m *telemetry.Metrics) (*dispatch.Dispatcher, error) {
	meters, err := dispatch.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	return &dispatch.Dispatcher{
		Region:    s.Region,
		Slots:     dispatch.BrokerSlots{Service: b},
		Endpoints: c,
		Relays:    r,
		Drains:    drains,
		Meters:    meters,
	}, nil
}

func newRelayServer(s *Settings, d *dispatch.Dispatcher, srv *peer.Server, log *logrus.Logger) *dispatch.RelayServer {
	r := dispatch.NewRelayServer(d, log)
	if s.Peers.Relay != "" {
		r.Register(srv, s.Peers.Relay)
	}
	return r
}

func newForward(d *dispatch.Dispatcher) *caller.Forward {
	return &caller.Forward{Sender: d}
}
