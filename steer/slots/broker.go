package slots

import (
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/admission"
	"github.com/cardamomfront/cardamomfront/steer/health"
	"github.com/cardamomfront/cardamomfront/steer/routing"
)

// Endpoint is an endpoint of a group as configured.
type Endpoint struct {
	// Address is the endpoint's network address.
	Address string
	// Slots is the maximum number of concurrent requests.
	Slots int
}

// activeGrant is a grant whose slot is in use.
type activeGrant struct {
	Grant
	since time.Time
}

// endpointState is an endpoint with its slots in use and its health.
type endpointState struct {
	Endpoint
	used    int
	removed bool // no longer configured
	health  health.Endpoint
}

// Broker hands out the slots of one group. It is not safe for concurrent use.
// The caller must own the group whenever it calls Submit, Release or Tick.
type Broker struct {
	group    Group
	epoch    uint64
	settings Settings

	queue    *admission.Queue[ID]
	waiting  map[ID]Request
	grants   map[ID]*activeGrant
	released map[ID]time.Time // early releases (before the request or report), and when to forget them

	endpoints  []*endpointState
	byAddress  map[string]*endpointState
	candidates []routing.Candidate
	scanStart  int // index at which the next choice starts

	missingReports map[string]bool // instances that may hold grants of earlier epochs and have not reported
	recoveryEnd    time.Time       // when all grants of earlier epochs have expired
}

// NewBroker returns the broker of a group for an epoch. mayHoldGrants names
// the instances that may hold grants of earlier epochs; it is empty for the
// first epoch. weight returns a team's weight.
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

// RaiseLongestGrant raises the upper bound of a grant's duration. A lower
// value has no effect.
func (b *Broker) RaiseLongestGrant(longest time.Duration) {
	b.settings.LongestGrant = max(b.settings.LongestGrant, longest)
}

// Epoch returns the broker's epoch.
func (b *Broker) Epoch() uint64 { return b.epoch }

// SetEndpoints replaces the configured endpoints of the group. New endpoints
// go through slow start, unless the broker has no endpoints yet. Removed
// endpoints get no new requests.
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

// ensureEndpoint returns the state of the endpoint with the given address. An
// unknown endpoint is added as removed.
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

// refreshCandidates updates the candidates from the endpoints' states and
// returns the number of free slots.
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

// Submit requests a slot. The outcome is returned by this call or by a later
// call of Submit, Release, Tick, ApplyReport or WaiveReport.
func (b *Broker) Submit(r Request, now time.Time) []Outcome {
	if g, ok := b.grants[r.ID]; ok {
		return []Outcome{{ID: r.ID, Grant: &g.Grant}}
	}
	if b.queue.Contains(r.ID) {
		return nil
	}
	if _, ok := b.released[r.ID]; ok {
		return refused(r.ID, &EndedError{})
	}
	if wait := b.recoveryWait(now); wait > 0 {
		return refused(r.ID, &RecoveringError{Wait: wait})
	}
	free := b.refreshCandidates(now)
	r.Remaining = min(r.Remaining, b.settings.LongestGrant)
	item := admission.Item[ID]{Key: r.ID, Team: r.Team, Deadline: now.Add(r.Remaining), MaxWait: r.MaxWait}
	if err := b.queue.Push(now, item, free); err != nil {
		return refused(r.ID, err)
	}
	b.waiting[r.ID] = r
	return b.grantWaiting(now)
}

// refused returns the outcome of a refused request.
func refused(id ID, err error) []Outcome { return []Outcome{{ID: id, Refusal: err}} }

// grantWaiting grants free slots to waiting requests.
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
		r := b.waiting[item.Key]
		delete(b.waiting, item.Key)
		if len(r.Avoid) > 0 {
			i = b.chooseAvoiding(r)
		}
		out = append(out, Outcome{ID: r.ID, Grant: b.grantSlot(r.ID, i, item.Deadline, now)})
	}
	return out
}

// chooseAvoiding returns the index of a free endpoint for a request that
// avoids some addresses.
func (b *Broker) chooseAvoiding(r Request) int {
	return routing.Choose(b.candidates, b.scanStart, func(i int) bool {
		return slices.Contains(r.Avoid, b.endpoints[i].Address)
	})
}

// grantSlot grants a slot of the endpoint at index i.
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

// refuseExpired returns the outcome of a request that has waited too long.
func (b *Broker) refuseExpired(item admission.Item[ID]) Outcome {
	delete(b.waiting, item.Key)
	return Outcome{ID: item.Key, Refusal: &admission.Refusal{Reason: admission.ReasonDeadline, Wait: b.queue.MeanHoldTime()}}
}

// Release frees a slot or cancels a waiting request, and returns the outcomes
// of requests that can now be served. A release may arrive before its request,
// or twice.
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
	b.queue.ObserveHoldTime(now.Sub(g.since))
	b.endGrant(g)
	return b.grantUnlessRecovering(now)
}

// rememberRelease records a release whose request or report has not arrived. A
// release with BusyFor is not recorded: the slot is still in use, so a later
// report of it must count.
func (b *Broker) rememberRelease(r Release, now time.Time) {
	if r.BusyFor == 0 {
		b.released[r.ID] = now.Add(b.settings.LongestGrant)
	}
}

// endGrant frees the slot of a grant.
func (b *Broker) endGrant(g *activeGrant) {
	delete(b.grants, g.ID)
	b.byAddress[g.Address].used--
}

// grantUnlessRecovering grants free slots to waiting requests, unless grants
// of earlier epochs may still be in use.
func (b *Broker) grantUnlessRecovering(now time.Time) []Outcome {
	if b.recoveryWait(now) > 0 {
		return nil
	}
	b.refreshCandidates(now)
	return b.grantWaiting(now)
}

// Tick ends expired grants, refuses requests that have waited too long and
// grants free slots.
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

// Observe records how an exchange with an endpoint ended.
func (b *Broker) Observe(address string, o health.Outcome, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Observe(b.settings.Health, o, now)
	}
}

// Report records a health report about an endpoint, from the endpoint itself
// or from a third party.
func (b *Broker) Report(address string, unhealthy bool, now time.Time) {
	if s, ok := b.byAddress[address]; ok {
		s.health.Report(b.settings.Health, unhealthy, now)
	}
}

// SetLeaving marks an endpoint as leaving.
func (b *Broker) SetLeaving(address string) {
	if s, ok := b.byAddress[address]; ok {
		s.health.SetLeaving()
	}
}

// Used returns the number of an endpoint's slots in use.
func (b *Broker) Used(address string) int {
	if s, ok := b.byAddress[address]; ok {
		return s.used
	}
	return 0
}

// EndpointsInBackoff returns the addresses of the configured endpoints that
// get no requests because of recent failures.
func (b *Broker) EndpointsInBackoff(now time.Time) []string {
	var addresses []string
	for _, s := range b.endpoints {
		if !s.removed && s.health.InBackoff(now) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}
