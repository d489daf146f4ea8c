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

// directory lists the other instances once the keeper is there. The keeper
// needs parts that need a directory, so it comes later.
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

// reporter tells the membership what goes into the instance's row.
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

// loadSource tells how busy the instance is; the stage that knows comes later.
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

// tenants are all parts of an instance that use its lease.
type tenants []membership.Tenant

// SetLease implements membership.Tenant.
func (t tenants) SetLease(until time.Time, epoch uint64) {
	for _, tenant := range t {
		tenant.SetLease(until, epoch)
	}
}

// Reset implements membership.Tenant.
func (t tenants) Reset(now time.Time) {
	for _, tenant := range t {
		tenant.Reset(now)
	}
}

func newKeeper(s *Settings, n Name, store storage.Service, c *peer.Client, srv *peer.Server, limiter *limit.Limiter, lease *leaseExpiry, source configuration.Source, load *loadSource, d *directory, log *logrus.Logger, m *telemetry.Metrics) (*membership.Keeper, error) {
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
	keeper := membership.NewKeeper(settings, store, c, tenants{limiter, lease}, report, log, meters)
	keeper.Register(srv)
	d.keeper.Store(keeper)
	return keeper, nil
}

func newAgent(s *Settings, table storage.Service, c *peer.Client, srv *peer.Server, k *membership.Keeper, source configuration.Source, limiter *limit.Limiter, log *logrus.Logger, m *telemetry.Metrics) (*shares.Agent, error) {
	meters, err := shares.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	settings := shares.Settings{Environment: s.Environment, Region: s.Region, Period: shares.DefaultPeriod}
	agent := shares.NewAgent(settings, table, c, k, source, limiter, log, meters)
	agent.Register(srv)
	return agent, nil
}

func newLimits(a *shares.Agent, load *loadSource) *caller.Limits {
	limits := caller.NewLimits(a)
	load.limits.Store(limits)
	return limits
}

// entrySource ranks the instances for callers.
type entrySource struct{ agent *shares.Agent }

// Entries implements caller.EntrySource.
func (e entrySource) Entries(q caller.EntryQuery) []caller.Entry {
	entries := []caller.Entry{}
	for _, instance := range e.agent.Entries(q.Team, q.Region, q.Caller) {
		entries = append(entries, caller.Entry{URL: instance.URL, Region: instance.Region})
	}
	return entries
}

// plannedStop is a planned stop as the other instances see it.
type plannedStop struct {
	keeper  *membership.Keeper
	agent   *shares.Agent
	brokers *broker.Service
	log     logrus.FieldLogger
}

func newPlannedStop(k *membership.Keeper, a *shares.Agent, b *broker.Service, log *logrus.Logger) *plannedStop {
	return &plannedStop{keeper: k, agent: a, brokers: b, log: log.WithField("prefix", "instance")}
}

// announce tells the others that the instance is leaving and hands on what it
// holds. Requests that still come are served with borrowed parts.
func (p *plannedStop) announce(ctx context.Context) {
	defer p.brokers.SetLeaving() // after the others know, or they hand groups back
	if err := p.keeper.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("Leaving could not be announced.")
		return
	}
	if err := p.agent.Leave(ctx); err != nil {
		p.log.WithError(err).Warn("Parts could not be handed on.")
	}
}

// removeRow takes the instance's row away.
func (p *plannedStop) removeRow(ctx context.Context) {
	if err := p.keeper.Go(ctx); err != nil {
		p.log.WithError(err).Warn("Row could not be taken away.")
	}
}
