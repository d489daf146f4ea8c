package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/broker"
	"github.com/cardamomfront/cardamomfront/front/caller"
	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/storage/shares"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	steermembership "github.com/cardamomfront/cardamomfront/steer/membership"
)

// directory lists the other instances. The membership keeper that knows them
// depends on components that need a directory, so it is set after the directory
// is created. Until then the list is empty.
type directory struct {
	keeper atomic.Pointer[membership.Keeper]
}

func newDirectory() *directory { return &directory{} }

// Peers implements configuration.Directory.
func (d *directory) Peers() []configuration.Peer {
	keeper := d.keeper.Load()
	if keeper == nil {
		return nil
	}
	return keeper.Peers()
}

// reporter collects what the membership writes to the instance's row.
type reporter struct {
	source  configuration.Source
	limiter *limit.Limiter
	load    func() float64
}

// Report implements membership.Reporter.
func (r *reporter) Report(now time.Time) membership.Report {
	report := membership.Report{Generation: r.source.Current().Head.Generation, Load: r.load()}
	for _, demand := range r.limiter.Demands(now) {
		report.Demand = append(report.Demand, steermembership.TeamDemand{Team: demand.Team, Rate: demand.Rate})
	}
	return report
}

// loadSource returns the instance's load. The limits stage that measures it is
// created later and set then; until then the load is 0.
type loadSource struct {
	limits atomic.Pointer[caller.Limits]
}

func newLoadSource() *loadSource { return &loadSource{} }

func (l *loadSource) current() float64 {
	limits := l.limits.Load()
	if limits == nil {
		return 0
	}
	return limits.Load()
}

// leaseListeners passes lease changes to each component that depends on the
// instance's member lease.
type leaseListeners []membership.LeaseListener

// SetLease implements membership.LeaseListener.
func (l leaseListeners) SetLease(until time.Time, epoch uint64) {
	for _, listener := range l {
		listener.SetLease(until, epoch)
	}
}

// Reset implements membership.LeaseListener.
func (l leaseListeners) Reset(now time.Time) {
	for _, listener := range l {
		listener.Reset(now)
	}
}

func newMembershipKeeper(s *Settings, n Name, store storage.Service, c *peer.Client, srv *peer.Server, limiter *limit.Limiter, lease *leaseExpiry, source configuration.Source, load *loadSource, d *directory, log *logrus.Logger, m *telemetry.Metrics) (*membership.Keeper, error) {
	meters, err := membership.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	settings := membership.Settings{
		Environment:     s.Environment,
		Process:         string(n),
		PeerAddress:     s.Peers.Listen,
		CallerURL:       s.Callers.URL,
		OperatorAddress: s.Operators.Listen,
		Region:          s.Region,
		FailureDomain:   s.FailureDomain,
		Timing:          steermembership.DefaultSettings(),
	}
	report := &reporter{source: source, limiter: limiter, load: load.current}
	keeper := membership.NewKeeper(settings, store, c, leaseListeners{limiter, lease}, report, log, meters)
	keeper.Register(srv)
	d.keeper.Store(keeper)
	return keeper, nil
}

func newSharesAgent(s *Settings, table storage.Service, c *peer.Client, srv *peer.Server, k *membership.Keeper, source configuration.Source, limiter *limit.Limiter, log *logrus.Logger, m *telemetry.Metrics) (*shares.Agent, error) {
	meters, err := shares.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	settings := shares.Settings{Environment: s.Environment, Region: s.Region, ReadPeriod: shares.DefaultReadPeriod}
	agent := shares.NewAgent(settings, table, c, k, source, limiter, log, meters)
	agent.Register(srv)
	return agent, nil
}

func newLimits(a *shares.Agent, load *loadSource) *caller.Limits {
	limits := caller.NewLimits(a)
	load.limits.Store(limits)
	return limits
}

// entrySource ranks the instances that a caller should use.
type entrySource struct{ agent *shares.Agent }

// Entries implements caller.EntrySource.
func (e entrySource) Entries(q caller.EntryQuery) []caller.Entry {
	entries := []caller.Entry{}
	for _, instance := range e.agent.Entries(q.Team, q.Region, q.Caller) {
		entries = append(entries, caller.Entry{URL: instance.URL, Region: instance.Region})
	}
	return entries
}

// plannedStop removes the instance from the fleet in a planned stop.
type plannedStop struct {
	keeper  *membership.Keeper
	agent   *shares.Agent
	brokers *broker.Service
	log     logrus.FieldLogger
}

func newPlannedStop(k *membership.Keeper, a *shares.Agent, b *broker.Service, log *logrus.Logger) *plannedStop {
	return &plannedStop{keeper: k, agent: a, brokers: b, log: log.WithField("prefix", "instance")}
}

// announce marks the instance as leaving, notifies the other instances, and
// hands over its quota shares. Requests that still arrive are served with
// borrowed shares.
func (p *plannedStop) announce(ctx context.Context) {
	// SetLeaving hands the slot groups over to peers. Peers that have not received
	// the announcement yet would hand them back, so it runs last.
	defer p.brokers.SetLeaving()
	if err := p.keeper.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("Failed to announce the planned stop to the fleet.")
		return
	}
	if err := p.agent.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("Failed to hand over the quota shares.")
	}
}

// removeRow removes the instance's row from the membership table.
func (p *plannedStop) removeRow(ctx context.Context) {
	if err := p.keeper.RemoveRow(ctx); err != nil {
		p.log.WithError(err).Warn("Failed to remove the instance's row.")
	}
}
