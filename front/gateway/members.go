package gateway

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// seeInstances takes in the instances' table.
func (m *mesh) seeInstances(ctx context.Context) func(time.Time, map[string]registry.Row) {
	return func(now time.Time, rows map[string]registry.Row) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for name, row := range rows {
			r, err := DecodeInstance(row)
			if err != nil {
				m.log.WithError(err).Warn("Row of an instance passed over.")
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
func (m *mesh) meet(ctx context.Context, name string, r Instance) {
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
	m.limiter.RemovePeer(name)
	m.placer.SetPeerLoads(name, nil)
	m.log.WithField("instance", name).Info("Instance gone.")
}

// notReached notes that an instance did not answer.
func (m *mesh) notReached(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.members[name]; other != nil {
		other.failed = time.Now()
	}
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
			m.limiter.RemovePeer(name)
		}
		if silent > silentAfter {
			m.placer.SetPeerLoads(name, nil)
			continue
		}
		fleet = append(fleet, placing.Member{Name: name, Region: other.Region})
		if best, ok := trips[other.Region]; other.trip > 0 && (!ok || other.trip < best) {
			trips[other.Region] = other.trip
		}
	}
	m.dropSums(now)
	m.limiter.SetFleet(holders, m.sources(now))
	m.placer.SetFleet(fleet)
	for region, trip := range trips {
		m.placer.SetRoundTrip(region, trip)
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
