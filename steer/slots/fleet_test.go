package slots

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testLease   = 1500 * time.Millisecond
	testSettle  = 50 * time.Millisecond
	testLongest = 8 * time.Second
)

// member is an instance in the state machine.
type member struct {
	name   string
	holder *Holder
	broker *Broker // nil unless it was made the broker
	frozen bool
	diedAt time.Time // zero while it lives
}

// letter is a message under way.
type letter struct {
	to    *member
	after time.Time
	run   func()
}

// running is a request at an endpoint. It stays there until its deadline when
// nobody ends it.
type running struct {
	owner   *member
	address string
	until   time.Time
}

// machine is a fleet whose messages are lost, repeated and crossed, and whose
// instances die and freeze at any moment.
type machine struct {
	rng      *rand.Rand
	now      time.Time
	group    Group
	settings Settings
	members  []*member
	letters  []letter
	running  map[ID]*running
	deadline map[ID]time.Time
	waiting  map[ID]*member
	epoch    uint64
	leader   *member
	leads    time.Time // since when
	lease    time.Time
	slots    map[string]int
	born     int
	granted  int
}

func newMachine(seed uint64) *machine {
	s := DefaultSettings()
	s.LongestGrant = testLongest
	m := &machine{
		rng: rand.New(rand.NewPCG(seed, 0)),
		now: time.Unix(1000, 0), group: Group{Service: "s"}, settings: s,
		running: make(map[ID]*running), deadline: make(map[ID]time.Time), waiting: make(map[ID]*member),
		slots: map[string]int{"a": 1, "b": 2},
	}
	for range 3 {
		m.join()
	}
	m.lead(m.members[0], nil)
	return m
}

func (m *machine) join() {
	m.born++
	name := fmt.Sprint("i", m.born)
	m.members = append(m.members, &member{name: name, holder: NewHolder(name)})
}

// lead makes a member the broker for the next epoch.
func (m *machine) lead(b *member, unheard []string) {
	m.epoch++
	m.leader = b
	m.leads = m.now
	m.lease = m.now.Add(testLease)
	one := func(string) float64 { return 1 }
	b.broker = NewBroker(m.group, m.epoch, m.settings, unheard, one, m.now)
	b.broker.SetEndpoints([]Endpoint{{"a", m.slots["a"]}, {"b", m.slots["b"]}}, m.now)
}

func (m *machine) alive(x *member) bool  { return x.diedAt.IsZero() }
func (m *machine) active(x *member) bool { return m.alive(x) && !x.frozen }

// mayGrant says whether a member holds the right to the group.
func (m *machine) mayGrant(x *member) bool { return x == m.leader && m.now.Before(m.lease) }

// post sends a message. Some take seconds.
func (m *machine) post(to *member, run func()) {
	after := m.now
	if m.rng.IntN(4) == 0 {
		after = after.Add(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
	}
	m.letters = append(m.letters, letter{to, after, run})
}

// pick draws an active member, or nil.
func (m *machine) pick() *member {
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

// ask starts a request at a member, which asks any broker that it may know.
func (m *machine) ask() {
	x := m.pick()
	if x == nil {
		return
	}
	left := time.Duration(100+m.rng.IntN(int(testLongest/time.Millisecond)-100)) * time.Millisecond
	id := x.holder.Begin(m.group, m.now.Add(left))
	m.deadline[id] = m.now.Add(left)
	m.waiting[id] = x
	for _, b := range m.members {
		if b.broker != nil && m.alive(b) {
			m.post(b, func() {
				m.handle(b, func() []Outcome { return b.broker.Request(Request{ID: id, Remaining: left}, m.now) })
			})
		}
	}
}

// handle lets a broker work if it still has the right to, and sends the grants.
func (m *machine) handle(b *member, work func() []Outcome) {
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
			m.post(x, func() { m.accept(x, g) })
			continue
		}
		m.note(b, g)
	}
}

// note has a broker's own grant noted with another member before its use.
func (m *machine) note(b *member, g Grant) {
	for _, other := range m.members {
		if other == b || !m.alive(other) {
			continue
		}
		left := m.deadline[g.ID].Sub(m.now)
		m.post(other, func() {
			if other.holder.RecordPeerGrant(g, left, m.now) {
				m.post(b, func() { m.accept(b, g) })
			}
		})
		return
	}
}

// accept lets a member use a grant: the request is at the endpoint.
func (m *machine) accept(x *member, g Grant) {
	if !x.holder.Accept(g, m.now) {
		return
	}
	m.granted++
	until := m.deadline[g.ID]
	if !m.now.Before(until) {
		until = m.now.Add(time.Second) // sent too late, it runs all the same
	}
	m.running[g.ID] = &running{owner: x, address: g.Address, until: until}
}

// finish ends a request with a whole answer.
func (m *machine) finish() { m.end(0) }

// abort ends a request whose endpoint learns of it a little later.
func (m *machine) abort() { m.end(testSettle) }

func (m *machine) end(settle time.Duration) {
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
	if settle > 0 {
		r.owner.holder.EndBusyUntil(id, m.now.Add(settle))
	} else {
		r.owner.holder.End(id)
	}
	if settled := m.now.Add(settle); settled.Before(r.until) {
		r.until = settled
	}
	m.release(Release{ID: id, BusyFor: settle})
}

// release tells every broker.
func (m *machine) release(r Release) {
	for _, b := range m.members {
		if b.broker != nil && m.alive(b) {
			m.post(b, func() { m.handle(b, func() []Outcome { return b.broker.Release(r, m.now) }) })
		}
	}
}

// giveUp ends a request that may still wait.
func (m *machine) giveUp() {
	x := m.pick()
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

// deliver lets some messages arrive, in any order; each may be lost or come
// again.
func (m *machine) deliver() {
	for range 1 + m.rng.IntN(8) {
		m.deliverOne()
	}
}

func (m *machine) deliverOne() {
	var ready []int
	for i, l := range m.letters {
		if m.active(l.to) && !m.now.Before(l.after) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[m.rng.IntN(len(ready))]
	l := m.letters[i]
	fate := m.rng.IntN(16)
	if fate != 0 { // 0: it comes again later
		m.letters = slices.Delete(m.letters, i, i+1)
	}
	if fate != 1 { // 1: it is lost
		l.run()
	}
}

// pass lets time go by. Members that run end their requests at the deadline,
// and the broker renews its lease or not.
func (m *machine) pass() {
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
		m.handle(b, func() []Outcome { return b.broker.Tick(m.now) })
	}
}

// kill ends an instance. What it sent stays at the endpoints.
func (m *machine) kill() {
	x := m.pick()
	if x == nil {
		return
	}
	x.diedAt = m.now
	m.join()
	m.members = slices.DeleteFunc(m.members, func(x *member) bool {
		return !m.alive(x) && x != m.leader && m.now.Sub(x.diedAt) > 2*testLongest
	})
}

// freeze stops one instance's clockwork for a while.
func (m *machine) freeze() {
	if x := m.pick(); x != nil {
		x.frozen = true
	}
}

// thaw lets the instances run again.
func (m *machine) thaw() {
	for _, x := range m.members {
		x.frozen = false
	}
}

// takeOver makes another member the broker once the lease has lapsed.
func (m *machine) takeOver() {
	if m.now.Before(m.lease) {
		return
	}
	b := m.pick()
	if b == nil {
		return
	}
	former := m.leader
	reign := m.now.Sub(m.leads)
	var unheard []string
	for _, x := range m.members {
		if m.alive(x) || m.now.Sub(x.diedAt) < m.settings.LongestGrant+m.settings.Guard {
			unheard = append(unheard, x.name)
		}
	}
	m.lead(b, unheard)
	epoch := m.epoch
	for _, x := range m.members {
		m.post(x, func() {
			r, ok := x.holder.Report(m.group, epoch, m.now)
			if !ok {
				return
			}
			m.post(b, func() {
				if b.broker.Epoch() != epoch {
					return
				}
				m.handle(b, func() []Outcome { return b.broker.ApplyReport(r, m.now) })
				if reign > m.settings.LongestGrant+m.settings.Guard {
					m.handle(b, func() []Outcome { return b.broker.WaiveReport(former.name, m.now) })
				}
			})
		})
	}
}
