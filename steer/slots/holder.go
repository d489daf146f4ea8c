package slots

import "time"

// Holder tracks an instance's own pending requests for slots, the slots that
// it holds, and grants that it records for peers. It is not safe for
// concurrent use.
type Holder struct {
	instance   string
	lastNumber uint64
	epochs     map[Group]uint64
	pending    map[ID]claim
	held       map[ID]claim
	peerGrants map[ID]claim
}

// claim is a slot that is requested or held.
type claim struct {
	group        Group
	address      string
	deadline     time.Time
	endpointBusy bool // the request has ended, but the endpoint may still run it
}

// NewHolder returns the holder of an instance. The instance's name must never
// have been used by another process.
func NewHolder(instance string) *Holder {
	return &Holder{
		instance:   instance,
		epochs:     make(map[Group]uint64),
		pending:    make(map[ID]claim),
		held:       make(map[ID]claim),
		peerGrants: make(map[ID]claim),
	}
}

// Begin registers a new request for a slot that must end by deadline.
func (h *Holder) Begin(g Group, deadline time.Time) ID {
	h.lastNumber++
	id := ID{Instance: h.instance, Number: h.lastNumber}
	h.pending[id] = claim{group: g, deadline: deadline}
	return id
}

// Accept takes a grant into use. It reports false when the slot must not be
// used: the request has ended, its deadline has passed, or the grant comes
// from a broker that has a successor.
func (h *Holder) Accept(g Grant, now time.Time) bool {
	c, ok := h.pending[g.ID]
	if !ok || c.group != g.Group || !now.Before(c.deadline) || g.Epoch < h.epochs[g.Group] {
		return false
	}
	delete(h.pending, g.ID)
	h.epochs[g.Group] = g.Epoch
	c.address = g.Address
	h.held[g.ID] = c
	return true
}

// End ends a request that holds a slot or waits for one.
func (h *Holder) End(id ID) {
	delete(h.pending, id)
	delete(h.held, id)
}

// EndBusyUntil ends a request whose endpoint may still run it until the given
// time, or until the request's deadline if that is earlier.
func (h *Holder) EndBusyUntil(id ID, until time.Time) {
	c, ok := h.held[id]
	if !ok {
		return
	}
	c.endpointBusy = true
	if until.Before(c.deadline) {
		c.deadline = until
	}
	h.held[id] = c
}

// SetInstance changes the instance name used for later requests.
func (h *Holder) SetInstance(name string) { h.instance = name }

// RecordPeerGrant records a peer's grant so that it can be reported to a later
// broker. It reports false when this holder has already reported to a
// successor of the grant's broker.
func (h *Holder) RecordPeerGrant(g Grant, remaining time.Duration, now time.Time) bool {
	if g.Epoch < h.epochs[g.Group] {
		return false
	}
	h.epochs[g.Group] = g.Epoch
	h.peerGrants[g.ID] = claim{group: g.Group, address: g.Address, deadline: now.Add(remaining)}
	return true
}

// ForgetPeerGrant removes the record of a peer's grant.
func (h *Holder) ForgetPeerGrant(id ID) { delete(h.peerGrants, id) }

// Report returns the holder's report to the broker of an epoch. From then on
// grants of earlier epochs are refused. It reports false when a later epoch is
// already known.
func (h *Holder) Report(g Group, epoch uint64, now time.Time) (Report, bool) {
	if epoch < h.epochs[g] {
		return Report{}, false
	}
	h.epochs[g] = epoch
	r := Report{Instance: h.instance}
	r.Held = grantsIn(h.held, g, now)
	r.PeerGrants = grantsIn(h.peerGrants, g, now)
	return r, true
}

// grantsIn lists the claims of a group. A held claim past its deadline is
// listed too: its request is being ended, but the endpoint may still run it.
func grantsIn(claims map[ID]claim, g Group, now time.Time) []HeldGrant {
	var list []HeldGrant
	for id, c := range claims {
		if c.group == g {
			list = append(list, HeldGrant{ID: id, Address: c.address, Remaining: c.deadline.Sub(now)})
		}
	}
	return list
}

// RemoveExpired removes records of peers' grants, and ended claims whose
// endpoint may be busy, once guard has passed since their deadline.
func (h *Holder) RemoveExpired(guard time.Duration, now time.Time) {
	for id, c := range h.peerGrants {
		if now.After(c.deadline.Add(guard)) {
			delete(h.peerGrants, id)
		}
	}
	for id, c := range h.held {
		if c.endpointBusy && now.After(c.deadline.Add(guard)) {
			delete(h.held, id)
		}
	}
}
