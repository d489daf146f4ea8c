package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// suspect notes that a request on c got no answer in time. The connection is
// blamed first: those like it are closed, and the endpoint is asked on a new
// one. The endpoint is blamed only when that fails too.
func (c *Client) suspect(p *pool, address string, cn *conn) {
	if !p.silent(cn.net.lastProgress()) {
		return
	}
	if c.settings.DisableProbes {
		p.probed()
		return
	}
	answered := health.OutcomeSilentConnection
	if cn.fresh {
		answered = health.OutcomeTimedOut
	}
	c.startProbe(p, address, answered)
}

// startProbe probes in the background and reports answered when the endpoint
// answers.
func (c *Client) startProbe(p *pool, address string, answered health.Outcome) {
	c.probes.Add(1)
	go func() {
		defer c.probes.Done()
		defer p.probed()
		ctx, cancel := context.WithTimeout(context.Background(), c.settings.ProbeTimeout)
		defer cancel()
		_ = c.probe(ctx, address, answered)
	}()
}

// Probe asks the endpoint for anything on a new connection and reports the
// outcome to the observer. Errors: *Error.
func (c *Client) Probe(ctx context.Context, t Target) error {
	return c.probe(ctx, t.Address, health.OutcomeProbed)
}

// probe asks once and observes answered or OutcomeUnreachable.
func (c *Client) probe(ctx context.Context, address string, answered health.Outcome) error {
	start := time.Now()
	if err := c.ask(ctx, address); err != nil {
		c.observer.Observe(address, health.OutcomeUnreachable, time.Since(start))
		return &Error{Reason: ReasonUnreachable, Address: address, Err: err}
	}
	c.observer.Observe(address, answered, time.Since(start))
	return nil
}

// ask sends OPTIONS *, the request that RFC 9110 section 9.3.7 names for this,
// on a new connection.
func (c *Client) ask(ctx context.Context, address string) error {
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
