package slots

import (
	"errors"
	"fmt"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/routing"
)

// policy decides what an instance does with an arriving job.
type policy struct {
	desc string
	make func(w *simulation) func(*job)
}

// idealQueue is the lower bound: one queue that knows all slots and reaches
// them without delay, like a single instance next to all endpoints.
func idealQueue(w *simulation) func(*job) {
	free := w.endpointCount * w.slots
	var waiting []*job
	var start func(j *job)
	start = func(j *job) {
		free--
		w.after(j.service, func() {
			free++
			w.latencies = append(w.latencies, w.now-j.arrived+2*intraRegionLatency)
			if len(waiting) > 0 {
				next := waiting[0]
				waiting = waiting[1:]
				start(next)
			}
		})
	}
	return func(j *job) {
		if free == 0 {
			waiting = append(waiting, j)
			return
		}
		start(j)
	}
}

// baselineEndpoints returns the endpoints that an instance may use in a
// baseline.
func baselineEndpoints(w *simulation, j *job, allRegions bool) []int {
	var list []int
	for i, e := range w.endpoints {
		if allRegions || e.region == regionOf(j.instance) {
			list = append(list, i)
		}
	}
	return list
}

func random(allRegions bool) func(*simulation) func(*job) {
	return func(w *simulation) func(*job) {
		return func(j *job) {
			list := baselineEndpoints(w, j, allRegions)
			w.send(j, list[w.rng.IntN(len(list))])
		}
	}
}

// inFlight chooses the endpoint with the fewest of the instance's own requests
// in flight: among all endpoints, or among the given number of random
// candidates.
func inFlight(allRegions bool, candidates int) func(*simulation) func(*job) {
	return func(w *simulation) func(*job) {
		counts := make([][]int, instanceCount)
		for i := range counts {
			counts[i] = make([]int, len(w.endpoints))
		}
		return func(j *job) {
			list := baselineEndpoints(w, j, allRegions)
			w.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
			if candidates > 0 {
				list = list[:candidates]
			}
			own := counts[j.instance]
			best := list[0]
			for _, i := range list {
				if own[i] < own[best] {
					best = i
				}
			}
			own[best]++
			j.onAnswered = func() { own[best]-- }
			w.send(j, best)
		}
	}
}

// partition divides the slots among the instances. With borrow, an instance
// without a free slot requests one from the others, one after another,
// starting with those of its own region.
func partition(borrow bool) func(*simulation) func(*job) {
	return func(w *simulation) func(*job) {
		p := &partitionPolicy{simulation: w, borrow: borrow, free: make([][]int, instanceCount), waiting: make([][]*job, instanceCount)}
		next := make([]int, regionCount)
		for i, e := range w.endpoints {
			for range w.slots {
				owner := p.owner(e.region, next[e.region])
				next[e.region]++
				p.free[owner] = append(p.free[owner], i)
			}
		}
		return p.arrive
	}
}

type partitionPolicy struct {
	*simulation
	borrow  bool
	free    [][]int
	waiting [][]*job
}

// owner assigns slots round-robin to the instances of the endpoint's region.
func (p *partitionPolicy) owner(region, k int) int {
	var inside []int
	for i := range instanceCount {
		if regionOf(i) == region {
			inside = append(inside, i)
		}
	}
	return inside[k%len(inside)]
}

func (p *partitionPolicy) arrive(j *job) {
	if p.useSlot(j, j.instance) {
		return
	}
	p.waiting[j.instance] = append(p.waiting[j.instance], j)
	if p.borrow {
		p.requestSlot(j, 1)
	}
}

// useSlot sends a job on a free slot of owner, if there is one.
func (p *partitionPolicy) useSlot(j *job, owner int) bool {
	n := len(p.free[owner])
	if n == 0 {
		return false
	}
	slot := p.free[owner][n-1]
	p.free[owner] = p.free[owner][:n-1]
	j.onAnswered = func() {
		returnDelay := time.Duration(0)
		if owner != j.instance {
			returnDelay = p.latency(regionOf(owner), regionOf(j.instance))
		}
		p.after(returnDelay, func() {
			p.free[owner] = append(p.free[owner], slot)
			if len(p.waiting[owner]) > 0 {
				next := p.waiting[owner][0]
				p.waiting[owner] = p.waiting[owner][1:]
				p.useSlot(next, owner)
			}
		})
	}
	p.send(j, slot)
	return true
}

// requestSlot requests a slot for j from the k-th other instance, and from the
// next one if that has none free.
func (p *partitionPolicy) requestSlot(j *job, k int) {
	// Regions alternate with the instance number, so a step of regionCount
	// stays inside the region.
	lender := (j.instance + regionCount*k) % instanceCount
	oneWay := p.latency(regionOf(j.instance), regionOf(lender))
	p.after(oneWay, func() {
		n := len(p.free[lender])
		if n == 0 {
			p.after(oneWay, func() { p.requestNext(j, k) })
			return
		}
		slot := p.free[lender][n-1]
		p.free[lender] = p.free[lender][:n-1]
		p.after(oneWay, func() { p.useLent(j, lender, slot) })
	})
}

// requestNext requests a slot from the next instance while the job is waiting.
func (p *partitionPolicy) requestNext(j *job, k int) {
	for _, waiting := range p.waiting[j.instance] {
		if waiting == j {
			p.requestSlot(j, k%(instanceCount-1)+1)
			return
		}
	}
}

// useLent uses a borrowed slot for the oldest waiting job, or returns it.
func (p *partitionPolicy) useLent(j *job, lender, slot int) {
	i := j.instance
	if len(p.waiting[i]) == 0 {
		p.after(p.latency(regionOf(i), regionOf(lender)), func() { p.returnSlot(lender, slot) })
		return
	}
	next := p.waiting[i][0]
	p.waiting[i] = p.waiting[i][1:]
	next.onAnswered = func() {
		p.after(p.latency(regionOf(i), regionOf(lender)), func() { p.returnSlot(lender, slot) })
	}
	p.send(next, slot)
}

func (p *partitionPolicy) returnSlot(owner, slot int) {
	p.free[owner] = append(p.free[owner], slot)
	if len(p.waiting[owner]) > 0 {
		next := p.waiting[owner][0]
		p.waiting[owner] = p.waiting[owner][1:]
		p.useSlot(next, owner)
	}
}

// brokerPerRegion runs a Broker in each region, with the latency of its
// messages, and routing.Search over the regions.
func brokerPerRegion(w *simulation) func(*job) {
	b := &brokerPolicy{simulation: w, pending: make(map[ID]func(Outcome))}
	b.settings = DefaultSettings()
	for r := range regionCount {
		group := Group{Region: fmt.Sprint(r)}
		broker := NewBroker(group, 1, b.settings, nil, func(string) float64 { return 1 }, w.clock())
		var endpoints []Endpoint
		for i, e := range w.endpoints {
			if e.region == r {
				endpoints = append(endpoints, Endpoint{Address: fmt.Sprint(i), Slots: w.slots})
			}
		}
		broker.SetEndpoints(endpoints, w.clock())
		b.brokers = append(b.brokers, broker)
	}
	return b.arrive
}

type brokerPolicy struct {
	*simulation
	settings Settings
	brokers  []*Broker
	pending  map[ID]func(Outcome)
	number   uint64
	refused  int
}

func (b *brokerPolicy) arrive(j *job) {
	home := regionOf(j.instance)
	regions := make([]routing.Region, regionCount)
	for r := range regions {
		regions[r] = routing.Region{Name: fmt.Sprint(r), Latency: b.latency(home, r)}
	}
	routing.SortByLatency(regions)
	b.requestSlot(j, regions, routing.NewSearch(regions))
}

func (b *brokerPolicy) requestSlot(j *job, regions []routing.Region, search *routing.Search) {
	i, maxWait, ok := search.Next()
	if !ok {
		b.refused++
		return
	}
	var region int
	_, _ = fmt.Sscan(regions[i].Name, &region)
	toRegion := time.Duration(0)
	if i > 0 {
		toRegion = regions[i].Latency
	}
	b.number++
	request := Request{ID: ID{Number: b.number}, Remaining: 10 * time.Second, MaxWait: maxWait}
	b.pending[request.ID] = func(o Outcome) {
		b.after(intraRegionLatency, func() {
			var refusal *admission.Refusal
			switch {
			case o.Grant != nil:
				b.useSlot(j, region, toRegion, o.Grant)
			case errors.As(o.Refusal, &refusal):
				b.after(toRegion, func() {
					search.RecordBusy(refusal.Wait)
					b.requestSlot(j, regions, search)
				})
			}
		})
	}
	b.after(toRegion+intraRegionLatency, func() { b.deliver(b.brokers[region].Submit(request, b.clock())) })
}

func (b *brokerPolicy) useSlot(j *job, region int, toRegion time.Duration, g *Grant) {
	var endpoint int
	_, _ = fmt.Sscan(g.Address, &endpoint)
	j.sourceRegion = region
	j.returnLatency = toRegion
	j.onAnswered = func() {
		b.after(intraRegionLatency, func() { b.deliver(b.brokers[region].Release(Release{ID: g.ID}, b.clock())) })
	}
	b.send(j, endpoint)
}

func (b *brokerPolicy) deliver(outcomes []Outcome) {
	for _, o := range outcomes {
		f := b.pending[o.ID]
		delete(b.pending, o.ID)
		f(o)
	}
}
