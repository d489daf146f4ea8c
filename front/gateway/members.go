package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// applyInstancesTable returns a function that applies the instances table.
func (m *mesh) applyInstancesTable(ctx context.Context) func(time.Time, map[string]registry.Row) {
	return func(now time.Time, rows map[string]registry.Row) {
		m.applyInstances(ctx, now, rows)
		m.membersReadOnce.Do(func() { close(m.membersRead) })
		m.refreshMembership(now)
	}
}

// applyInstances applies the rows of the instances table.
func (m *mesh) applyInstances(ctx context.Context, now time.Time, rows map[string]registry.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topologyAt = time.Time{}
	for name, row := range rows {
		r, err := DecodeInstance(row)
		if err != nil {
			m.log.WithError(err).Warn("Failed to decode the row of an instance, it is ignored.")
			continue
		}
		if name != m.self.Name {
			m.addMember(name, r, now)
		}
	}
	if _, ok := rows[m.self.Name]; !ok && m.registered && !m.leaving {
		m.log.Warn("The row of this instance is missing, writing it again.")
		m.registered = false
		m.register(ctx)
	}
	for name, other := range m.members {
		if _, ok := rows[name]; !ok && now.Sub(other.lastReport) > m.aliveFor() {
			m.removeMember(name)
		}
	}
}

// addMember adds or updates an instance. The caller holds mu.
func (m *mesh) addMember(name string, r Instance, now time.Time) {
	other := m.members[name]
	if other == nil {
		other = &member{report: report{Name: name}, addedAt: now}
		m.members[name] = other
	}
	other.Region, other.FailureDomain, other.Peers, other.Capacity = r.Region, r.FailureDomain, r.Peers, r.Capacity
}

// removeMember removes an instance. The caller holds mu.
func (m *mesh) removeMember(name string) {
	delete(m.members, name)
	m.limiter.RemovePeer(name)
	m.placer.SetPeerLoads(name, nil)
	m.rollouts.PeerStopped(name)
	m.log.WithField("instance", name).Info("Instance removed.")
}

// recordUnreachable records that a sync with an instance failed.
func (m *mesh) recordUnreachable(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.members[name]; other != nil {
		other.lastFailure = time.Now()
	}
}

// recordRoundTrip updates an instance's mean round trip. The caller holds mu.
func (m *mesh) recordRoundTrip(other *member, roundTrip time.Duration) {
	if roundTrip <= 0 {
		return
	}
	if other.roundTrip == 0 {
		other.roundTrip = roundTrip
	}
	other.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-other.roundTrip))
}

// refreshMembership passes the instances that are alive, and their round trips,
// to the limiter and the placer.
func (m *mesh) refreshMembership(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := []placing.Member{{Name: m.self.Name, Region: m.self.Region}}
	alive, large := m.aliveFor(), m.isLarge()
	roundTrips := make(map[string]time.Duration)
	for name, other := range m.members {
		sinceReport := now.Sub(other.lastReport)
		if large && sinceReport > quotaReleaseTimeout && other.direct {
			m.limiter.RemovePeer(name)
		}
		if sinceReport > alive {
			if other.direct {
				m.placer.SetPeerLoads(name, nil)
			}
			continue
		}
		fleet = append(fleet, placing.Member{Name: name, Region: other.Region})
		if shortest, ok := roundTrips[other.Region]; other.roundTrip > 0 && (!ok || other.roundTrip < shortest) {
			roundTrips[other.Region] = other.roundTrip
		}
	}
	m.pruneSummaries(now)
	if m.areMembersRead() {
		m.limiter.SetFleet(len(m.members)+1, m.demandSources(now))
	}
	slices.SortFunc(fleet, func(a, b placing.Member) int { return cmp.Compare(a.Name, b.Name) })
	m.placer.SetFleet(fleet)
	names := make([]string, len(fleet))
	for i, other := range fleet {
		names[i] = other.Name
	}
	m.crashes.Detector().SetFleet(m.self.Name, names)
	for region, roundTrip := range roundTrips {
		m.placer.SetRoundTrip(region, roundTrip)
	}
}

// helpers returns the instances that reach endpoints and send requests for others.
func (m *mesh) helpers() []reach.Helper {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var helpers []reach.Helper
	for name, other := range m.members {
		if other.Relay == "" || !other.Ready || other.NoEndpoints || other.lastReport.IsZero() || !m.isAlive(other, now) {
			continue
		}
		roundTrip := other.roundTrip
		switch {
		case roundTrip > 0:
		case other.Region == m.self.Region:
			roundTrip = sameRegionHelperTime
		default:
			roundTrip = otherRegionHelperTime
		}
		helpers = append(helpers, reach.Helper{Name: name, Region: other.Region, Address: other.Relay, RoundTrip: roundTrip})
	}
	return helpers
}

// storeReachableByPeersSince returns since when any other instance has reached
// the endpoints table without interruption, or the zero time if none has.
func (m *mesh) storeReachableByPeersSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var earliest time.Time
	for _, other := range m.members {
		if other.ReachableMS == 0 || time.Since(other.lastReport) > m.aliveFor() {
			continue
		}
		since := other.lastReport.Add(-time.Duration(other.ReachableMS) * time.Millisecond)
		if earliest.IsZero() || since.Before(earliest) {
			earliest = since
		}
	}
	return earliest
}

// isLeader reports whether this instance has the lowest name of those alive.
func (m *mesh) isLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, other := range m.members {
		if name < m.self.Name && time.Since(other.lastReport) <= m.aliveFor() && !other.Leaving {
			return false
		}
	}
	return true
}

// knownSize returns the number of instances that may be running, including this
// one, or 0 until the instances table has been read.
func (m *mesh) knownSize() int {
	if !m.areMembersRead() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members) + 1
}

// areMembersRead reports whether the instances table has been read.
func (m *mesh) areMembersRead() bool {
	select {
	case <-m.membersRead:
		return true
	default:
		return false
	}
}

// size returns the number of instances alive, including this one.
func (m *mesh) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, other := range m.members {
		if time.Since(other.lastReport) <= m.aliveFor() {
			n++
		}
	}
	return n
}
