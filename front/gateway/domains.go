package gateway

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/relay"
)

// In a large fleet, the instances of a failure domain sync only with its hubs,
// and hubs exchange summaries of their failure domains. So the number of syncs
// of an instance does not grow with the fleet. Hubs are not elected: every
// instance responds to a sync from any instance that considers it a hub.

const (
	// maxFullMesh is the size up to which all instances sync with each other.
	// In a larger fleet the traffic would grow with the square of the size.
	maxFullMesh = 16
	// largeAliveTimeout is aliveTimeout in a large fleet.
	largeAliveTimeout = 3200 * time.Millisecond
	// hubFailureBackoff is how long an instance is not used as a hub after a
	// failed sync.
	hubFailureBackoff = 3 * time.Second
	// presumedAliveTime is how long an instance whose row was read, and of which
	// nothing else is known, counts as alive.
	presumedAliveTime = 5 * time.Second
	// maxSummaryAge is how old the last summary may be when the next one
	// arrives: a sync from an instance to its hub, one between hubs, one to the
	// receiver, and the network latency.
	maxSummaryAge = 2200 * time.Millisecond
	// fleetName names the rest of the fleet among the names of instances.
	fleetName = "fleet"
)

// domainSummary is the sum of the reports of the instances of a failure domain.
type domainSummary struct {
	memberList
	// AgeMS is the age of the summary, in milliseconds.
	AgeMS int64 `json:"g"`
	// Demand is the sum of their demands.
	Demand quota.Demand `json:"q,omitempty"`
	// Busy are the sums of their requests at endpoints.
	Busy []loadReport `json:"b,omitempty"`
	// Warmed are objects that they have sent to endpoints, for the same region.
	Warmed []warmedReport `json:"w,omitempty"`
	// Rollouts are the sums of their reports on the rollouts in progress.
	Rollouts []rollouts.Report `json:"v,omitempty"`
}

// memberList lists the instances of a failure domain that are alive.
type memberList struct {
	// Domain and Region name the failure domain and its region.
	Domain string `json:"d"`
	Region string `json:"r"`
	// Hash identifies the list.
	Hash uint64 `json:"h"`
	// Members is the list; nil if the receiver has it.
	Members []domainMember `json:"m,omitempty"`
	// ReachableMS is the longest time for which one of them has reached the
	// endpoints table without interruption, in milliseconds.
	ReachableMS int64 `json:"t,omitempty"`
}

// domainMember is an instance as other failure domains know it.
type domainMember struct {
	Name     string  `json:"n"`
	Callers  string  `json:"c"`
	Peers    string  `json:"p"`
	Capacity float64 `json:"cp,omitempty"`
	Ready    bool    `json:"k,omitempty"`
	Leaving  bool    `json:"l,omitempty"`
	CutOff   bool    `json:"x,omitempty"`
	// NoEndpoints and Relay are those of its report.
	NoEndpoints bool   `json:"ne,omitempty"`
	Relay       string `json:"ra,omitempty"`
}

// fleetSummary is the sum of the reports of all instances but its receiver.
type fleetSummary struct {
	// AgeMS is the age of its oldest part, in milliseconds.
	AgeMS int64 `json:"g"`
	// Demand is the sum of their demands.
	Demand quota.Demand `json:"q,omitempty"`
	// Busy are the sums of the requests of these instances at endpoints.
	Busy []loadReport `json:"b,omitempty"`
	// Warmed are objects that the region's instances have sent to endpoints.
	Warmed []warmedReport `json:"w,omitempty"`
	// Rollouts are the sums of their reports on the rollouts in progress.
	Rollouts []rollouts.Report `json:"v,omitempty"`
	// Domains are the instances of all failure domains.
	Domains []memberList `json:"ds,omitempty"`
}

// remoteDomain is a failure domain's summary and the time it dates from.
type remoteDomain struct {
	domainSummary
	at time.Time
}

// isLarge reports whether the fleet is too large for a full mesh. The caller
// holds mu.
func (m *mesh) isLarge() bool { return len(m.members)+1 > maxFullMesh }

// aliveFor returns how long after its last report an instance counts as alive.
// The caller holds mu.
func (m *mesh) aliveFor() time.Duration {
	if m.isLarge() {
		return largeAliveTimeout
	}
	return aliveTimeout
}

// maxOwnReportAge returns how old an instance's last report of itself may be
// when the next one arrives.
func (m *mesh) maxOwnReportAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isLarge() {
		return syncInterval + syncTimeout/2
	}
	return maxReportAge
}

// isAlive reports whether an instance is taken to run and to stay. The caller
// holds mu.
func (m *mesh) isAlive(other *member, now time.Time) bool {
	if other.Leaving || now.Sub(other.lastFailure) < hubFailureBackoff {
		return false
	}
	if other.lastReport.IsZero() {
		return now.Sub(other.addedAt) < presumedAliveTime
	}
	return now.Sub(other.lastReport) <= m.aliveFor()
}

// candidates returns the instances that match and may be hubs. If no instance of
// a failure domain is known to be alive, these are all with which no sync has
// just failed; they count as cut off from the store. The caller holds mu.
func (m *mesh) candidates(now time.Time, match func(domain, region string) bool) []relay.Instance {
	var all, silent []relay.Instance
	alive := make(map[string]bool)
	if !m.leaving && match(m.self.FailureDomain, m.self.Region) {
		all = append(all, relay.Instance{
			Name: m.self.Name, Domain: m.self.FailureDomain, Capacity: m.self.Capacity, CutOff: now.Before(m.cutOffUntil),
		})
		alive[m.self.FailureDomain] = true
	}
	for name, other := range m.members {
		if !match(other.FailureDomain, other.Region) {
			continue
		}
		i := relay.Instance{Name: name, Domain: other.FailureDomain, Capacity: other.Capacity, CutOff: other.CutOff}
		switch {
		case m.isAlive(other, now):
			all = append(all, i)
			alive[other.FailureDomain] = true
		case now.Sub(other.lastFailure) >= hubFailureBackoff:
			i.CutOff = true
			silent = append(silent, i)
		}
	}
	for _, i := range silent {
		if !alive[i.Domain] {
			all = append(all, i)
		}
	}
	return all
}

// updateTopology chooses the hubs of this instance's failure domain and the
// instances from which it reads tables. The caller holds mu.
func (m *mesh) updateTopology(now time.Time) {
	if !m.isLarge() {
		m.ownHubs, m.isHub, m.sources = nil, false, nil
		return
	}
	region := m.candidates(now, func(_, r string) bool { return r == m.self.Region })
	m.ownHubs = relay.Hubs(m.self.FailureDomain, region)
	isHub := slices.Contains(m.ownHubs, m.self.Name)
	sources := relay.Sources(m.self.Name, region)
	if isHub != m.isHub || !slices.Equal(sources, m.sources) {
		m.log.WithFields(logrus.Fields{"hub": isHub, "hubs": m.ownHubs, "sources": sources, "candidates": len(region)}).Info("Relays chosen.")
	}
	m.isHub, m.sources = isHub, sources
}

// syncsWith reports whether this instance initiates syncs with another one of a
// large fleet, and the time until the first one. woken asks for one with each
// instance that this one exchanges reports with. The caller holds mu.
func (m *mesh) syncsWith(name string, other *member, now time.Time, woken bool) (bool, time.Duration) {
	silent := now.Sub(other.lastReport) > 2*syncInterval
	initiator := m.self.Name < name || silent || woken
	if other.FailureDomain == m.self.FailureDomain {
		rank := slices.Index(m.ownHubs, name)
		if m.isHub {
			isNew := other.lastReport.IsZero() && m.isAlive(other, now)
			return rank >= 0 && initiator || isNew || woken && m.isAlive(other, now), 0
		}
		return rank >= 0, time.Duration(rank) * syncInterval / relay.HubsPerDomain
	}
	if !m.isHub {
		return false, 0
	}
	rank := slices.Index(m.ownHubs, m.self.Name)
	hubs := m.remoteHubs[other.FailureDomain]
	return initiator && rank < len(hubs) && hubs[rank] == name, 0
}

// updateRemoteHubs chooses the hubs of all other failure domains, if this
// instance is a hub. The caller holds mu.
func (m *mesh) updateRemoteHubs(now time.Time) {
	clear(m.remoteHubs)
	if !m.isHub {
		return
	}
	byDomain := make(map[string][]relay.Instance)
	for _, i := range m.candidates(now, func(d, _ string) bool { return d != m.self.FailureDomain }) {
		byDomain[i.Domain] = append(byDomain[i.Domain], i)
	}
	for domain, all := range byDomain {
		m.remoteHubs[domain] = relay.Hubs(domain, all)
	}
}

// ownMembers returns the instances of this failure domain that are alive. own is
// this instance's report. The caller holds mu.
func (m *mesh) ownMembers(own report, now time.Time) memberList {
	list := memberList{Domain: m.self.FailureDomain, Region: m.self.Region}
	list.add(own)
	for _, other := range m.members {
		if other.FailureDomain == m.self.FailureDomain && !other.lastReport.IsZero() && now.Sub(other.lastReport) <= m.aliveFor() {
			list.add(other.report)
		}
	}
	list.updateHash()
	return list
}

// add adds an instance.
func (l *memberList) add(r report) {
	l.Members = append(l.Members, domainMember{
		Name: r.Name, Callers: r.Callers, Peers: r.Peers, Capacity: r.Capacity, Ready: r.Ready, Leaving: r.Leaving, CutOff: r.CutOff,
		NoEndpoints: r.NoEndpoints, Relay: r.Relay,
	})
	l.ReachableMS = max(l.ReachableMS, r.ReachableMS)
}

// updateHash sorts the members and sets the list's hash.
func (l *memberList) updateHash() {
	slices.SortFunc(l.Members, func(a, b domainMember) int { return cmp.Compare(a.Name, b.Name) })
	text, err := json.Marshal(l.Members)
	if err != nil {
		return // a list of plain values has no such error; hash 0 is never known
	}
	l.Hash = xxhash.Sum64(text)
}

// without returns the list without its members if the receiver knows them.
func (l memberList) without(known map[string]uint64) memberList {
	if l.Hash != 0 && known[l.Domain] == l.Hash {
		l.Members = nil
	}
	return l
}

// knownMembers returns the hashes of the member lists that this instance has.
// The caller holds mu.
func (m *mesh) knownMembers() map[string]uint64 {
	known := make(map[string]uint64, len(m.memberLists))
	for domain, list := range m.memberLists {
		known[domain] = list.Hash
	}
	return known
}

// summarizeOwnDomain returns the summary of this instance's failure domain for a
// hub of another one. own is this instance's report. The caller holds mu.
func (m *mesh) summarizeOwnDomain(own report, to *member, now time.Time) *domainSummary {
	sum := newSummary()
	sum.addInstance(own)
	m.addOwnDomain(sum, "", now)
	summary := &domainSummary{
		memberList: m.ownMembers(own, now), AgeMS: sum.age.Milliseconds(), Demand: sum.demand, Rollouts: sum.rollouts,
	}
	if to != nil {
		summary.memberList = summary.without(to.KnownMembers)
		summary.Busy = sum.busy()
		if to.Region == m.self.Region {
			summary.Warmed = sum.limitedWarmed()
		}
	}
	return summary
}

// addOwnDomain adds the other instances of this failure domain, except one. The
// caller holds mu.
func (m *mesh) addOwnDomain(sum *summary, except string, now time.Time) {
	for name, other := range m.members {
		if name == except || other.FailureDomain != m.self.FailureDomain || !other.direct || now.Sub(other.lastReport) > m.aliveFor() {
			continue
		}
		sum.addInstance(other.report)
		sum.age = max(sum.age, now.Sub(other.lastReport))
	}
}

// summarizeFleet returns the summary of the fleet for another instance of this
// failure domain. own is this instance's report. The caller holds mu.
func (m *mesh) summarizeFleet(own report, to string, other *member, now time.Time) *fleetSummary {
	var known map[string]uint64
	if other != nil {
		known = other.KnownMembers
	}
	sum := newSummary()
	sum.addInstance(own)
	m.addOwnDomain(sum, to, now)
	f := &fleetSummary{Domains: []memberList{m.ownMembers(own, now).without(known)}}
	for _, remote := range m.remoteDomains {
		if now.Sub(remote.at) > 2*maxSummaryAge {
			continue
		}
		sum.add(remote.domainSummary, remote.Region == m.self.Region)
		sum.age = max(sum.age, now.Sub(remote.at))
		f.Domains = append(f.Domains, remote.without(known))
	}
	f.AgeMS, f.Demand, f.Rollouts, f.Busy = sum.age.Milliseconds(), sum.demand, sum.rollouts, sum.busy()
	f.Warmed = sum.limitedWarmed()
	return f
}

// receiveSummary applies a failure domain's summary, unless a newer one is
// known.
func (m *mesh) receiveSummary(s domainSummary, now time.Time) {
	at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	m.mu.Lock()
	if known := m.remoteDomains[s.Domain]; s.Domain == m.self.FailureDomain || known != nil && !at.After(known.at) {
		m.mu.Unlock()
		return
	}
	s.memberList = m.receiveMembers(s.memberList, now)
	m.remoteDomains[s.Domain] = &remoteDomain{domainSummary: s, at: at}
	m.mu.Unlock()
	name := summaryName(s.Domain)
	m.limiter.SetRegionDemand(name, s.Demand, at, maxSummaryAge)
	m.placer.SetPeerSums(name, placingLoads(s.Busy), at)
	m.placer.AddPeerWarmed(now, placingWarmed(s.Warmed))
	m.rollouts.ReceiveReports(name, s.Rollouts, at, now)
}

// receiveFleet applies a hub's summary of the rest of the fleet.
func (m *mesh) receiveFleet(f fleetSummary, now time.Time) {
	at := now.Add(-time.Duration(f.AgeMS) * time.Millisecond)
	m.mu.Lock()
	for _, list := range f.Domains {
		m.receiveMembers(list, now)
	}
	m.membersReadOnce.Do(func() { close(m.membersRead) })
	if !at.After(m.fleetAt) {
		m.mu.Unlock()
		return
	}
	m.fleetAt = at
	m.dropParts()
	m.mu.Unlock()
	m.limiter.SetRegionDemand(fleetName, f.Demand, at, maxSummaryAge)
	m.placer.SetPeerSums(fleetName, placingLoads(f.Busy), at)
	m.placer.AddPeerWarmed(now, placingWarmed(f.Warmed))
	m.rollouts.ReceiveReports(fleetName, f.Rollouts, at, now)
}

// receiveMembers applies a list of instances and returns it in full. The caller
// holds mu.
func (m *mesh) receiveMembers(list memberList, now time.Time) memberList {
	if known, ok := m.memberLists[list.Domain]; ok && known.Hash == list.Hash && list.Members == nil {
		list.Members = known.Members
	}
	if list.Members == nil {
		return list
	}
	m.memberLists[list.Domain] = list
	m.dropUnlisted(list, now)
	for _, listed := range list.Members {
		if listed.Name == m.self.Name {
			continue
		}
		other := m.members[listed.Name]
		if other == nil {
			other = &member{report: report{Name: listed.Name}, addedAt: now}
			m.members[listed.Name] = other
		}
		other.Region, other.FailureDomain, other.Callers, other.Peers = list.Region, list.Domain, listed.Callers, listed.Peers
		other.Capacity, other.Ready, other.Leaving, other.CutOff = listed.Capacity, listed.Ready, listed.Leaving, listed.CutOff
		other.NoEndpoints, other.Relay = listed.NoEndpoints, listed.Relay
		other.ReachableMS = list.ReachableMS
		if now.After(other.lastReport) {
			other.lastReport = now
		}
		if list.Domain != m.self.FailureDomain {
			m.dropDirect(listed.Name, other)
		}
	}
	return list
}

// dropUnlisted marks the instances of a failure domain that are no longer listed
// as not alive. The caller holds mu.
func (m *mesh) dropUnlisted(list memberList, now time.Time) {
	listed := make(map[string]bool, len(list.Members))
	for _, i := range list.Members {
		listed[i.Name] = true
	}
	expired := now.Add(-largeAliveTimeout - time.Millisecond)
	for name, other := range m.members {
		if other.FailureDomain == list.Domain && !listed[name] && !other.direct && other.lastReport.After(expired) {
			other.lastReport = expired
		}
	}
}

// dropDirect drops what an instance has reported of itself, which is now part of
// a summary. The caller holds mu.
func (m *mesh) dropDirect(name string, other *member) {
	if !other.direct {
		return
	}
	other.direct = false
	m.limiter.RemovePeer(name)
	m.placer.SetPeerLoads(name, nil)
	m.rollouts.RemovePeer(name)
}

// dropParts drops what this instance knows of parts of the fleet, which the
// summary of the fleet contains. The caller holds mu.
func (m *mesh) dropParts() {
	for name, other := range m.members {
		m.dropDirect(name, other)
	}
	for domain := range m.remoteDomains {
		m.dropDomain(domain)
	}
}

// dropDomain drops a failure domain's summary. The caller holds mu.
func (m *mesh) dropDomain(domain string) {
	delete(m.remoteDomains, domain)
	m.dropSource(summaryName(domain))
}

// dropSource drops the sums that were received under a name.
func (m *mesh) dropSource(name string) {
	m.limiter.RemovePeer(name)
	m.placer.SetPeerLoads(name, nil)
	m.rollouts.RemovePeer(name)
}

// demandSources returns the number of sources from which the demands of the
// other instances come: single instances, summaries of failure domains, or the
// summary of the fleet. The caller holds mu.
func (m *mesh) demandSources(now time.Time) int {
	large, n := m.isLarge(), 0
	if large && !m.isHub {
		return 1
	}
	domains := make(map[string]bool)
	for _, other := range m.members {
		if other.lastReport.IsZero() || now.Sub(other.lastReport) > quotaReleaseTimeout {
			continue
		}
		if large && other.FailureDomain != m.self.FailureDomain {
			domains[other.FailureDomain] = true
			continue
		}
		n++
	}
	return n + len(domains)
}

// summaryName names a failure domain's summary among the names of instances.
func summaryName(domain string) string { return "domain " + domain }

// pruneSummaries removes the summaries of failure domains from which none has
// arrived for quotaReleaseTimeout, and those that this instance does not use in
// its role. The caller holds mu.
func (m *mesh) pruneSummaries(now time.Time) {
	large := m.isLarge()
	for domain, remote := range m.remoteDomains {
		if !large || now.Sub(remote.at) > quotaReleaseTimeout {
			m.dropDomain(domain)
		}
	}
	if !m.fleetAt.IsZero() && (!large || m.isHub && m.hearsAll(now) || now.Sub(m.fleetAt) > quotaReleaseTimeout) {
		m.fleetAt = time.Time{}
		m.dropSource(fleetName)
	}
}

// hearsAll reports whether a hub has summaries of all other failure domains. The
// caller holds mu.
func (m *mesh) hearsAll(now time.Time) bool {
	for _, other := range m.members {
		if other.FailureDomain == m.self.FailureDomain || other.lastReport.IsZero() || now.Sub(other.lastReport) > m.aliveFor() {
			continue
		}
		if m.remoteDomains[other.FailureDomain] == nil {
			return false
		}
	}
	return true
}

// summary adds up the reports of instances.
type summary struct {
	age      time.Duration // of the oldest part
	demand   quota.Demand
	loads    map[catalog.Incarnation]int
	warmed   []warmedReport
	rollouts []rollouts.Report
}

func newSummary() *summary {
	return &summary{demand: quota.Demand{}, loads: make(map[catalog.Incarnation]int)}
}

// addInstance adds one instance's report.
func (s *summary) addInstance(r report) {
	s.demand.Add(r.Demand)
	s.addLoads(r.Loads)
	s.warmed = append(s.warmed, r.Warmed...)
	for _, reported := range r.Rollouts {
		s.addRollout(reported)
	}
}

// add adds the summary of a failure domain, with its warmed objects if it is in the
// same region.
func (s *summary) add(d domainSummary, sameRegion bool) {
	s.demand.Add(d.Demand)
	s.addLoads(d.Busy)
	if sameRegion {
		s.warmed = append(s.warmed, d.Warmed...)
	}
	for _, reported := range d.Rollouts {
		s.addRollout(reported)
	}
}

func (s *summary) addLoads(loads []loadReport) {
	for _, l := range loads {
		s.loads[catalog.Incarnation{ID: l.ID, StartMS: l.StartMS}] += l.Running
	}
}

// busy returns the endpoints with requests. Small numbers count, too: each failure
// domain has few requests at an endpoint, and all together may exceed its slots.
func (s *summary) busy() []loadReport {
	busy := make([]loadReport, 0, len(s.loads))
	for in, n := range s.loads {
		busy = append(busy, loadReport{ID: in.ID, StartMS: in.StartMS, Running: n})
	}
	return busy
}

// maxSummaryWarmed bounds the objects in a summary.
const maxSummaryWarmed = 150

// limitedWarmed returns the objects for a summary, first those that are not at
// their homes.
func (s *summary) limitedWarmed() []warmedReport {
	slices.SortStableFunc(s.warmed, func(a, b warmedReport) int {
		switch {
		case a.Home == b.Home:
			return 0
		case b.Home:
			return -1
		}
		return 1
	})
	return s.warmed[:min(len(s.warmed), maxSummaryWarmed)]
}

// addRollout adds a report on a rollout.
func (s *summary) addRollout(reported rollouts.Report) {
	for i := range s.rollouts {
		total := &s.rollouts[i]
		if total.Service != reported.Service || total.Era != reported.Era || total.Revision != reported.Revision {
			continue
		}
		total.AgeMS = max(total.AgeMS, reported.AgeMS)
		total.Evidence.Add(reported.Evidence)
		if reported.Result != catalog.RolloutRunning {
			total.Result = reported.Result
		}
		return
	}
	s.rollouts = append(s.rollouts, reported)
}
