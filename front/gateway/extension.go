package gateway

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
)

const (
	// lastSyncPause is the time between two looks at whether the last syncs have
	// ended, and the least time of a round of them.
	lastSyncPause = 20 * time.Millisecond
	// lastSyncRounds is how often the last syncs are started. A sync that is in
	// progress at the first start carries an older report.
	lastSyncRounds = 2
)

// extension adds a payload of its own to the reports. Older versions ignore it.
type extension interface {
	// Payload returns the payload for another instance, nil for none.
	Payload(now time.Time, to duties.Peer) json.RawMessage
	// Receive applies the payload of another instance; it may be empty.
	Receive(now time.Time, from duties.Peer, payload json.RawMessage)
}

// newDuties returns the runner of the duties, nil if the settings name none.
func newDuties(s *Settings, adapters Adapters, m *mesh, t *telemetry.Metrics, log *logrus.Logger) (*duties.Runner, error) {
	r, err := duties.New(s.Duties, duties.Instance{
		Name: s.Name, Started: m.self.Started, FailureDomain: s.FailureDomain,
		Store: adapters.Store, Platform: adapters.Duties, Rank: m.dutyRank, Meter: t.Meter, Log: log,
	})
	if r != nil {
		m.extension = r
	}
	return r, err
}

// extendedReport returns this instance's report for another instance, with the
// extension's payload.
func (m *mesh) extendedReport(to string) report {
	r := m.buildReport(to)
	if m.extension != nil {
		r.Extension = m.extension.Payload(time.Now(), m.dutyPeer(to))
	}
	return r
}

// receiveExtension applies the extension's payload in the report of an instance.
func (m *mesh) receiveExtension(from string, payload json.RawMessage, now time.Time) {
	if m.extension != nil && len(payload) > 0 {
		m.extension.Receive(now, m.dutyPeer(from), payload)
	}
}

// dutyPeer returns another instance as the duties see it.
func (m *mesh) dutyPeer(name string) duties.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := duties.Peer{Name: name}
	other := m.members[name]
	if other == nil {
		return p
	}
	p.Started = other.Started
	isHub := slices.Contains(m.ownHubs, name)
	switch {
	case !m.isLarge():
		p.Relation = duties.RelationCollector
	case other.FailureDomain != m.self.FailureDomain && m.isHub:
		p.Relation = duties.RelationRemoteHub
	case isHub && m.isHub:
		p.Relation = duties.RelationFellowHub
	case isHub:
		p.Relation = duties.RelationCollector
	}
	return p
}

// dutyRank returns this instance's place by name among those that may hold a duty, -1
// if it is not among them. They reach the store and stay. In a large fleet they are
// hubs, which have the sums of all failure domains.
func (m *mesh) dutyRank() int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || now.Before(m.cutOffUntil) || m.isLarge() && !m.isHub {
		return -1
	}
	rank := 0
	lower := func(name string) {
		if other := m.members[name]; name < m.self.Name && other != nil && !other.CutOff && m.isAlive(other, now) {
			rank++
		}
	}
	if !m.isLarge() {
		for name := range m.members {
			lower(name)
		}
		return rank
	}
	for _, name := range m.ownHubs {
		lower(name)
	}
	for _, hubs := range m.remoteHubs {
		for _, name := range hubs {
			lower(name)
		}
	}
	return rank
}

// syncLast exchanges reports once more before this instance stops, and waits until
// that has ended or the time is over.
func (m *mesh) syncLast(until time.Time) {
	for range lastSyncRounds {
		m.mu.Lock()
		m.wakeSyncLoops()
		m.mu.Unlock()
		time.Sleep(min(lastSyncPause, time.Until(until)))
		for m.isSyncing() && time.Now().Before(until) {
			time.Sleep(lastSyncPause)
		}
	}
}

// isSyncing reports whether a sync is in progress.
func (m *mesh) isSyncing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.members {
		if other.syncing {
			return true
		}
	}
	return false
}
