package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/quota"
)

// In a large fleet an instance exchanges states with those of its own region
// only. Two hubs of each region exchange sums of their regions with the other
// regions' hubs and pass what they hear on to their own region. A hub is chosen
// by no agreement: every instance answers whoever takes it for one.

const (
	// smallFleet is the size up to which all instances exchange states: with
	// more, the bytes between regions grow with the square of the fleet.
	smallFleet = 16
	// hubsOfRegion is how many instances speak for a region, so that one may be
	// lost.
	hubsOfRegion = 2
	// relayEvery is the time between two tellings of other regions' sums.
	relayEvery = time.Second
	// avoidFor is how long an instance that was not reached is taken for no hub.
	avoidFor = 3 * time.Second
	// regionDelay is how old a region's sum is at most when the next one comes:
	// two exchanges, one relay, and the ways between.
	regionDelay = 2200 * time.Millisecond
)

// regionState is the sum of what the instances of a region tell.
type regionState struct {
	// Region is the region's name.
	Region string `json:"r"`
	// AgeMS is how old the sum is, in milliseconds.
	AgeMS int64 `json:"g"`
	// Members are the instances that are alive.
	Members []regionMember `json:"m"`
	// ReachesMS is the longest time for which one of them has reached the
	// endpoints' table without a break, in milliseconds.
	ReachesMS int64 `json:"t,omitempty"`
	// Demand is the sum of their demands.
	Demand quota.Demand `json:"q,omitempty"`
	// Moves is the sum of what they saw of the moves under way.
	Moves []moveState `json:"v,omitempty"`
}

// regionMember is an instance as other regions know it.
type regionMember struct {
	Name    string `json:"n"`
	Callers string `json:"c"`
	Ready   bool   `json:"k,omitempty"`
	Leaving bool   `json:"l,omitempty"`
}

// heardRegion is a region's sum and the moment that it is from.
type heardRegion struct {
	regionState
	at time.Time
}

// large says whether the fleet is too large for all to exchange states. The
// caller holds mu.
func (m *mesh) large() bool { return len(m.members)+1 > smallFleet }

// exchangesWith says whether this instance exchanges states with another one.
// The caller holds mu.
func (m *mesh) exchangesWith(other *member, now time.Time) bool {
	if !m.large() || other.Region == m.self.Region {
		return true
	}
	return slices.Contains(m.hubs(m.self.Region, now), m.self.Name) &&
		slices.Contains(m.hubs(other.Region, now), other.Name)
}

// hubs returns the instances that speak for a region: those alive with the
// least hashes of their names, and where none is known to be alive, any that
// have not just failed to answer. The caller holds mu.
func (m *mesh) hubs(region string, now time.Time) []string {
	var alive, known []string
	if region == m.self.Region {
		alive = append(alive, m.self.Name)
	}
	for name, other := range m.members {
		if other.Region != region || now.Sub(other.failed) < avoidFor {
			continue
		}
		known = append(known, name)
		if now.Sub(other.heard) <= silentAfter && !other.Leaving {
			alive = append(alive, name)
		}
	}
	if len(alive) == 0 {
		alive = known
	}
	slices.SortFunc(alive, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return alive[:min(len(alive), hubsOfRegion)]
}

// ownRegion returns the sum of this instance's region; s is what this instance
// tells of itself. The caller holds mu.
func (m *mesh) ownRegion(s state, now time.Time) *regionState {
	sum := &regionState{Region: m.self.Region, Demand: quota.Demand{}}
	sum.add(s)
	for _, other := range m.members {
		if other.Region == m.self.Region && now.Sub(other.heard) <= silentAfter {
			sum.add(other.state)
		}
	}
	return sum
}

// add adds one instance's state.
func (r *regionState) add(s state) {
	r.Members = append(r.Members, regionMember{Name: s.Name, Callers: s.Callers, Ready: s.Ready, Leaving: s.Leaving})
	r.ReachesMS = max(r.ReachesMS, s.ReachesMS)
	r.Demand.Add(s.Demand)
	for _, move := range s.Moves {
		r.addMove(move)
	}
}

// addMove adds what one instance saw of a move.
func (r *regionState) addMove(s moveState) {
	for i := range r.Moves {
		sum := &r.Moves[i]
		if sum.Service != s.Service || sum.Revision != s.Revision {
			continue
		}
		sum.AgeMS = max(sum.AgeMS, s.AgeMS)
		sum.Evidence.Add(s.Evidence)
		if s.Result == catalog.RolloutRolledBack {
			sum.Result = s.Result
		}
		return
	}
	r.Moves = append(r.Moves, s)
}

// relayed returns the sums of the other regions for an instance of this region,
// once every relayEvery, where this instance is a hub. The caller holds mu.
func (m *mesh) relayed(to string, now time.Time) []regionState {
	other := m.members[to]
	if other == nil || now.Sub(other.relayed) < relayEvery || !slices.Contains(m.hubs(m.self.Region, now), m.self.Name) {
		return nil
	}
	other.relayed = now
	var sums []regionState
	for _, h := range m.regions {
		if now.Sub(h.at) <= 2*regionDelay {
			sum := h.regionState
			sum.AgeMS = now.Sub(h.at).Milliseconds()
			sums = append(sums, sum)
		}
	}
	return sums
}

// takeRegion takes in a region's sum, unless a newer one is known.
func (m *mesh) takeRegion(sum regionState, now time.Time) {
	at := now.Add(-time.Duration(sum.AgeMS) * time.Millisecond)
	if sum.Region == m.self.Region {
		return
	}
	m.mu.Lock()
	if known := m.regions[sum.Region]; known != nil && !at.After(known.at) {
		m.mu.Unlock()
		return
	}
	m.regions[sum.Region] = &heardRegion{regionState: sum, at: at}
	for _, s := range sum.Members {
		other := m.members[s.Name]
		if other == nil {
			other = &member{state: state{Name: s.Name}}
			m.members[s.Name] = other
		}
		other.Region, other.Callers, other.Ready, other.Leaving = sum.Region, s.Callers, s.Ready, s.Leaving
		other.ReachesMS = sum.ReachesMS
		if now.After(other.heard) {
			other.heard = now
		}
		m.limiter.RemovePeer(s.Name)
		m.placer.SetPeerLoads(s.Name, nil)
		m.moves.forget(s.Name)
	}
	m.mu.Unlock()
	name := nameOfSum(sum.Region)
	m.limiter.SetRegionDemand(name, sum.Demand, at, regionDelay)
	m.moves.takeStates(name, sum.Moves, at)
}

// sources returns how many demands of others make up that of all. The caller
// holds mu.
func (m *mesh) sources(now time.Time) int {
	n := 0
	regions := make(map[string]bool)
	for _, other := range m.members {
		if other.heard.IsZero() || now.Sub(other.heard) > goneAfter {
			continue
		}
		if m.large() && other.Region != m.self.Region {
			regions[other.Region] = true
			continue
		}
		n++
	}
	return n + len(regions)
}

// nameOfSum names a region's sum where single instances are named otherwise.
func nameOfSum(region string) string { return "region " + region }

// dropSums drops the sums of regions that nobody has told for long, and all when
// every instance tells its own. The caller holds mu.
func (m *mesh) dropSums(now time.Time) {
	for region, h := range m.regions {
		if m.large() && now.Sub(h.at) <= goneAfter {
			continue
		}
		delete(m.regions, region)
		m.limiter.RemovePeer(nameOfSum(region))
		m.moves.forget(nameOfSum(region))
	}
}
