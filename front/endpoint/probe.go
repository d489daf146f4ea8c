package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// handleTimeout handles a request on cn that got no response in time. It
// records the timeout in p, which closes its idle connections without a
// response since the last byte on cn: the fault that stalled cn may have
// stalled them too. It then probes the endpoint on a new connection in the
// background, unless a probe is already in progress. Only if the probe fails is
// the endpoint reported as unreachable. If the probe gets a response, the fault
// is attributed to the connection, or to a slow endpoint if cn was on its first
// request.
func (c *Client) handleTimeout(p *pool, address string, cn *conn) {
	if !p.recordTimeout(cn.tracked.lastProgress()) {
		return
	}
	if c.settings.DisableProbes {
		p.probeEnded()
		return
	}
	onResponse := health.OutcomeStaleConnection
	if cn.firstUse {
		onResponse = health.OutcomeTimedOut
	}
	c.startProbe(p, address, onResponse)
}

// startProbe probes in the background. It reports onResponse if the endpoint
// responds.
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

// Probe sends a probe to the endpoint on a new connection and reports the
// outcome to the observer. Errors: *Error.
func (c *Client) Probe(ctx context.Context, t Target) error {
	return c.probe(ctx, t.Address, health.OutcomeProbed)
}

// probe sends one probe and reports onResponse or OutcomeUnreachable.
func (c *Client) probe(ctx context.Context, address string, onResponse health.Outcome) error {
	start := time.Now()
	if err := c.sendProbe(ctx, address); err != nil {
		c.observer.Observe(address, health.OutcomeUnreachable, time.Since(start))
		return &Error{Reason: ReasonUnreachable, Address: address, Err: err}
	}
	c.observer.Observe(address, onResponse, time.Since(start))
	return nil
}

// sendProbe sends OPTIONS * on a new connection. RFC 9110 section 9.3.7
// describes this request as a ping.
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
