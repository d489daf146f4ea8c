package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

// Instance is an instance's row in the store.
type Instance struct {
	// Name is unique in the fleet. It is the row's key.
	Name string `json:"-"`
	// Peers is the address for other instances.
	Peers string `json:"peers"`
	// Region is where the instance is.
	Region string `json:"region"`
}

// errNoPeers says that a row names no address.
var errNoPeers = errors.New("no address for other instances")

// DecodeInstance reads a row of TableInstances.
func DecodeInstance(row registry.Row) (Instance, error) {
	i := Instance{Name: row.Key}
	err := json.Unmarshal(row.Value, &i)
	if err == nil && i.Peers == "" {
		err = errNoPeers
	}
	if err != nil {
		return Instance{}, fmt.Errorf("row of instance %s: %w", row.Key, err)
	}
	return i, nil
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
	// Started is its start in nanoseconds since the Unix epoch. It tells
	// processes apart and orders none: clocks are set.
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
	Service  string                `json:"s"`
	Revision uint64                `json:"r"`
	AgeMS    int64                 `json:"a"`
	Result   catalog.RolloutResult `json:"x,omitempty"`
	Evidence rollout.Evidence      `json:"e"`
}

// state returns what this instance tells another one, in a region.
func (m *mesh) state(to, region string) state {
	now := time.Now()
	s := m.self
	s.Ready = m.ready()
	if since := m.reaches(); !since.IsZero() {
		s.ReachesMS = max(1, now.Sub(since).Milliseconds())
	}
	s.Demand = m.limiter.ReportDemand(now)
	near := region == s.Region
	m.mu.Lock()
	large := m.large()
	m.mu.Unlock()
	for _, l := range m.placer.LocalLoads() {
		if large && !near {
			break // endpoints tell their own load
		}
		s.Loads = append(s.Loads, loadState{ID: l.Endpoint.ID, Born: l.Endpoint.StartMS, Running: l.Running})
	}
	if near {
		for _, w := range m.placer.WarmedObjects(now) {
			s.Warmed = append(s.Warmed, warmedState{ID: w.Endpoint.ID, Born: w.Endpoint.StartMS, Object: w.Object})
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
	if s.Started == other.former && s.Started != other.Started {
		m.mu.Unlock()
		return // an answer of a process that was replaced
	}
	if s.Started != other.Started {
		other.former = other.Started
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
	m.limiter.SetPeerDemand(s.Name, s.Demand, now, stateDelay)
	loads := make([]placing.Load, 0, len(s.Loads))
	for _, l := range s.Loads {
		loads = append(loads, placing.Load{Endpoint: catalog.Incarnation{ID: l.ID, StartMS: l.Born}, Running: l.Running})
	}
	m.placer.SetPeerLoads(s.Name, loads)
	warmed := make([]placing.WarmedObject, 0, len(s.Warmed))
	for _, w := range s.Warmed {
		warmed = append(warmed, placing.WarmedObject{Endpoint: catalog.Incarnation{ID: w.ID, StartMS: w.Born}, Object: w.Object})
	}
	m.placer.AddPeerWarmed(now, warmed)
	m.moves.takeStates(s.Name, s.Moves, now)
}
