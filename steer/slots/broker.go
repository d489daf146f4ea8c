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

// activeGrant is a slot in use.
type activeGrant struct {
	Grant
	since time.Time
}

// endpointState is an endpoint with its use.
type endpointState struct {
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

	queue    *admission.Queue[ID]
	waiting  map[ID]Request
	grants   map[ID]*activeGrant
	released map[ID]time.Time // requests whose release came, and until when to remember

	endpoints  []*endpointState
	byAddress  map[string]*endpointState
	candidates []routing.Candidate
	scanStart  int // where the next choice starts

	missingReports map[string]bool // instances that may hold grants of an earlier epoch
	recoveryEnd    time.Time       // when all of those have lapsed
}

// NewBroker returns the broker of a group for an epoch. unheard names the
// instances that may hold grants of earlier epochs; it is empty for the first
// epoch. weight gives a team's weight.
func NewBroker(g Group, epoch uint64, s Settings, mayHoldGrants []string, weight func(team string) float64, now time.Time) *Broker {
	b := &Broker{
		group:          g,
		epoch:          epoch,
		settings:       s,
		queue:          admission.NewQueue[ID](weight),
		waiting:        make(map[ID]Request),
		grants:         make(map[ID]*activeGrant),
		released:       make(map[ID]time.Time),
		byAddress:      make(map[string]*endpointState),
		missingReports: make(map[string]bool),
		recoveryEnd:    now.Add(s.LongestGrant + s.Guard),
	}
	for _, name := range mayHoldGrants {
		b.missingReports[name] = true
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
	initial := len(b.endpoints) == 0
	named := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		named[e.Address] = true
		s := b.ensureEndpoint(e.Address)
		if !initial && s.Slots == 0 {
			s.health.BeginSlowStart(now)
		}
		s.Slots = e.Slots
		s.removed = false
	}
	for _, s := range b.endpoints {
		s.removed = !named[s.Address]
	}
	b.refreshCandidates(now)
}

// ensureEndpoint returns the endpoint with the given address, which is added when it is
// not known.
func (b *Broker) ensureEndpoint(address string) *endpointState {
	if s, ok := b.byAddress[address]; ok {
		return s
	}
	s := &endpointState{Endpoint: Endpoint{Address: address}, removed: true}
	b.byAddress[address] = s
	b.endpoints = append(b.endpoints, s)
	b.candidates = append(b.candidates, routing.Candidate{})
	return s
}

// refreshCandidates brings the candidates up to date and returns the free slots.
func (b *Broker) refreshCandidates(now time.Time) int {
	free, slots := 0, 0
	for i, s := range b.endpoints {
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

// Submit takes in a request for a slot. Its outcome is among those returned, now
// or by a later call.
func (b *Broker) Submit(a Request, now time.Time) []Outcome {
	if g, ok := b.grants[a.ID]; ok {
		return []Outcome{{ID: a.ID, Grant: &g.Grant}}
	}
	if b.queue.Contains(a.ID) {
		return nil
	}
	if _, ok := b.released[a.ID]; ok {
		return refused(a.ID, &EndedError{})
	}
	if wait := b.recoveryWait(now); wait > 0 {
		return refused(a.ID, &RecoveringError{Wait: wait})
	}
	free := b.refreshCandidates(now)
	a.Remaining = min(a.Remaining, b.settings.LongestGrant)
	item := admission.Item[ID]{Key: a.ID, Team: a.Team, Deadline: now.Add(a.Remaining), MaxWait: a.MaxWait}
	if err := b.queue.Push(now, item, free); err != nil {
		return refused(a.ID, err)
	}
	b.waiting[a.ID] = a
	return b.grantWaiting(now)
}

// refused returns the outcome of a refused request.
func refused(id ID, err error) []Outcome { return []Outcome{{ID: id, Refusal: err}} }

// grantWaiting hands free slots to waiting requests.
func (b *Broker) grantWaiting(now time.Time) []Outcome {
	var out []Outcome
	for b.queue.Len() > 0 {
		i := routing.Choose(b.candidates, b.scanStart, nil)
		if i < 0 {
			break
		}
		item, ok, expired := b.queue.Pop(now)
		for _, item := range expired {
			out = append(out, b.refuseExpired(item))
		}
		if !ok {
			break
		}
		a := b.waiting[item.Key]
		delete(b.waiting, item.Key)
		if len(a.Avoid) > 0 {
			i = b.chooseAvoiding(a)
		}
		out = append(out, Outcome{ID: a.ID, Grant: b.grantSlot(a.ID, i, item.Deadline, now)})
	}
	return out
}

// chooseAvoiding returns a free endpoint for a request that avoids some.
func (b *Broker) chooseAvoiding(a Request) int {
	return routing.Choose(b.candidates, b.scanStart, func(i int) bool {
		return slices.Contains(a.Avoid, b.endpoints[i].Address)
	})
}

// grantSlot hands out a slot of the endpoint at index i.
func (b *Broker) grantSlot(id ID, i int, deadline, now time.Time) *Grant {
	s := b.endpoints[i]
	s.used++
	b.candidates[i].Used++
	b.scanStart = (i + 1) % len(b.endpoints)
	g := &activeGrant{since: now, Grant: Grant{
		ID: id, Group: b.group, Epoch: b.epoch, Address: s.Address, ExpiresAt: deadline.Add(b.settings.Guard),
	}}
	b.grants[id] = g
	return &g.Grant
}

// refuseExpired returns the outcome of a request that waited too long.
func (b *Broker) refuseExpired(item admission.Item[ID]) Outcome {
	delete(b.waiting, item.Key)
	return Outcome{ID: item.Key, Refusal: &admission.Refusal{Reason: admission.ReasonDeadline, Wait: b.queue.Hold()}}
}

// Release takes a slot or a request back and returns what that makes possible.
// A release may come before its Ask, or twice.
func (b *Broker) Release(r Release, now time.Time) []Outcome {
	if b.queue.Remove(r.ID) {
		delete(b.waiting, r.ID)
		return nil
	}
	g, ok := b.grants[r.ID]
	if !ok {
		b.rememberRelease(r, now)
		return nil
	}
	if r.BusyFor > 0 {
		if freeAt := now.Add(r.BusyFor); freeAt.Before(g.ExpiresAt) {
			g.ExpiresAt = freeAt
		}
		return nil
	}
	b.queue.Observe(now.Sub(g.since))
	b.endGrant(g)
	return b.grantUnlessRecovering(now)
}

// rememberRelease remembers a release whose Ask or report has not arrived. With a
// settling time the slot is in use for longer, so a later report must count.
func (b *Broker) rememberRelease(r Release, now time.Time) {
	if r.BusyFor == 0 {
		b.released[r.ID] = now.Add(b.settings.LongestGrant)
	}
}

// endGrant ends a grant.
func (b *Broker) endGrant(g *activeGrant) {
	delete(b.grants, g.ID)
	b.byAddress[g.Address].used--
}

// grantUnlessRecovering hands out what is free, unless predecessors' grants may
// still be in use.
func (b *Broker) grantUnlessRecovering(now time.Time) []Outcome {
	if b.recoveryWait(now) > 0 {
		return nil
	}
	b.refreshCandidates(now)
	return b.grantWaiting(now)
}

// Tick ends the grants that have lapsed and refuses the requests that waited
// too long.
func (b *Broker) Tick(now time.Time) []Outcome {
	for _, g := range b.grants {
		if !now.Before(g.ExpiresAt) {
			b.endGrant(g)
		}
	}
	for id, until := range b.released {
		if now.After(until) {
			delete(b.released, id)
		}
	}
	var out []Outcome
	for _, item := range b.queue.Expire(now) {
		out = append(out, b.refuseExpired(item))
	}
	return append(out, b.grantUnlessRecovering(now)...)
}

// Observe takes in how an exchange with an endpoint ended.
func (b *Broker) Observe(address string, o health.Outcome, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Observe(b.settings.Health, o, now)
	}
}

// Report takes in an endpoint's or a third party's word about an endpoint.
func (b *Broker) Report(address string, unhealthy bool, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Report(b.settings.Health, unhealthy, now)
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
	for _, s := range b.endpoints {
		if !s.removed && s.health.InBackoff(now) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}
