// Package reachability finds out whether this instance reaches any endpoint at all:
// it observes the dials of the endpoint client, probes endpoints when that is due,
// and holds failures without a response back until it is known whether they are
// this instance's own. The decisions are those of steer/reach.
package reachability

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

const (
	// probeCheckInterval is the time between two checks whether a probe is due.
	probeCheckInterval = 100 * time.Millisecond
	// probeDialTimeout bounds the dials of a probe: several round trips between any
	// two regions.
	probeDialTimeout = 400 * time.Millisecond
	// minDialEvidence is how long a dial that the request's deadline ends must have
	// taken to say something about the endpoint.
	minDialEvidence = 250 * time.Millisecond
)

// Watch probes endpoints to find out whether this instance is cut off from all
// of them. It is safe for concurrent use.
type Watch struct {
	monitor     *reach.Monitor
	client      *endpoint.Client
	placer      *placing.Placer
	notifyPeers func() // syncs with the other instances at once
	log         logrus.FieldLogger

	mu       sync.Mutex
	failures []pendingFailure
}

// New returns a watch that reports what it finds out to m.
func New(m *reach.Monitor, c *endpoint.Client, p *placing.Placer, log *logrus.Logger) *Watch {
	return &Watch{monitor: m, client: c, placer: p, notifyPeers: func() {}, log: log.WithField("prefix", "reach")}
}

// SetNotifyPeers sets the function that syncs with the other instances at once. It
// must not be called after Run.
func (w *Watch) SetNotifyPeers(f func()) { w.notifyPeers = f }

// Monitor returns the monitor that knows whether this instance is cut off.
func (w *Watch) Monitor() *reach.Monitor { return w.monitor }

// Run probes endpoints when that is due until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.settleFailures(now)
			if n := w.monitor.Probe(now); n > 0 {
				w.probe(ctx, n)
			}
		}
	}
}

// probe dials up to n endpoints at the same time.
func (w *Watch) probe(ctx context.Context, n int) {
	endpoints := w.placer.SpreadEndpoints(n, catalog.Incarnation{})
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	results := make(chan bool, len(endpoints))
	for _, e := range endpoints {
		go func() {
			refuses, err := w.client.Refuses(ctx, endpoint.Target{Address: e.Address, Incarnation: e.ID})
			results <- err == nil && !refuses
		}()
	}
	accepted := 0
	for range endpoints {
		if <-results {
			accepted++
		}
	}
	now := time.Now()
	log := w.log.WithFields(logrus.Fields{"probed": len(endpoints), "accepted": accepted})
	_, since := w.monitor.IsCutOff()
	switch w.monitor.ProbeEnded(now, len(endpoints), accepted, len(endpoints) < n) {
	case reach.CutOff:
		_, since = w.monitor.IsCutOff()
		log.WithField("since_ms", now.Sub(since).Milliseconds()).Warn("No endpoint accepts connections, this instance is cut off.")
		w.notifyPeers()
	case reach.Restored:
		w.placer.ForgetFailures()
		log.WithField("away_ms", now.Sub(since).Milliseconds()).Info("Endpoints accept connections again.")
		w.notifyPeers()
	case reach.Unchanged:
	}
}

// ObserveDials returns a dial function that reports to m whether endpoints accept
// connections. A nil dial means the system's dialer.
func ObserveDials(dial endpoint.DialFunc, m *reach.Monitor) endpoint.DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		start := time.Now()
		conn, err := dial(ctx, network, address)
		now := time.Now()
		switch {
		case err == nil:
			m.ConnectionEnded(now, address, true)
		case errors.Is(ctx.Err(), context.Canceled):
		case ctx.Err() == nil || now.Sub(start) >= minDialEvidence:
			m.ConnectionEnded(now, address, false)
		}
		return conn, err
	}
}

// HasResponded reports whether an endpoint has sent a response to a request.
func HasResponded(err error) bool {
	var e *endpoint.Error
	if !errors.As(err, &e) {
		return err == nil
	}
	switch e.Reason {
	case endpoint.ReasonShed, endpoint.ReasonMisdirected, endpoint.ReasonExchangeMismatch, endpoint.ReasonUnframed,
		endpoint.ReasonInvalidResponse, endpoint.ReasonTruncated:
		return true
	case endpoint.ReasonUnreachable, endpoint.ReasonTimedOut, endpoint.ReasonDeadline, endpoint.ReasonCanceled,
		endpoint.ReasonBroken, endpoint.ReasonCallerBody, endpoint.ReasonWithdrawn, endpoint.ReasonUnsendable:
	}
	return false
}
