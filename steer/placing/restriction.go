package placing

import (
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// leavingMemory is how long an incarnation that announced its shutdown is
// remembered. It has stopped long before.
const leavingMemory = 10 * time.Minute

// restriction is what an endpoint has asked of this instance in its responses.
// It applies to one incarnation, whatever the endpoint's entry says.
type restriction struct {
	// leavingSince is when it first announced its shutdown; zero if it has not.
	leavingSince time.Time
	// closedUntil is the end of the period for which it wants no requests.
	closedUntil time.Time
	// rate is what is known about its limit on the requests of all instances.
	rate ratelimit.Knowledge
}

// forbids reports whether the endpoint must get no request now.
func (r restriction) forbids(now time.Time) bool {
	return !r.leavingSince.IsZero() || now.Before(r.closedUntil)
}

// expired reports whether the restriction need not be remembered.
func (r restriction) expired(now time.Time) bool {
	return !now.Before(r.closedUntil) && now.Sub(r.leavingSince) > leavingMemory && r.rate.Expired(now)
}

// restrictions holds the restrictions of all incarnations. They outlive the
// endpoints' entries, which a store that was restored from an older copy may
// list again.
type restrictions struct {
	mu    sync.Mutex
	known map[catalog.Incarnation]restriction
}

// of returns the restriction of an incarnation.
func (r *restrictions) of(in catalog.Incarnation) restriction {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[in]
}

// update changes the restriction of an incarnation and returns the new one. It
// drops those that have expired.
func (r *restrictions) update(now time.Time, in catalog.Incarnation, change func(*restriction)) restriction {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, known := range r.known {
		if known.expired(now) {
			delete(r.known, other)
		}
	}
	known := r.known[in]
	change(&known)
	r.known[in] = known
	return known
}

// MarkLeaving records that an endpoint has announced its shutdown. It reports
// whether this was not known.
func (p *Placer) MarkLeaving(now time.Time, in catalog.Incarnation) bool {
	isNew := false
	p.restrict(now, in, func(r *restriction) {
		if isNew = r.leavingSince.IsZero(); isNew {
			r.leavingSince = now
		}
	})
	return isNew
}

// CloseFor records that an endpoint wants no requests of this instance for some
// time.
func (p *Placer) CloseFor(now time.Time, in catalog.Incarnation, d time.Duration) {
	p.restrict(now, in, func(r *restriction) {
		if until := now.Add(d); until.After(r.closedUntil) {
			r.closedUntil = until
		}
	})
}

// restrict changes the restriction of an incarnation.
func (p *Placer) restrict(now time.Time, in catalog.Incarnation, change func(*restriction)) {
	known := p.restrictions.update(now, in, change)
	p.eachGroup(func(_ string, g *group) {
		if e := g.endpoints[in]; e != nil {
			e.restriction = known
		}
	})
}

// MaySend reports whether an endpoint that was chosen earlier may still get the
// request.
func (p *Placer) MaySend(now time.Time, in catalog.Incarnation) bool {
	return !p.restrictions.of(in).forbids(now)
}

// Leaving returns the incarnations that announced their shutdown no longer than
// maxAge ago.
func (p *Placer) Leaving(now time.Time, maxAge time.Duration) []catalog.Incarnation {
	p.restrictions.mu.Lock()
	defer p.restrictions.mu.Unlock()
	var leaving []catalog.Incarnation
	for in, r := range p.restrictions.known {
		if !r.leavingSince.IsZero() && now.Sub(r.leavingSince) <= maxAge {
			leaving = append(leaving, in)
		}
	}
	return leaving
}
