package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// An endpoint in trouble may send a body without end. Until it is cut, it looks like a
// long response without a length, and it holds up, and finally takes along, the responses
// behind it on its connection. An idempotent request with such a response is therefore
// sent to a second endpoint before the response is passed on. If the second one answers
// with an end, the first response was faulty; otherwise such responses are usual on the
// route.

// usualFor is how long responses of a route are not compared after two endpoints have
// sent long ones without a length.
const usualFor = time.Minute

// isUnended reports whether the end of a response is not known.
func (b *bufferedResponse) isUnended() bool { return !b.complete && b.ContentLength < 0 }

// longRoutes are the routes on which long responses without a length are usual. It is
// safe for concurrent use. The zero value has none.
type longRoutes struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add adds a route for usualFor.
func (l *longRoutes) add(route string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[string]time.Time)
	}
	for name, until := range l.until {
		if now.After(until) {
			delete(l.until, name) // of an older catalog, perhaps
		}
	}
	l.until[route] = now.Add(usualFor)
}

// has reports whether a route has been added.
func (l *longRoutes) has(route string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until[route])
}

// settle returns the response to pass on, or nil if it is to be compared with that of
// another endpoint first.
func (r *attemptRun) settle(res result) *bufferedResponse {
	now := time.Now()
	switch {
	case r.unended == nil && (!res.response.isUnended() || !r.compare(res, now)):
		return res.response
	case r.unended == nil:
		r.unended = &res
		return nil
	case res.response.isUnended():
		r.sender.longRoutes.add(r.route.Name, now)
		_ = res.response.Body.Close() // it is not used
		return r.unended.response
	}
	_ = r.unended.response.Body.Close() // it may have no end
	r.sender.reportUnended(r.exchange, r.unended.choice)
	return res.response
}

// compare starts an attempt at another endpoint, unless it is not allowed, long
// responses are usual on the route, or another instance has compared the response.
func (r *attemptRun) compare(res result, now time.Time) bool {
	if res.relayed || !r.route.Idempotent || r.streamBody || r.sender.longRoutes.has(r.route.Name, now) {
		return false
	}
	if r.inFlight > 0 {
		return true // the response of the other endpoint is awaited
	}
	r.delivered++
	return r.hedge()
}

// reportUnended counts a response without end as a failure of its endpoint.
func (s *sender) reportUnended(x *exchange, c *placement) {
	s.placer.Fault(time.Now(), c.Choice)
	s.metrics.recordAttempt(x, placing.OutcomeFailed, c)
	if s.shouldLog(x, placing.OutcomeFailed) {
		x.log.WithFields(logrus.Fields{"endpoint": c.Endpoint.ID, "route": x.route.Name, "service": x.service}).
			Info("Response without end dropped, another endpoint has answered.")
	}
}
