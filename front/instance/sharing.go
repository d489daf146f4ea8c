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
	for _, d := range r.limiter.Demands(now) {
		report.Demand = append(report.Demand, steermembership.TeamDemand{Team: d.Team, Rate: d.Rate})
	}
	return report
}

// load tells how busy the instance is; the stage that knows comes later.
type load struct {
	limits atomic.Pointer[caller.Limits]
}

func newLoad() *load { return &load{} }

func (l *load) value() float64 {
	limits := l.limits.Load()
	if limits == nil {
		return 0
	}
	return limits.Load()
}

// tenants are all parts of an instance that use its lease.
type tenants []membership.LeaseListener

// SetLease implements membership.LeaseListener.
func (t tenants) SetLease(until time.Time, epoch uint64) {
	for _, one := range t {
		one.SetLease(until, epoch)
	}
}

// Reset implements membership.LeaseListener.
func (t tenants) Reset(now time.Time) {
	for _, one := range t {
		one.Reset(now)
	}
}

func newKeeper(s *Settings, n Name, store storage.Service, c *peer.Client, srv *peer.Server, l *limit.Limiter, r *right, source configuration.Source, busy *load, d *directory, log *logrus.Logger, m *telemetry.Metrics) (*membership.Keeper, error) {
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
	report := &reporter{source: source, limiter: l, load: busy.value}
	keeper := membership.NewKeeper(settings, store, c, tenants{l, r}, report, log, meters)
	keeper.Register(srv)
	d.keeper.Store(keeper)
	return keeper, nil
}

func newAgent(s *Settings, table storage.Service, c *peer.Client, srv *peer.Server, k *membership.Keeper, source configuration.Source, l *limit.Limiter, log *logrus.Logger, m *telemetry.Metrics) (*shares.Agent, error) {
	meters, err := shares.NewMeters(m.Meter)
	if err != nil {
		return nil, err
	}
	settings := shares.Settings{Environment: s.Environment, Region: s.Region, Period: shares.DefaultPeriod}
	agent := shares.NewAgent(settings, table, c, k, source, l, log, meters)
	agent.Register(srv)
	return agent, nil
}

func newLimits(a *shares.Agent, busy *load) *caller.Limits {
	limits := caller.NewLimits(a)
	busy.limits.Store(limits)
	return limits
}

// entrySource ranks the instances for callers.
type entrySource struct{ agent *shares.Agent }

// Entries implements caller.EntrySource.
func (e entrySource) Entries(q caller.EntryQuery) []caller.Entry {
	entries := []caller.Entry{}
	for _, r := range e.agent.Entries(q.Team, q.Region, q.Caller) {
		entries = append(entries, caller.Entry{URL: r.URL, Region: r.Region})
	}
	return entries
}

// departure is a planned stop as the other instances see it.
type departure struct {
	keeper  *membership.Keeper
	agent   *shares.Agent
	brokers *broker.Service
	log     logrus.FieldLogger
}

func newDeparture(k *membership.Keeper, a *shares.Agent, b *broker.Service, log *logrus.Logger) *departure {
	return &departure{keeper: k, agent: a, brokers: b, log: log.WithField("prefix", "instance")}
}

// announce tells the others that the instance is leaving and hands on what it
// holds. Requests that still come are served with borrowed parts.
func (d *departure) announce(ctx context.Context) {
	defer d.brokers.SetLeaving() // after the others know, or they hand groups back
	if err := d.keeper.Leave(ctx); err != nil {
		d.log.WithError(err).Warn("Leaving could not be announced.")
		return
	}
	if err := d.agent.Leave(ctx); err != nil {
		d.log.WithError(err).Warn("Parts could not be handed on.")
	}
}

// end takes the instance's row away.
func (d *departure) end(ctx context.Context) {
	if err := d.keeper.RemoveRow(ctx); err != nil {
		d.log.WithError(err).Warn("Row could not be taken away.")
	}
}
