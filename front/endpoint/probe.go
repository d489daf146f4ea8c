package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// handleTimeout notes that a request on c got no answer in time. The connection is
// blamed first: those like it are closed, and the endpoint is asked on a new
// one. The endpoint is blamed only when that fails too.
func (c *Client) handleTimeout(p *pool, address string, cn *conn) {
	if !p.recordTimeout(cn.tracked.lastProgress()) {
		return
	}
	if c.settings.DisableProbes {
		p.probeEnded()
		return
	}
	onResponse := health.OutcomeSilentConnection
	if cn.firstUse {
		onResponse = health.OutcomeTimedOut
	}
	c.startProbe(p, address, onResponse)
}

// startProbe probes in the background and reports answered when the endpoint
// answers.
func (c *Client) startProbe(p *pool, address string, onResponse health.Outcome) {
	c.pendingProbes.Add(1)
	go func() {
		defer c.pendingProbes.Done()
		defer p.probeEnded()
		ctx, cancel := context.WithTimeout(context.Background(), c.settings.ProbeTimeout)
		defer cancel()
		_ = c.probe(ctx, address, onResponse)
	}()
}

// Probe asks the endpoint for anything on a new connection and reports the
// outcome to the observer. Errors: *Error.
func (c *Client) Probe(ctx context.Context, t Target) error {
	return c.probe(ctx, t.Address, health.OutcomeProbed)
}

// probe asks once and observes answered or OutcomeUnreachable.
func (c *Client) probe(ctx context.Context, address string, onResponse health.Outcome) error {
	start := time.Now()
	if err := c.sendProbe(ctx, address); err != nil {
		c.observer.Observe(address, health.OutcomeUnreachable, time.Since(start))
		return &Error{Reason: ReasonUnreachable, Address: address, Err: err}
	}
	c.observer.Observe(address, onResponse, time.Since(start))
	return nil
}

// sendProbe sends OPTIONS *, the request that RFC 9110 section 9.3.7 names for this,
// on a new connection.
func (c *Client) sendProbe(ctx context.Context, address string) error {
	cn, err := c.dialer.dial(ctx, address)
	if err != nil {
		return err
	}
	defer cn.close()
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+address, nil)
	if err != nil {
		return err
	}
	req.URL.Opaque = "*"
	resp, err := cn.http.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
