package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

const (
	// tableInstances holds a row for each instance.
	tableInstances = "cardamomfront-instances"
	// methodSync exchanges the states of two instances.
	methodSync = "gateway.sync"
	// syncEvery is the time between two exchanges with one instance. Loads and
	// demands of the others are on average half of it old.
	syncEvery = 500 * time.Millisecond
	// syncTimeout bounds one exchange, with the making of a connection.
	syncTimeout = time.Second
	// stateDelay is how old another instance's word is at most when the next
	// one comes, with the way.
	stateDelay = 600 * time.Millisecond
	// silentAfter is how long an instance that is not heard of counts as alive:
	// three exchanges and a slow one.
	silentAfter = 2 * time.Second
	// goneAfter is how long the part of the quotas of an instance that is not
	// heard of is set aside. Cuts of the users' networks are shorter.
	goneAfter = 15 * time.Second
	// registerPause is the time between two tries to write this instance's row.
	registerPause = 500 * time.Millisecond
	// tripWeight is the weight of one measurement in a round trip.
	tripWeight = 0.2
)

// memberRow is an instance's row in the store.
type memberRow struct {
	// Peers is the address for other instances.
	Peers string `json:"peers"`
	// Region is where the instance is.
	Region string `json:"region"`
}

// state is what instances tell each other.
type state struct {
	// Name names the instance.
	Name string `json:"n"`
	// Peers is its address for other instances.
	Peers string `json:"p"`
	// Callers is its address for callers.
	Callers string `json:"c"`
	// Region and FailureDomain say where it is.
	Region        string `json:"r"`
	FailureDomain string `json:"d"`
	// Started is its start in nanoseconds since the Unix epoch.
	Started int64 `json:"s"`
	// Ready says that it takes requests.
	Ready bool `json:"ok,omitempty"`
	// Leaving says that it is about to stop.
	Leaving bool `json:"lv,omitempty"`
	// ReachesMS is for how long it has reached the endpoints' table without a
	// break, in milliseconds; 0 while it does not.
	ReachesMS int64 `json:"t,omitempty"`
	// Demand is what it sees of each team, in requests per second.
	Demand quota.Demand `json:"q,omitempty"`
	// Loads are its requests at endpoints.
	Loads []loadState `json:"l,omitempty"`
	// Warmed are objects that it has sent to endpoints of late. Only instances
	// of its region are told: objects are asked for by region.
	Warmed []warmedState `json:"w,omitempty"`
	// Moves is what it saw of the moves under way.
	Moves []moveState `json:"m,omitempty"`
	// Own is the sum of its region, for hubs of other regions.
	Own *regionState `json:"or,omitempty"`
	// Others are the sums of other regions, from a hub to its own region.
	Others []regionState `json:"os,omitempty"`
}

// loadState is the number of requests at an endpoint.
type loadState struct {
	ID      string `json:"i"`
	Born    int64  `json:"b,omitempty"`
	Running int    `json:"n"`
}

// warmedState is an object that was sent to an endpoint.
type warmedState struct {
	ID     string `json:"i"`
	Born   int64  `json:"b,omitempty"`
	Object uint64 `json:"o"`
}

// moveState is what an instance saw of a move.
type moveState struct {
	Service  string           `json:"s"`
	Revision uint64           `json:"r"`
	AgeMS    int64            `json:"a"`
	Result   catalog.Result   `json:"x,omitempty"`
	Evidence rollout.Evidence `json:"e"`
}

// member is another instance as this one knows it.
type member struct {
	state
	heard   time.Time // zero when it was never heard of
	failed  time.Time // when it was last not reached
	relayed time.Time // when it was last told of other regions
	trip    time.Duration
}

// mesh exchanges states with all other instances.
type mesh struct {
	self    state
	store   registry.Store
	caller  peer.Caller
	placer  *placing.Placer
	limiter *quota.Limiter
	moves   *moves
	ready   func() bool
	reaches func() time.Time // since when the endpoints' table is reached
	log     logrus.FieldLogger

	mu      sync.Mutex
	members map[string]*member
	regions map[string]*heardRegion
	loops   map[string]bool
	leaving bool
	wake    chan struct{} // closed when the state should be told at once
	work    sync.WaitGroup
}

// newMesh returns a mesh that knows no other instance.
func newMesh(s *Settings, parts Parts, p *placing.Placer, l *quota.Limiter, mv *moves, b *beliefs, log *logrus.Logger) *mesh {
	client := peer.NewClient(nil, peerDialTimeout)
	client.PlainNetwork = true
	m := &mesh{
		self: state{
			Name: s.Name, Peers: s.Listen.Peers, Callers: s.Listen.Callers,
			Region: s.Region, FailureDomain: s.FailureDomain, Started: time.Now().UnixNano(),
		},
		store:   parts.Store,
		caller:  client,
		placer:  p,
		limiter: l,
		moves:   mv,
		ready:   b.ready,
		reaches: func() time.Time { return time.Time{} },
		log:     log.WithField("prefix", "mesh"),
		members: make(map[string]*member),
		regions: make(map[string]*heardRegion),
		loops:   make(map[string]bool),
		wake:    make(chan struct{}),
	}
	mv.leads = m.leads
	return m
}

// isLeaving says whether this instance is about to stop.
func (m *mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// handle answers a call of another instance.
func (m *mesh) handle(_ context.Context, params json.RawMessage) (any, error) {
	var s state
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, fmt.Errorf("state of an instance: %w", err)
	}
	if s.Name == "" || s.Peers == "" {
		return nil, fmt.Errorf("state of an instance names no instance")
	}
	m.take(s, 0)
	return m.state(s.Name, s.Region), nil
}

// Run registers this instance and exchanges states until ctx ends.
func (m *mesh) Run(ctx context.Context) error {
	m.register(ctx)
	every(ctx, syncEvery, m.refresh)
	m.work.Wait()
	return nil
}

// register writes this instance's row, as often as it takes.
func (m *mesh) register(ctx context.Context) {
	value, err := json.Marshal(memberRow{Peers: m.self.Peers, Region: m.self.Region})
	if err != nil {
		m.log.WithError(err).Error("This instance's row can't be encoded.")
		return
	}
	m.work.Go(func() {
		for ctx.Err() == nil {
			err := m.store.Put(ctx, tableInstances, m.self.Name, value)
			if err == nil {
				m.log.Info("Registered.")
				return
			}
			m.log.WithError(err).Warn("Could not register.")
			select {
			case <-ctx.Done():
			case <-time.After(registerPause):
			}
		}
	})
}

// unregister removes this instance's row.
func (m *mesh) unregister(ctx context.Context) {
	if err := m.store.Remove(ctx, tableInstances, m.self.Name); err != nil {
		m.log.WithError(err).Warn("The row of this instance could not be removed.")
	}
}

// seeInstances takes in the instances' table.
func (m *mesh) seeInstances(ctx context.Context) func(time.Time, map[string]registry.Row) {
	return func(now time.Time, rows map[string]registry.Row) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for name, row := range rows {
			var r memberRow
			if err := json.Unmarshal(row.Value, &r); err != nil || r.Peers == "" {
				m.log.WithField("row", name).Warn("Row of an instance passed over.")
				continue
			}
			if name != m.self.Name {
				m.meet(ctx, name, r)
			}
		}
		for name, other := range m.members {
			if _, ok := rows[name]; !ok && now.Sub(other.heard) > silentAfter {
				m.drop(name)
			}
		}
	}
}

// meet begins exchanges with an instance. The caller holds mu.
func (m *mesh) meet(ctx context.Context, name string, r memberRow) {
	other := m.members[name]
	if other == nil {
		other = &member{state: state{Name: name, Region: r.Region}}
		m.members[name] = other
	}
	other.Peers = r.Peers
	if m.loops[name] {
		return
	}
	m.loops[name] = true
	m.work.Go(func() { m.exchange(ctx, name) })
}

// drop forgets an instance. The caller holds mu.
func (m *mesh) drop(name string) {
	delete(m.members, name)
	m.limiter.Forget(name)
	m.placer.SetOthers(name, nil)
	m.log.WithField("instance", name).Info("Instance gone.")
}

// exchange exchanges states with one instance until it is dropped. Of two
// instances the one with the lesser name asks; the other one does so only when
// it hears nothing.
func (m *mesh) exchange(ctx context.Context, name string) {
	for {
		m.mu.Lock()
		other := m.members[name]
		if other == nil {
			delete(m.loops, name)
			m.mu.Unlock()
			return
		}
		now := time.Now()
		asks := m.self.Name < name || m.leaving || now.Sub(other.heard) > 2*syncEvery
		asks = asks && m.exchangesWith(other, now)
		address, region, wake := other.Peers, other.Region, m.wake
		m.mu.Unlock()
		if asks {
			m.sync(ctx, name, address, region)
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(syncEvery):
		}
	}
}

// sync exchanges states once.
func (m *mesh) sync(ctx context.Context, name, address, region string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	begun := time.Now()
	var answer state
	if err := m.caller.Call(ctx, address, methodSync, m.state(name, region), &answer); err != nil {
		m.log.WithError(err).WithField("instance", name).Debug("Instance not reached.")
		m.notReached(name)
		return
	}
	m.take(answer, time.Since(begun))
}

// notReached notes that an instance did not answer.
func (m *mesh) notReached(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.members[name]; other != nil {
		other.failed = time.Now()
	}
}

// state returns what this instance tells another one, in a region.
func (m *mesh) state(to, region string) state {
	now := time.Now()
	s := m.self
	s.Ready = m.ready()
	if since := m.reaches(); !since.IsZero() {
		s.ReachesMS = max(1, now.Sub(since).Milliseconds())
	}
	s.Demand = m.limiter.Demand(now)
	near := region == s.Region
	m.mu.Lock()
	large := m.large()
	m.mu.Unlock()
	for _, l := range m.placer.Loads() {
		if large && !near {
			break // endpoints tell their own load
		}
		s.Loads = append(s.Loads, loadState{ID: l.Endpoint.ID, Born: l.Endpoint.Born, Running: l.Running})
	}
	if near {
		for _, w := range m.placer.Warmed(now) {
			s.Warmed = append(s.Warmed, warmedState{ID: w.Endpoint.ID, Born: w.Endpoint.Born, Object: w.Object})
		}
	}
	s.Moves = m.moves.states(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Leaving = m.leaving
	switch {
	case !large:
	case near:
		s.Others = m.relayed(to, now)
	default:
		s.Own = m.ownRegion(s, now)
		s.Demand, s.Moves = nil, nil // they are in the sum
	}
	return s
}

// take takes in the state of another instance.
func (m *mesh) take(s state, trip time.Duration) {
	now := time.Now()
	if s.Name == m.self.Name {
		return
	}
	m.mu.Lock()
	other := m.members[s.Name]
	if other == nil {
		other = &member{}
		m.members[s.Name] = other
	}
	if s.Started < other.Started {
		m.mu.Unlock()
		return // an answer of a process that was replaced
	}
	back := now.Sub(other.heard) > silentAfter
	other.state, other.heard, other.failed = s, now, time.Time{}
	m.measure(other, trip)
	m.mu.Unlock()
	for _, sum := range s.Others {
		m.takeRegion(sum, now)
	}
	if s.Own != nil {
		m.takeRegion(*s.Own, now)
		return
	}
	if back {
		m.log.WithFields(logrus.Fields{"instance": s.Name, "started": s.Started}).Info("Instance heard.")
	}
	m.limiter.SetOther(s.Name, s.Demand, now, stateDelay)
	loads := make([]placing.Load, 0, len(s.Loads))
	for _, l := range s.Loads {
		loads = append(loads, placing.Load{Endpoint: catalog.Incarnation{ID: l.ID, Born: l.Born}, Running: l.Running})
	}
	m.placer.SetOthers(s.Name, loads)
	warmed := make([]placing.Warmed, 0, len(s.Warmed))
	for _, w := range s.Warmed {
		warmed = append(warmed, placing.Warmed{Endpoint: catalog.Incarnation{ID: w.ID, Born: w.Born}, Object: w.Object})
	}
	m.placer.TakeWarmed(now, warmed)
	m.moves.takeStates(s.Name, s.Moves, now)
}

// measure takes in a round trip to an instance. The caller holds mu.
func (m *mesh) measure(other *member, trip time.Duration) {
	if trip <= 0 {
		return
	}
	if other.trip == 0 {
		other.trip = trip
	}
	other.trip += time.Duration(tripWeight * float64(trip-other.trip))
}

// refresh takes in which instances are alive.
func (m *mesh) refresh(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := []placing.Member{{Name: m.self.Name, Region: m.self.Region}}
	holders := 1
	trips := make(map[string]time.Duration)
	for name, other := range m.members {
		silent := now.Sub(other.heard)
		if silent <= goneAfter && !other.heard.IsZero() {
			holders++
		}
		if silent > goneAfter {
			m.limiter.Forget(name)
		}
		if silent > silentAfter {
			m.placer.SetOthers(name, nil)
			continue
		}
		fleet = append(fleet, placing.Member{Name: name, Region: other.Region})
		if best, ok := trips[other.Region]; other.trip > 0 && (!ok || other.trip < best) {
			trips[other.Region] = other.trip
		}
	}
	m.limiter.SetFleet(holders, m.sources(now))
	m.placer.SetFleet(fleet)
	for region, trip := range trips {
		m.placer.SetTrip(region, trip)
	}
}

// reachable returns since when any other instance has reached the endpoints'
// table without a break, the zero time when none has.
func (m *mesh) reachable() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first time.Time
	for _, other := range m.members {
		if other.ReachesMS == 0 || time.Since(other.heard) > silentAfter {
			continue
		}
		since := other.heard.Add(-time.Duration(other.ReachesMS) * time.Millisecond)
		if first.IsZero() || since.Before(first) {
			first = since
		}
	}
	return first
}

// leads says whether this instance has the least name of those alive.
func (m *mesh) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, other := range m.members {
		if name < m.self.Name && time.Since(other.heard) <= silentAfter && !other.Leaving {
			return false
		}
	}
	return true
}

// size returns how many instances are alive, this one included.
func (m *mesh) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, other := range m.members {
		if time.Since(other.heard) <= silentAfter {
			n++
		}
	}
	return n
}

// leave tells all others that this instance is about to stop.
func (m *mesh) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	close(m.wake)
	m.wake = make(chan struct{})
}

// find returns the addresses that a caller should use: instances of its
// region, and only where there is none, any others.
func (m *mesh) find(p Place) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	add := func(s state) {
		if s.Region == p.Region {
			near = append(near, s.Callers)
			return
		}
		far = append(far, s.Callers)
	}
	if !m.leaving && m.ready() {
		add(m.self)
	}
	for _, other := range m.members {
		if time.Since(other.heard) <= silentAfter && other.Ready && !other.Leaving {
			add(other.state)
		}
	}
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), mostAddresses)]
}

// mostAddresses is how many addresses callers use of one answer.
const mostAddresses = 64
