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
	"github.com/cardamomfront/cardamomfront/steer/priority"
)

// placed is the policy of this package, with one Placer per instance.
type placed struct {
	placers []*Placer
	read    int                              // number of figures that are read of the endpoints' reports
	queues  []*priority.Queue[*modelRequest] // of the instances, if ranked
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
		p.queues = append(p.queues, priority.NewQueue[*modelRequest](priority.DefaultQueueRules()))
		if m.ranked {
			var ranks []int
			for _, k := range m.kinds {
				ranks = append(ranks, k.rank)
			}
			placer.SetRanks(map[string][]int{"s": slices.Compact(ranks)})
		}
	}
	return p
}

func (p *placed) choose(m *model, r *modelRequest) (*modelEndpoint, time.Duration) {
	refusal := p.try(m, r, false)
	switch {
	case refusal == nil:
		return r.at, 0
	case refusal.MayWait:
		return nil, p.wait(m, r, refusal)
	}
	return nil, refusal.RetryAfter
}

// try chooses an endpoint for a request and sets it.
func (p *placed) try(m *model, r *modelRequest, waiting bool) *Refusal {
	q := Query{
		Service: "s", Route: r.kind.name, Object: fmt.Sprint(r.object), Goal: r.kind.goal, Rank: r.kind.rank, Waiting: waiting,
		GoalLeft: r.kind.goal - (m.now - r.first), DeadlineLeft: r.kind.limit - (m.now - r.first),
	}
	if r.homed {
		q.HomeRegions = []string{m.regions[0].name}
	}
	c, err := p.placers[r.instance].Choose(m.clock(), q)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r.choice = c
	for _, e := range m.endpoints {
		if e.ID == c.Endpoint.ID {
			r.at = e
		}
	}
	return nil
}

// wait adds a request to the queue of its instance, as front/waiting does.
func (p *placed) wait(m *model, r *modelRequest, refusal *Refusal) time.Duration {
	latest := priority.LatestStart(epoch.Add(r.first+r.kind.goal), epoch.Add(r.first+r.kind.limit), m.clock(), refusal.Work)
	queue := p.queues[r.instance]
	retry, ok := queue.Push(m.clock(), r.kind.rank, latest, r)
	if !ok {
		return retry
	}
	if queue.Len() == 1 {
		m.after(p.interval(m), func() { p.poll(m, r.instance) })
	}
	return waits
}

// interval returns the time to the next try without the end of an attempt.
func (p *placed) interval(m *model) time.Duration {
	return time.Duration((0.5 + m.r.Float64()) * float64(priority.TryInterval))
}

// poll wakes the first waiting request of an instance at intervals.
func (p *placed) poll(m *model, instance int) {
	p.wake(m, instance)
	if p.queues[instance].Len() > 0 {
		m.after(p.interval(m), func() { p.poll(m, instance) })
	}
}

// wake lets the first waiting requests of an instance try again.
func (p *placed) wake(m *model, instance int) {
	queue := p.queues[instance]
	for _, r := range queue.Expire(m.clock()) {
		m.refuse(r, queue.Refuse(m.clock(), r.kind.rank))
	}
	for i := 0; i < min(queue.Len(), priority.MaxTries); i++ {
		r := queue.At(i).Value
		if p.try(m, r, true) == nil {
			queue.Started(m.clock(), r)
			m.send(r, r.at)
			return
		}
	}
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
	p.wake(m, r.instance)
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

// exchangeSums delivers to each instance the sum of the loads of all others, and the
// objects that those of its region have sent, after relayLag.
func (p *placed) exchangeSums(m *model) {
	sum := make(map[catalog.Incarnation]int)
	own := make([][]Load, len(p.placers))
	for i, placer := range p.placers {
		own[i] = placer.LocalLoads()
		for _, l := range own[i] {
			sum[l.Endpoint] += l.Running
		}
	}
	for _, members := range m.byRegion {
		var warmed []WarmedObject
		for _, i := range members {
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
			measuredAt := m.clock()
			m.after(relayLag, func() {
				p.placers[i].SetPeerSums("fleet", loads, measuredAt)
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
