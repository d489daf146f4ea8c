package placing

import "time"

// Use is what this instance holds of one service's endpoints.
type Use struct {
	// Service names the service.
	Service string
	// Endpoints is how many may get requests.
	Endpoints int
	// Resting is how many of them get nothing at present, after failures.
	Resting int
	// Cold is how many of them are cold.
	Cold int
	// Slots is the number of requests that all can run at the same time.
	Slots int
	// Running is the number of requests there, queued ones included, as far as
	// known.
	Running int
}

// Uses returns the use of each service's endpoints.
func (p *Placer) Uses(now time.Time) []Use {
	var uses []Use
	p.eachGroup(func(service string, g *group) {
		u := Use{Service: service}
		for _, e := range g.ordered {
			if p.closed[e.FailureDomain] {
				continue
			}
			u.Endpoints++
			u.Slots += e.Slots
			u.Running += e.running(now, p.rules)
			if now.Before(e.restUntil) {
				u.Resting++
			}
			if e.cold(now) {
				u.Cold++
			}
		}
		uses = append(uses, u)
	})
	return uses
}
