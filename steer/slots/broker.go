package slots

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/routing"
)

// Endpoint is an endpoint of a group as the document names it.
type Endpoint struct {
	// Address is the endpoint's.
	Address string
	// Slots is how many requests it runs at the same time.
	Slots int
}

// grant is a slot in use.
type grant struct {
	Grant
	since time.Time
}

// site is an endpoint with its use.
type site struct {
	Endpoint
	used    int
	removed bool // the document no longer names it
	health  health.Endpoint
}

// Broker hands out the slots of one group. It is not safe for concurrent use.
// Its caller must hold the right to the group whenever it calls Ask, Release
// or Tick.
type Broker struct {
	group    Group
	epoch    uint64
	settings Settings

	queue   *admission.Queue[ID]
	asks    map[ID]Request
	granted map[ID]*grant
	ended   map[ID]time.Time // requests whose release came, and until when to remember

	sites      []*site
	byAddress  map[string]*site
	candidates []routing.Candidate
	next       int // where the next choice starts

	unheard   map[string]bool // instances that may hold grants of an earlier epoch
	recovered time.Time       // when all of those have lapsed
}

// NewBroker returns the broker of a group for an epoch. unheard names the
// instances that may hold grants of earlier epochs; it is empty for the first
// epoch. weight gives a team's weight.
func NewBroker(g Group, epoch uint64, s Settings, unheard []string, weight func(team string) float64, now time.Time) *Broker {
	b := &Broker{
		group:     g,
		epoch:     epoch,
		settings:  s,
		queue:     admission.NewQueue[ID](weight),
		asks:      make(map[ID]Request),
		granted:   make(map[ID]*grant),
		ended:     make(map[ID]time.Time),
		byAddress: make(map[string]*site),
		unheard:   make(map[string]bool),
		recovered: now.Add(s.LongestGrant + s.Guard),
	}
	for _, name := range unheard {
		b.unheard[name] = true
	}
	return b
}

// RaiseLongestGrant raises the bound of the grants.
func (b *Broker) RaiseLongestGrant(longest time.Duration) {
	b.settings.LongestGrant = max(b.settings.LongestGrant, longest)
}

// Epoch returns the broker's epoch.
func (b *Broker) Epoch() uint64 { return b.epoch }

// SetEndpoints takes in the group's endpoints. New ones start cold unless the
// broker has none yet; those no longer named get no new work.
func (b *Broker) SetEndpoints(endpoints []Endpoint, now time.Time) {
	first := len(b.sites) == 0
	named := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		named[e.Address] = true
		s := b.site(e.Address)
		if !first && s.Slots == 0 {
			s.health.BeginSlowStart(now)
		}
		s.Slots = e.Slots
		s.removed = false
	}
	for _, s := range b.sites {
		s.removed = !named[s.Address]
	}
	b.refresh(now)
}

// site returns the endpoint with the given address, which is added when it is
// not known.
func (b *Broker) site(address string) *site {
	if s, ok := b.byAddress[address]; ok {
		return s
	}
	s := &site{Endpoint: Endpoint{Address: address}, removed: true}
	b.byAddress[address] = s
	b.sites = append(b.sites, s)
	b.candidates = append(b.candidates, routing.Candidate{})
	return s
}

// refresh brings the candidates up to date and returns the free slots.
func (b *Broker) refresh(now time.Time) int {
	free, slots := 0, 0
	for i, s := range b.sites {
		c := &b.candidates[i]
		c.Used = s.used
		c.Limit = 0
		if !s.removed {
			c.Limit = s.health.Limit(b.settings.Health, s.Slots, now)
		}
		c.Suspected = s.health.Suspected(b.settings.Health, now)
		free += c.Free()
		slots += c.Limit
	}
	b.queue.SetSlots(slots)
	return free
}

// Request takes in a request for a slot. Its outcome is among those returned, now
// or by a later call.
func (b *Broker) Request(a Request, now time.Time) []Outcome {
	if g, ok := b.granted[a.ID]; ok {
		return []Outcome{{ID: a.ID, Grant: &g.Grant}}
	}
	if b.queue.Contains(a.ID) {
		return nil
	}
	if _, ok := b.ended[a.ID]; ok {
		return refused(a.ID, &EndedError{})
	}
	if wait := b.recovering(now); wait > 0 {
		return refused(a.ID, &RecoveringError{Wait: wait})
	}
	free := b.refresh(now)
	a.Remaining = min(a.Remaining, b.settings.LongestGrant)
	item := admission.Item[ID]{Key: a.ID, Team: a.Team, Deadline: now.Add(a.Remaining), MaxWait: a.MaxWait}
	if err := b.queue.Push(now, item, free); err != nil {
		return refused(a.ID, err)
	}
	b.asks[a.ID] = a
	return b.serve(now)
}

// refused returns the outcome of a refused request.
func refused(id ID, err error) []Outcome { return []Outcome{{ID: id, Refusal: err}} }

// serve hands free slots to waiting requests.
func (b *Broker) serve(now time.Time) []Outcome {
	var out []Outcome
	for b.queue.Len() > 0 {
		i := routing.Choose(b.candidates, b.next, nil)
		if i < 0 {
			break
		}
		item, ok, late := b.queue.Pop(now)
		for _, l := range late {
			out = append(out, b.refuseLate(l))
		}
		if !ok {
			break
		}
		a := b.asks[item.Key]
		delete(b.asks, item.Key)
		if len(a.Avoid) > 0 {
			i = b.chooseFor(a)
		}
		out = append(out, Outcome{ID: a.ID, Grant: b.grant(a.ID, i, item.Deadline, now)})
	}
	return out
}

// chooseFor returns a free endpoint for a request that avoids some.
func (b *Broker) chooseFor(a Request) int {
	return routing.Choose(b.candidates, b.next, func(i int) bool {
		return slices.Contains(a.Avoid, b.sites[i].Address)
	})
}

// grant hands out a slot of the endpoint at index i.
func (b *Broker) grant(id ID, i int, deadline, now time.Time) *Grant {
	s := b.sites[i]
	s.used++
	b.candidates[i].Used++
	b.next = (i + 1) % len(b.sites)
	g := &grant{since: now, Grant: Grant{
		ID: id, Group: b.group, Epoch: b.epoch, Address: s.Address, ExpiresAt: deadline.Add(b.settings.Guard),
	}}
	b.granted[id] = g
	return &g.Grant
}

// refuseLate returns the outcome of a request that waited too long.
func (b *Broker) refuseLate(item admission.Item[ID]) Outcome {
	delete(b.asks, item.Key)
	return Outcome{ID: item.Key, Refusal: &admission.Refusal{Reason: admission.ReasonDeadline, Wait: b.queue.Hold()}}
}

// Release takes a slot or a request back and returns what that makes possible.
// A release may come before its Ask, or twice.
func (b *Broker) Release(r Release, now time.Time) []Outcome {
	if b.queue.Remove(r.ID) {
		delete(b.asks, r.ID)
		return nil
	}
	g, ok := b.granted[r.ID]
	if !ok {
		b.endedEarly(r, now)
		return nil
	}
	if r.BusyFor > 0 {
		if settled := now.Add(r.BusyFor); settled.Before(g.ExpiresAt) {
			g.ExpiresAt = settled
		}
		return nil
	}
	b.queue.Observe(now.Sub(g.since))
	b.free(g)
	return b.continueServing(now)
}

// endedEarly remembers a release whose Ask or report has not arrived. With a
// settling time the slot is in use for longer, so a later report must count.
func (b *Broker) endedEarly(r Release, now time.Time) {
	if r.BusyFor == 0 {
		b.ended[r.ID] = now.Add(b.settings.LongestGrant)
	}
}

// free ends a grant.
func (b *Broker) free(g *grant) {
	delete(b.granted, g.ID)
	b.byAddress[g.Address].used--
}

// continueServing hands out what is free, unless predecessors' grants may
// still be in use.
func (b *Broker) continueServing(now time.Time) []Outcome {
	if b.recovering(now) > 0 {
		return nil
	}
	b.refresh(now)
	return b.serve(now)
}

// Tick ends the grants that have lapsed and refuses the requests that waited
// too long.
func (b *Broker) Tick(now time.Time) []Outcome {
	for _, g := range b.granted {
		if !now.Before(g.ExpiresAt) {
			b.free(g)
		}
	}
	for id, until := range b.ended {
		if now.After(until) {
			delete(b.ended, id)
		}
	}
	var out []Outcome
	for _, item := range b.queue.Expire(now) {
		out = append(out, b.refuseLate(item))
	}
	return append(out, b.continueServing(now)...)
}

// Observe takes in how an exchange with an endpoint ended.
func (b *Broker) Observe(address string, o health.Outcome, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Observe(b.settings.Health, o, now)
	}
}

// Report takes in an endpoint's or a third party's word about an endpoint.
func (b *Broker) Report(address string, ill bool, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Report(b.settings.Health, ill, now)
	}
}

// SetLeaving says that an endpoint is leaving.
func (b *Broker) SetLeaving(address string) {
	if s, ok := b.byAddress[address]; ok {
		s.health.SetLeaving()
	}
}

// Used returns how many slots of an endpoint are handed out.
func (b *Broker) Used(address string) int {
	if s, ok := b.byAddress[address]; ok {
		return s.used
	}
	return 0
}

// EndpointsInBackoff returns the endpoints that get no work until they answer again.
func (b *Broker) EndpointsInBackoff(now time.Time) []string {
	var addresses []string
	for _, s := range b.sites {
		if !s.removed && s.health.InBackoff(now) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}
