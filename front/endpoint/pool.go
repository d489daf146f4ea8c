package endpoint

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/health"
)

// maxIdleConns bounds an instance's idle connections to one endpoint.
const maxIdleConns = 64

// pool holds the idle connections to one endpoint. Each pool has its own lock.
type pool struct {
	rules health.ConnectionRules

	mu      sync.Mutex
	idle    []*conn // sorted by last response, latest last
	trust   health.Connections
	probing bool
	closed  bool
}

// take removes and returns the trusted connection with the latest response, or
// nil when a new connection is needed.
func (p *pool) take(now time.Time, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if !p.trust.Trusted(p.rules, c.lastResponse, now, idempotent) {
			return nil
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.http.Err() == nil {
			return c
		}
		c.close()
	}
	return nil
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.firstUse = false
	c.lastResponse = now
	if p.closed || len(p.idle) >= maxIdleConns || p.trust.Suspected(now) {
		go c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// recordTimeout records that a request sent at sentAt got no response. It
// closes the idle connections that have become suspected and reports whether
// the caller must probe the endpoint.
func (p *pool) recordTimeout(sentAt time.Time) (probe bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust.RecordTimeout(sentAt)
	p.closeMatching(func(c *conn) bool { return p.trust.Suspected(c.lastResponse) })
	probe = !p.probing && !p.closed
	p.probing = p.probing || probe
	return probe
}

// probeEnded records that a probe has ended.
func (p *pool) probeEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

// pruneIdle closes the idle connections that can no longer be used.
func (p *pool) pruneIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeMatching(func(c *conn) bool {
		return c.http.Err() != nil || !p.trust.Trusted(p.rules, c.lastResponse, now, true)
	})
}

// close closes the idle connections and those returned later.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeMatching(func(*conn) bool { return true })
}

// closeMatching closes the idle connections that match. The caller must hold
// the lock.
func (p *pool) closeMatching(match func(*conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if match(c) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
