package slots

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testLease        = 1500 * time.Millisecond
	testBusyFor      = 50 * time.Millisecond
	testLongestGrant = 8 * time.Second
)

// member is an instance of the fleet.
type member struct {
	name   string
	holder *Holder
	broker *Broker // nil if it never was the broker
	frozen bool
	diedAt time.Time // zero while it is alive
}

// message is a message in transit.
type message struct {
	to    *member
	after time.Time
	run   func()
}

// running is a request at an endpoint. It runs until its deadline if no
// instance ends it.
type running struct {
	owner   *member
	address string
	until   time.Time
}

// fleet simulates instances that die and freeze at any time, and whose
// messages are lost, duplicated and reordered.
type fleet struct {
	rng         *rand.Rand
	now         time.Time
	group       Group
	settings    Settings
	members     []*member
	messages    []message
	running     map[ID]*running
	deadline    map[ID]time.Time
	waiting     map[ID]*member
	epoch       uint64
	leader      *member
	leaderSince time.Time // start of the leader's term
	lease       time.Time
	slots       map[string]int
	joined      int
	granted     int
}

func newFleet(seed uint64) *fleet {
	s := DefaultSettings()
	s.LongestGrant = testLongestGrant
	m := &fleet{
		rng: rand.New(rand.NewPCG(seed, 0)),
		now: time.Unix(1000, 0), group: Group{Service: "s"}, settings: s,
		running: make(map[ID]*running), deadline: make(map[ID]time.Time), waiting: make(map[ID]*member),
		slots: map[string]int{"a": 1, "b": 2},
	}
	for range 3 {
		m.join()
	}
	m.makeBroker(m.members[0], nil)
	return m
}

func (m *fleet) join() {
	m.joined++
	name := fmt.Sprint("i", m.joined)
	m.members = append(m.members, &member{name: name, holder: NewHolder(name)})
}

// makeBroker makes a member the broker for the next epoch.
func (m *fleet) makeBroker(b *member, mayHoldGrants []string) {
	m.epoch++
	m.leader = b
	m.leaderSince = m.now
	m.lease = m.now.Add(testLease)
	equalWeight := func(string) float64 { return 1 }
	b.broker = NewBroker(m.group, m.epoch, m.settings, mayHoldGrants, equalWeight, m.now)
	b.broker.SetEndpoints([]Endpoint{{"a", m.slots["a"]}, {"b", m.slots["b"]}}, m.now)
}

func (m *fleet) alive(x *member) bool  { return x.diedAt.IsZero() }
func (m *fleet) active(x *member) bool { return m.alive(x) && !x.frozen }

// mayGrant reports whether a member owns the group.
func (m *fleet) mayGrant(x *member) bool { return x == m.leader && m.now.Before(m.lease) }

// send sends a message. Some are delayed by up to 5 s.
func (m *fleet) send(to *member, run func()) {
	after := m.now
	if m.rng.IntN(4) == 0 {
		after = after.Add(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
	}
	m.messages = append(m.messages, message{to, after, run})
}

// randomActive returns a random active member, or nil.
func (m *fleet) randomActive() *member {
	var list []*member
	for _, x := range m.members {
		if m.active(x) {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.rng.IntN(len(list))]
}

// request starts a request at a member, which sends it to every live broker.
func (m *fleet) request() {
	x := m.randomActive()
	if x == nil {
		return
	}
	left := time.Duration(100+m.rng.IntN(int(testLongestGrant/time.Millisecond)-100)) * time.Millisecond
	id := x.holder.Begin(m.group, m.now.Add(left))
	m.deadline[id] = m.now.Add(left)
	m.waiting[id] = x
	for _, b := range m.members {
		if b.broker != nil && m.alive(b) {
			m.send(b, func() { m.run(b, func() []Outcome { return b.broker.Submit(Request{ID: id, Remaining: left}, m.now) }) })
		}
	}
}

// run executes work at a broker if it still owns the group, and sends the
// grants.
func (m *fleet) run(b *member, work func() []Outcome) {
	if !m.mayGrant(b) {
		return
	}
	for _, o := range work() {
		if o.Grant == nil {
			continue
		}
		g := *o.Grant
		x := m.waiting[g.ID]
		if x != b {
			m.send(x, func() { m.accept(x, g) })
			continue
		}
		m.recordAtPeer(b, g)
	}
}

// recordAtPeer has another member record a broker's own grant before the
// broker uses it.
func (m *fleet) recordAtPeer(b *member, g Grant) {
	for _, other := range m.members {
		if other == b || !m.alive(other) {
			continue
		}
		left := m.deadline[g.ID].Sub(m.now)
		m.send(other, func() {
			if other.holder.RecordPeerGrant(g, left, m.now) {
				m.send(b, func() { m.accept(b, g) })
			}
		})
		return
	}
}

// accept delivers a grant to a member. If the member accepts it, the request
// starts at the endpoint.
func (m *fleet) accept(x *member, g Grant) {
	if !x.holder.Accept(g, m.now) {
		return
	}
	m.granted++
	until := m.deadline[g.ID]
	if !m.now.Before(until) {
		until = m.now.Add(time.Second) // a request sent too late still runs
	}
	m.running[g.ID] = &running{owner: x, address: g.Address, until: until}
}

// finish ends a request with a complete response.
func (m *fleet) finish() { m.end(0) }

// abort ends a request that its endpoint runs a little longer.
func (m *fleet) abort() { m.end(testBusyFor) }

func (m *fleet) end(busyFor time.Duration) {
	var ids []ID
	for id, r := range m.running {
		if m.active(r.owner) && r.until.After(m.now) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, compareIDs)
	id := ids[m.rng.IntN(len(ids))]
	r := m.running[id]
	if busyFor > 0 {
		r.owner.holder.EndBusyUntil(id, m.now.Add(busyFor))
	} else {
		r.owner.holder.End(id)
	}
	if endsAt := m.now.Add(busyFor); endsAt.Before(r.until) {
		r.until = endsAt
	}
	m.release(Release{ID: id, BusyFor: busyFor})
}

// release sends a release to every broker.
func (m *fleet) release(r Release) {
	for _, b := range m.members {
		if b.broker != nil && m.alive(b) {
			m.send(b, func() { m.run(b, func() []Outcome { return b.broker.Release(r, m.now) }) })
		}
	}
}

// cancel ends a request that may still be waiting.
func (m *fleet) cancel() {
	x := m.randomActive()
	if x == nil {
		return
	}
	var ids []ID
	for id := range x.holder.pending {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, compareIDs)
	id := ids[m.rng.IntN(len(ids))]
	x.holder.End(id)
	m.release(Release{ID: id})
}

func compareIDs(a, b ID) int {
	if a.Instance != b.Instance {
		return cmp.Compare(a.Instance, b.Instance)
	}
	return int(a.Number) - int(b.Number)
}

// deliver delivers some messages in random order. Each may be lost or
// duplicated.
func (m *fleet) deliver() {
	for range 1 + m.rng.IntN(8) {
		m.deliverOne()
	}
}

func (m *fleet) deliverOne() {
	var ready []int
	for i, l := range m.messages {
		if m.active(l.to) && !m.now.Before(l.after) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[m.rng.IntN(len(ready))]
	l := m.messages[i]
	outcome := m.rng.IntN(16)
	if outcome != 0 { // 0: delivered again later
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if outcome != 1 { // 1: lost
		l.run()
	}
}

// advance advances the clock. Active members end their requests at the
// deadline, and the broker may renew its lease.
func (m *fleet) advance() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(600)) * time.Millisecond)
	if m.rng.IntN(4) > 0 && m.active(m.leader) && m.now.Before(m.lease) {
		m.lease = m.now.Add(testLease)
	}
	for id, r := range m.running {
		if m.now.Before(r.until) {
			continue
		}
		delete(m.running, id)
		if m.active(r.owner) {
			r.owner.holder.End(id)
		}
	}
	if b := m.leader; m.active(b) {
		m.run(b, func() []Outcome { return b.broker.Tick(m.now) })
	}
}

// kill ends an instance. Its requests stay at the endpoints.
func (m *fleet) kill() {
	x := m.randomActive()
	if x == nil {
		return
	}
	x.diedAt = m.now
	m.join()
	m.members = slices.DeleteFunc(m.members, func(x *member) bool {
		return !m.alive(x) && x != m.leader && m.now.Sub(x.diedAt) > 2*testLongestGrant
	})
}

// freeze stops one instance until unfreeze.
func (m *fleet) freeze() {
	if x := m.randomActive(); x != nil {
		x.frozen = true
	}
}

// unfreeze resumes all instances.
func (m *fleet) unfreeze() {
	for _, x := range m.members {
		x.frozen = false
	}
}

// takeOver makes another member the broker once the lease has expired.
func (m *fleet) takeOver() {
	if m.now.Before(m.lease) {
		return
	}
	b := m.randomActive()
	if b == nil {
		return
	}
	previous := m.leader
	tenure := m.now.Sub(m.leaderSince)
	var mayHoldGrants []string
	for _, x := range m.members {
		if m.alive(x) || m.now.Sub(x.diedAt) < m.settings.LongestGrant+m.settings.Guard {
			mayHoldGrants = append(mayHoldGrants, x.name)
		}
	}
	m.makeBroker(b, mayHoldGrants)
	epoch := m.epoch
	for _, x := range m.members {
		m.send(x, func() {
			r, ok := x.holder.Report(m.group, epoch, m.now)
			if !ok {
				return
			}
			m.send(b, func() {
				if b.broker.Epoch() != epoch {
					return
				}
				m.run(b, func() []Outcome { return b.broker.ApplyReport(r, m.now) })
				if tenure > m.settings.LongestGrant+m.settings.Guard {
					m.run(b, func() []Outcome { return b.broker.WaiveReport(previous.name, m.now) })
				}
			})
		})
	}
}
