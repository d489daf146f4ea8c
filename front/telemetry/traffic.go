package telemetry

import (
	"context"
	"errors"
	"net"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Traffic counts the bytes sent and received on connections to one kind of
// peer. A nil Traffic counts nothing.
type Traffic struct {
	sent     metric.Int64Counter
	received metric.Int64Counter
	peer     metric.MeasurementOption
}

// NewTraffic returns the counters for connections to one kind of peer, such as
// "platform".
func NewTraffic(m *Metrics, peer string) (*Traffic, error) {
	sent, err1 := m.Meter.Int64Counter("cardamomfront.traffic.sent",
		metric.WithUnit("By"), metric.WithDescription("Bytes sent, by the kind of peer."))
	received, err2 := m.Meter.Int64Counter("cardamomfront.traffic.received",
		metric.WithUnit("By"), metric.WithDescription("Bytes received, by the kind of peer."))
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	return &Traffic{sent: sent, received: received, peer: metric.WithAttributes(attribute.String("peer", peer))}, nil
}

// Conn wraps c so that its bytes are counted.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

// Dial opens a connection whose bytes are counted.
func (t *Traffic) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.Conn(c), nil
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(context.Background(), int64(n), c.traffic.peer)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(context.Background(), int64(n), c.traffic.peer)
	return n, err
}
