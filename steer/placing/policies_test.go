package placing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// placed is the policy of this package, with one Placer per instance.
type placed struct {
	placers []*Placer
	read    int // number of figures that are read of the endpoints' reports
}

func newPlaced(m *model) *placed { return newPlacedWith(m, 3, DefaultRules()) }

// newPlacedWith returns placers that read a number of figures of reports: none, the
// first three or all four.
func newPlacedWith(m *model, read int, rules Rules) *placed {
	p := &placed{read: read}
	regions := map[string]string{}
	for _, r := range m.regions {
		regions[r.name] = r.name
	}
	var all []catalog.Endpoint
	for _, e := range m.endpoints {
		all = append(all, e.Endpoint)
	}
	for _, i := range m.instances {
		placer := New(rules, Locality{Self: i.Name, Region: i.Region, FailureDomain: i.Region + "-x", Regions: regions, Random: rand.NewPCG(hashOf(i.Name), 0)})
		placer.SetServices(map[string]catalog.Service{"s": {Name: "s", ColdRate: 5}})
		placer.SetFleet(m.instances)
		placer.SetEndpoints(m.clock(), all)
		for _, r := range m.regions {
			placer.SetRoundTrip(r.name, m.remote())
		}
		p.placers = append(p.placers, placer)
	}
	return p
}

func (p *placed) choose(m *model, r *modelRequest) (*modelEndpoint, time.Duration) {
	q := Query{
		Service: "s", Route: "r", Object: fmt.Sprint(r.object), Goal: m.goal,
		GoalLeft: m.goal - (m.now - r.first), DeadlineLeft: m.limit - (m.now - r.first),
	}
	if r.homed {
		q.HomeRegions = []string{m.regions[0].name}
	}
	c, err := p.placers[r.instance].Choose(m.clock(), q)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return nil, refusal.RetryAfter
	}
	r.choice = c
	for _, e := range m.endpoints {
		if e.ID == c.Endpoint.ID {
			return e, 0
		}
	}
	return nil, 0
}

func (p *placed) done(m *model, r *modelRequest, o Outcome) {
	p.placers[r.instance].ObserveRateLimit(epoch.Add(r.sentAt), m.clock(), r.choice.Endpoint.Incarnation(), m.rateLimit(r.at))
	report := Report{Requests: -1, WorkTime: -1}
	if p.read >= 3 {
		report.Requests = r.load
	}
	if p.read >= 4 {
		report.WorkTime = r.workTime
	}
	p.placers[r.instance].DoneWith(m.clock(), r.choice, o, m.now-r.sentAt, report)
}

func (p *placed) exchange(m *model) {
	if m.relayed {
		p.exchangeSums(m)
		return
	}
	for i, from := range p.placers {
		loads, warmed, limits := from.LocalLoads(), from.WarmedObjects(m.clock()), from.RateLimits(m.clock())
		for j, to := range p.placers {
			if i == j {
				continue
			}
			to.SetPeerLoads(m.instances[i].Name, loads)
			for _, l := range limits {
				to.ObservePeerRateLimit(m.clock(), l)
			}
			if m.instances[i].Region == m.instances[j].Region {
				to.AddPeerWarmed(m.clock(), warmed)
			}
		}
	}
}

// exchangeSums delivers to each instance the sum of the loads of the others of its
// region and the objects that they have sent, after relayLag.
func (p *placed) exchangeSums(m *model) {
	for _, members := range m.byRegion {
		sum := make(map[catalog.Incarnation]int)
		own := make(map[int][]Load, len(members))
		var warmed []WarmedObject
		for _, i := range members {
			own[i] = p.placers[i].LocalLoads()
			for _, l := range own[i] {
				sum[l.Endpoint] += l.Running
			}
			warmed = append(warmed, p.placers[i].WarmedObjects(m.clock())...)
		}
		for _, i := range members {
			others := maps.Clone(sum)
			for _, l := range own[i] {
				others[l.Endpoint] -= l.Running
			}
			var loads []Load
			for in, n := range others {
				loads = append(loads, Load{Endpoint: in, Running: n})
			}
			m.after(relayLag, func() {
				p.placers[i].SetPeerLoads("region", loads)
				p.placers[i].AddPeerWarmed(m.clock(), warmed)
			})
		}
	}
}

// pick is a stateless policy.
type pick func(m *model, r *modelRequest) *modelEndpoint

func (p pick) choose(m *model, r *modelRequest) (*modelEndpoint, time.Duration) {
	e := p(m, r)
	return e, m.warm / 2
}
func (pick) done(*model, *modelRequest, Outcome) {}
func (pick) exchange(*model)                     {}

// eligible returns the endpoints that may serve a request.
func eligible(m *model, r *modelRequest) []*modelEndpoint {
	return slices.DeleteFunc(slices.Clone(m.endpoints), func(e *modelEndpoint) bool { return !m.allowed(e, r) })
}

// anyOf returns a random eligible endpoint.
func anyOf(m *model, r *modelRequest) *modelEndpoint {
	all := eligible(m, r)
	return all[m.r.IntN(len(all))]
}

// inOwnRegion returns the eligible endpoints of the request's region, or all
// eligible ones if it has none.
func inOwnRegion(m *model, r *modelRequest) []*modelEndpoint {
	all := eligible(m, r)
	own := slices.DeleteFunc(slices.Clone(all), func(e *modelEndpoint) bool { return e.region != m.regions[r.region].name })
	if len(own) == 0 {
		return all
	}
	return own
}

// baselines are the policies to compare with. All but the rendezvous ones use
// only what every load balancer knows; the loads that they see are current.
var baselines = map[string]pick{
	"random":                anyOf,
	"least in flight, near": func(m *model, r *modelRequest) *modelEndpoint { return least(inOwnRegion(m, r)) },
	"power of two choices": func(m *model, r *modelRequest) *modelEndpoint {
		return least([]*modelEndpoint{anyOf(m, r), anyOf(m, r)})
	},
	"slots without objects": func(m *model, r *modelRequest) *modelEndpoint {
		if e := least(eligible(m, r)); e.sent < m.slots {
			return e
		}
		return nil
	},
	"rendezvous": func(m *model, r *modelRequest) *modelEndpoint { return rendezvous(eligible(m, r), r.object) },
	"rendezvous, near": func(m *model, r *modelRequest) *modelEndpoint {
		return rendezvous(inOwnRegion(m, r), r.object)
	},
}

func least(all []*modelEndpoint) *modelEndpoint {
	return slices.MinFunc(all, func(a, b *modelEndpoint) int { return cmp.Compare(a.sent, b.sent) })
}

func rendezvous(all []*modelEndpoint, object int) *modelEndpoint {
	return slices.MaxFunc(all, func(a, b *modelEndpoint) int {
		return cmp.Compare(mixHashes(uint64(len(a.ID))*31+hashOf(a.ID), uint64(object)), mixHashes(uint64(len(b.ID))*31+hashOf(b.ID), uint64(object)))
	})
}

func hashOf(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// allKnowing sees the current load and memory of each endpoint, and refuses
// requests that would be late only because of the queue.
func allKnowing(m *model, r *modelRequest) *modelEndpoint {
	var best *modelEndpoint
	var earliest time.Duration
	for _, e := range m.endpoints {
		limit := m.rateLimit(e)
		if !m.allowed(e, r) || limit.Named && !e.bucket.Ready(m.clock(), limit.PerSecond) {
			continue
		}
		d := m.cold
		if slices.Contains(e.known, r.object) {
			d = m.warm
		}
		roundTrip := m.remote()
		if e.region == m.regions[r.region].name {
			roundTrip = localRoundTrip
		}
		wait := time.Duration(0)
		if over := e.sent - m.slots + 1; over > 0 {
			wait = m.warm * time.Duration(over) / time.Duration(m.slots)
		}
		if at := roundTrip + wait + d; best == nil || at < earliest {
			best, earliest = e, at
		}
	}
	if best == nil || best.sent >= m.slots && m.now-r.first+earliest > m.goal {
		return nil
	}
	if limit := m.rateLimit(best); limit.Named {
		best.bucket.Take(m.clock(), limit.PerSecond)
	}
	return best
}
