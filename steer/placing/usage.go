package placing

import "time"

// Usage is this instance's view of one service's endpoints.
type Usage struct {
	// Service names the service.
	Service string
	// Endpoints is the number of endpoints that may get requests.
	Endpoints int
	// BackingOff is how many of them currently get no requests after failures.
	BackingOff int
	// Limited is how many of them name a limit on their requests.
	Limited int
	// Cold is how many of them are cold.
	Cold int
	// Slots is the number of requests that all of them can run at the same
	// time.
	Slots int
	// Running is the known number of requests there, including queued ones.
	Running int
}

// Usages returns the usage of each service's endpoints.
func (p *Placer) Usages(now time.Time) []Usage {
	var uses []Usage
	p.eachGroup(func(service string, g *group) {
		u := Usage{Service: service}
		for _, e := range g.ordered {
			if p.drainedDomains[e.FailureDomain] {
				continue
			}
			u.Endpoints++
			u.Slots += e.Slots
			u.Running += e.running(now, p.rules)
			if now.Before(e.backoffUntil) || e.restriction.forbids(now) {
				u.BackingOff++
			}
			if e.restriction.rate.Limit(now).Named {
				u.Limited++
			}
			if e.cold(now) {
				u.Cold++
			}
		}
		uses = append(uses, u)
	})
	return uses
}
