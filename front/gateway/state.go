package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// Instance is an instance's row in the store.
type Instance struct {
	// Name is unique in the fleet. It is the row's key.
	Name string `json:"-"`
	// Peers is the address for calls of other instances.
	Peers string `json:"peers"`
	// Region is where the instance is.
	Region string `json:"region"`
	// FailureDomain is the instance's failure domain.
	FailureDomain string `json:"domain,omitempty"`
	// Capacity is its share of a processor.
	Capacity float64 `json:"capacity,omitempty"`
}

// errNoPeers is the error for a row without an address.
var errNoPeers = errors.New("no address for calls of other instances")

// DecodeInstance decodes a row of TableInstances.
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

// report is what one instance sends others about its state.
type report struct {
	// Name identifies the instance.
	Name string `json:"n"`
	// Peers is its address for other instances.
	Peers string `json:"p"`
	// Callers is its address for callers.
	Callers string `json:"c"`
	// Region and FailureDomain are where it runs.
	Region        string `json:"r"`
	FailureDomain string `json:"d"`
	// Started is the start time of its process in nanoseconds since the Unix
	// epoch. It distinguishes processes but does not order them, since clocks
	// may be set back.
	Started int64 `json:"s"`
	// Capacity is its share of a processor.
	Capacity float64 `json:"cp,omitempty"`
	// CutOff is whether it has recently failed to reach the store.
	CutOff bool `json:"x,omitempty"`
	// Ready is whether it takes requests.
	Ready bool `json:"ok,omitempty"`
	// Leaving is whether it is about to stop.
	Leaving bool `json:"lv,omitempty"`
	// NoEndpoints is whether it reaches no endpoint. It says so of itself only.
	NoEndpoints bool `json:"ne,omitempty"`
	// Relay is its address for requests that others send through it, or "".
	Relay string `json:"ra,omitempty"`
	// ReachableMS is for how long it has reached the endpoints table without
	// interruption, in milliseconds; 0 while it does not.
	ReachableMS int64 `json:"t,omitempty"`
	// Catalog is the generation of the catalog that it follows, 0 without one. Older
	// versions leave it out.
	Catalog uint64 `json:"cg,omitempty"`
	// Demand is its demand by team, in requests per second.
	Demand quota.Demand `json:"q,omitempty"`
	// DemandAgeMS is the age of the demand, in milliseconds.
	DemandAgeMS int64 `json:"qa,omitempty"`
	// HeardMS is the time since it received the last report of the receiver, in
	// milliseconds, or -1 if it has received none. Older versions leave it out.
	HeardMS int64 `json:"hd,omitempty"`
	// Loads are its requests in flight, by endpoint.
	Loads []loadReport `json:"l,omitempty"`
	// Warmed are objects that it has recently sent to endpoints. They are
	// reported only within its region, since objects are requested by region.
	Warmed []warmedReport `json:"w,omitempty"`
	// LeavingEndpoints are the endpoints that have recently announced their
	// shutdown in responses to it.
	LeavingEndpoints []incarnationReport `json:"le,omitempty"`
	// RateLimits are the limits that responses to any instance have recently stated.
	RateLimits []rateLimitReport `json:"rl,omitempty"`
	// Crashes is what it has learned of requests that crash endpoints.
	Crashes crash.Report `json:"cr,omitzero"`
	// Rollouts are its reports on the rollouts in progress.
	Rollouts []rollouts.Report `json:"m,omitempty"`
	// OwnDomain is the summary of its failure domain, from one hub to another of
	// another failure domain.
	OwnDomain *domainSummary `json:"od,omitempty"`
	// Fleet is the summary of the rest of the fleet, from a hub to the other
	// instances of its failure domain.
	Fleet *fleetSummary `json:"f,omitempty"`
	// KnownMembers are the hashes of the member lists that it has, by failure
	// domain. They are not sent to it again.
	KnownMembers map[string]uint64 `json:"k,omitempty"`
	// Extension is what front/duties tells the receiver.
	Extension json.RawMessage `json:"ex,omitempty"`
}

// loadReport is the number of requests in flight at an endpoint.
type loadReport struct {
	ID      string `json:"i"`
	StartMS int64  `json:"b,omitempty"`
	Running int    `json:"n"`
}

// warmedReport is an object that was sent to an endpoint.
type warmedReport struct {
	ID      string `json:"i"`
	StartMS int64  `json:"b,omitempty"`
	Object  uint64 `json:"o"`
	// Home is set if the endpoint is the object's home.
	Home bool `json:"h,omitempty"`
}

// incarnationReport identifies an endpoint.
type incarnationReport struct {
	ID      string `json:"i"`
	StartMS int64  `json:"b,omitempty"`
}

// rateLimitReport is what a response of an endpoint stated about its limit.
type rateLimitReport struct {
	incarnationReport
	// PerSecond is the limit in requests per second, nil for none.
	PerSecond *float64 `json:"l,omitempty"`
	// AgeMS is the time since the response, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// rateLimit returns what the report says.
func (r rateLimitReport) rateLimit() placing.EndpointRateLimit {
	l := placing.EndpointRateLimit{Endpoint: catalog.Incarnation{ID: r.ID, StartMS: r.StartMS}, Age: time.Duration(r.AgeMS) * time.Millisecond}
	if r.PerSecond != nil {
		l.Limit = ratelimit.Limit{Named: true, PerSecond: *r.PerSecond}
	}
	return l
}

// leavingReportPeriod is how long the shutdown of an endpoint is reported to the
// peers: the time of three exchanges, so that one may be lost.
const leavingReportPeriod = 1600 * time.Millisecond

// buildReport returns this instance's report for another instance.
func (m *mesh) buildReport(to string) report {
	now := time.Now()
	r := m.self
	r.Ready, r.Catalog = m.ready(), m.generation()
	r.NoEndpoints, _ = m.reach.IsCutOff()
	if since := m.storeReachableSince(); !since.IsZero() {
		r.ReachableMS = max(1, now.Sub(since).Milliseconds())
	}
	var sampledAt time.Time
	r.Demand, sampledAt = m.limiter.ReportDemand(now)
	r.DemandAgeMS = now.Sub(sampledAt).Milliseconds()
	r.Rollouts = m.rollouts.LocalReports(now)
	r.RateLimits = rateLimitReports(m.placer.RateLimits(now))
	r.Crashes = m.crashes.Detector().Report(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Leaving, r.CutOff = m.leaving, now.Before(m.cutOffUntil)
	large, other := m.isLarge(), m.members[to]
	r.HeardMS = -1
	if other != nil && other.direct {
		r.HeardMS = max(1, now.Sub(other.lastReport).Milliseconds())
	}
	domain, region := m.locationOf(other)
	if !large || domain == r.FailureDomain {
		m.addLoads(&r, now)
	}
	if region == r.Region && (!large || domain == r.FailureDomain) {
		m.addWarmed(&r, now)
	}
	switch {
	case !large:
	case domain != r.FailureDomain:
		own := r
		own.Loads = m.localLoads()
		r.OwnDomain = m.summarizeOwnDomain(own, other, now)
		r.Demand, r.Rollouts = nil, nil // they are part of the summary
	case m.isHub && !slices.Contains(m.ownHubs, to):
		r.Fleet = m.summarizeFleet(r, to, other, now)
		r.Demand, r.Rollouts, r.Loads, r.Warmed = nil, nil, nil, nil
	case slices.Contains(m.ownHubs, to):
		r.KnownMembers = m.knownMembers()
	}
	return r
}

// locationOf returns the failure domain and the region of another instance, or
// those of this instance if it is unknown. The caller holds mu.
func (m *mesh) locationOf(other *member) (domain, region string) {
	if other == nil {
		return m.self.FailureDomain, m.self.Region
	}
	return other.FailureDomain, other.Region
}

// addLoads adds this instance's requests at endpoints, and the endpoints that have
// announced their shutdown to it.
func (m *mesh) addLoads(r *report, now time.Time) {
	r.Loads = m.localLoads()
	for _, in := range m.placer.Leaving(now, leavingReportPeriod) {
		r.LeavingEndpoints = append(r.LeavingEndpoints, incarnationReport{ID: in.ID, StartMS: in.StartMS})
	}
}

// localLoads returns this instance's requests at endpoints.
func (m *mesh) localLoads() []loadReport {
	var loads []loadReport
	for _, l := range m.placer.LocalLoads() {
		loads = append(loads, loadReport{ID: l.Endpoint.ID, StartMS: l.Endpoint.StartMS, Running: l.Running})
	}
	return loads
}

// addWarmed adds the objects that this instance has recently sent to endpoints,
// for the same region: objects are requested by region.
func (m *mesh) addWarmed(r *report, now time.Time) {
	for _, w := range m.placer.WarmedObjects(now) {
		r.Warmed = append(r.Warmed, warmedReport{ID: w.Endpoint.ID, StartMS: w.Endpoint.StartMS, Object: w.Object, Home: w.Home})
	}
}

// receiveReport applies the report of another instance.
func (m *mesh) receiveReport(r report, roundTrip time.Duration) {
	now := time.Now()
	if r.Name == m.self.Name {
		return
	}
	extension := r.Extension
	r.Extension = nil // not kept
	m.mu.Lock()
	other := m.members[r.Name]
	if other == nil {
		other = &member{addedAt: now}
		m.members[r.Name] = other
	}
	if r.Started == other.previousStart && r.Started != other.Started {
		m.mu.Unlock()
		return // a late response of a process that was replaced
	}
	if r.Started != other.Started {
		other.previousStart = other.Started
		m.limiter.PeerRestarted(r.Name, now)
	}
	reappeared := now.Sub(other.lastReport) > m.aliveFor()
	other.report, other.lastReport, other.lastFailure = r, now, time.Time{}
	m.recordRoundTrip(other, roundTrip)
	isOwn := r.Fleet == nil && r.OwnDomain == nil
	if !isOwn {
		m.dropDirect(r.Name, other)
	}
	other.direct = isOwn
	isHub := m.isHub
	m.mu.Unlock()
	if reappeared {
		m.log.WithFields(logrus.Fields{"instance": r.Name, "started": r.Started}).Info("Instance alive.")
	}
	m.receiveExtension(r.Name, extension, now)
	m.receiveLeaving(now, r.LeavingEndpoints)
	m.receiveRateLimits(r.Name, r.RateLimits, now)
	m.crashes.Detector().Receive(now, r.Crashes)
	switch {
	case r.OwnDomain != nil:
		m.receiveSummary(*r.OwnDomain, now)
	case r.Fleet != nil && !isHub:
		m.receiveFleet(*r.Fleet, now)
	case isOwn:
		m.receiveOwn(r, now)
	}
}

// receiveOwn applies what an instance reports of itself.
func (m *mesh) receiveOwn(r report, now time.Time) {
	m.limiter.SetPeerDemand(r.Name, r.quotaReport(now, m.maxOwnReportAge()), now)
	m.placer.SetPeerLoads(r.Name, placingLoads(r.Loads))
	m.placer.AddPeerWarmed(now, placingWarmed(r.Warmed))
	m.rollouts.ReceiveReports(r.Name, r.Rollouts, now, now)
}

// quotaReport returns what the report, received at now, says for the quotas.
func (r *report) quotaReport(now time.Time, delay time.Duration) quota.PeerReport {
	p := quota.PeerReport{
		Demand: r.Demand, MeasuredAt: now.Add(-time.Duration(r.DemandAgeMS) * time.Millisecond),
		HeardAt: now.Add(-time.Duration(r.HeardMS) * time.Millisecond), Delay: delay,
	}
	if r.HeardMS < 0 {
		p.HeardAt = time.Time{}
	}
	return p
}

// rateLimitReports converts limits of endpoints.
func rateLimitReports(limits []placing.EndpointRateLimit) []rateLimitReport {
	reports := make([]rateLimitReport, 0, len(limits))
	for _, l := range limits {
		r := rateLimitReport{incarnationReport: incarnationReport{ID: l.Endpoint.ID, StartMS: l.Endpoint.StartMS}, AgeMS: l.Age.Milliseconds()}
		if l.Limit.Named {
			r.PerSecond = &l.Limit.PerSecond
		}
		reports = append(reports, r)
	}
	return reports
}

// receiveRateLimits applies what responses to other instances stated about the
// limits of endpoints.
func (m *mesh) receiveRateLimits(instance string, reports []rateLimitReport, now time.Time) {
	for _, r := range reports {
		reported := r.rateLimit()
		if m.placer.ObservePeerRateLimit(now, reported) {
			logRateLimit(m.log.WithFields(logrus.Fields{"endpoint": r.ID, "reporter": instance, "age_ms": r.AgeMS}), reported.Limit)
		}
	}
}

// receiveLeaving applies announcements of endpoints that are about to stop.
func (m *mesh) receiveLeaving(now time.Time, leaving []incarnationReport) {
	for _, in := range leaving {
		m.placer.MarkLeaving(now, catalog.Incarnation{ID: in.ID, StartMS: in.StartMS})
	}
}

// placingWarmed converts reported objects.
func placingWarmed(reported []warmedReport) []placing.WarmedObject {
	warmed := make([]placing.WarmedObject, 0, len(reported))
	for _, w := range reported {
		warmed = append(warmed, placing.WarmedObject{Endpoint: catalog.Incarnation{ID: w.ID, StartMS: w.StartMS}, Object: w.Object, Home: w.Home})
	}
	return warmed
}

// placingLoads converts reported loads.
func placingLoads(reported []loadReport) []placing.Load {
	loads := make([]placing.Load, 0, len(reported))
	for _, l := range reported {
		loads = append(loads, placing.Load{Endpoint: catalog.Incarnation{ID: l.ID, StartMS: l.StartMS}, Running: l.Running})
	}
	return loads
}
