// Package linger closes connections of callers in stages, so that what was written
// is delivered (RFC 9112, 9.6). A socket that is closed while bytes of the caller are
// unread or still arrive resets its connection, and the caller loses what is under
// way. Therefore Close ends the writing side only. The bytes that still arrive are
// discarded until the caller has ended its side or a limit is reached, and then the
// socket is closed.
package linger

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
)

// Limits bounds how long connections stay open after Close, and at what cost.
type Limits struct {
	// Total bounds the time from Close on.
	Total time.Duration
	// Silence is the longest time in which the caller sends nothing and takes none
	// of the bytes that are still to be delivered.
	Silence time.Duration
	// Delivered is the longest time in which the caller sends nothing once its host
	// has acknowledged everything. A connection on which nothing was written for so
	// long, and which has nothing to deliver, is closed at once.
	Delivered time.Duration
	// MaxBytes bounds the bytes that are discarded on one connection.
	MaxBytes int64
	// MaxConns bounds the number of connections that stay open. The one that was
	// closed first makes room for a new one.
	MaxConns int
}

// DefaultLimits returns the limits for callers and other instances.
func DefaultLimits() Limits {
	return Limits{
		Total: 30 * time.Second, Silence: 5 * time.Second, Delivered: time.Second,
		MaxBytes: 64 << 20, // a refused body of the default limit
		MaxConns: 1024,
	}
}

// Closer wraps listeners whose connections are closed in stages. It is safe for
// concurrent use.
type Closer struct {
	limits   Limits
	log      logrus.FieldLogger
	counters counters

	mu    sync.Mutex
	conns list.List     // of *conn that may be abandoned, in the order of Close
	open  int           // connections whose socket is not closed
	empty chan struct{} // closed when open becomes 0; nil if nobody waits
}

// New returns a Closer that adds its counts to a meter.
func New(limits Limits, m metric.Meter, log logrus.FieldLogger) (*Closer, error) {
	c := &Closer{limits: limits, log: log.WithField("prefix", "linger")}
	return c, c.register(m)
}

// Listener returns a listener whose connections are closed in stages.
func (c *Closer) Listener(l net.Listener) net.Listener { return &listener{Listener: l, closer: c} }

// Wait returns when no connection is being closed, or when ctx ends.
func (c *Closer) Wait(ctx context.Context) error {
	select {
	case <-c.allClosed():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// allClosed returns a channel that is closed when no connection is being closed.
func (c *Closer) allClosed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.empty != nil {
		return c.empty
	}
	empty := make(chan struct{})
	if c.open == 0 {
		close(empty)
	} else {
		c.empty = empty
	}
	return empty
}

// Shutdown waits as Wait does, then closes the sockets that are left, and logs how
// connections have ended.
func (c *Closer) Shutdown(ctx context.Context) {
	if c.Wait(ctx) != nil {
		c.mu.Lock()
		for c.conns.Len() > 0 {
			c.abandonOldest(endStopped)
		}
		c.mu.Unlock()
		<-c.allClosed()
	}
	stats := c.Stats()
	entry := c.log.WithFields(stats.fields())
	if stats.Undelivered > 0 {
		entry.Warn("Connections were closed before their callers had received everything.")
		return
	}
	entry.Info("Connections were closed in stages.")
}

// add begins to wait for the caller of a connection.
func (c *Closer) add(nc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns.Len() >= c.limits.MaxConns {
		c.abandonOldest(endReplaced)
	}
	nc.element = c.conns.PushBack(nc)
	c.open++
	go nc.drain()
}

// abandonOldest closes the socket of the connection that was closed first. c.mu is
// held.
func (c *Closer) abandonOldest(why end) {
	if oldest := c.conns.Front(); oldest != nil {
		nc := oldest.Value.(*conn)
		c.forget(nc)
		nc.abandon(why)
	}
}

// forget makes sure that a connection is not abandoned. c.mu is held.
func (c *Closer) forget(nc *conn) {
	if nc.element != nil {
		c.conns.Remove(nc.element)
		nc.element = nil
	}
}

// done is called when the socket of a connection is closed.
func (c *Closer) done(nc *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(nc)
	c.open--
	if c.open == 0 && c.empty != nil {
		close(c.empty)
		c.empty = nil
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	closer *Closer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.closer), nil
}
