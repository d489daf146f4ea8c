package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

// Members gives an Agent access to the membership.
type Members interface {
	// Identity returns this member's name and the epoch of its lease.
	Identity() (name string, epoch uint64)
	// Members returns the members as last read.
	Members() []membership.Member
	// Changed returns a channel that receives a value when the set of usable
	// members has changed.
	Changed() <-chan struct{}
}

// Agent manages this instance's shares of the quotas of all teams.
type Agent struct {
	settings Settings
	table    storage.Table
	peers    peer.Caller
	members  Members
	source   configuration.Source
	limiter  *limit.Limiter
	log      logrus.FieldLogger
	meters   *Meters

	background sync.WaitGroup // loan rounds and messages in flight
	spawnMu    sync.Mutex
	stopped    bool // no new background work; Run waits for the rest to end

	passMu sync.Mutex // held during a pass

	applyMu      sync.Mutex                     // held while quotas are set in the limiter
	appliedIndex atomic.Pointer[document.Index] // configuration whose quotas the limiter uses

	// epoch and freePasses are used only during a pass, passCount only by Run.
	epoch      uint64
	passCount  int
	freePasses map[string]int // per team, passes in a row that found free units

	mu          sync.Mutex
	pending     map[string]*divisionChange // per team, the write with an unknown outcome
	views       map[string]teamView
	loanRounds  map[string]*loanRound
	borrowAfter map[string]time.Time // per team, end of the backoff after a failed loan round
}

// teamView is the division of a team's quota as last read. Its version is 0 if
// the row does not exist yet.
type teamView struct {
	name     string
	quota    limit.Quota
	version  uint64
	division share.Division
}

// NewAgent returns an agent. Run starts it.
func NewAgent(s Settings, table storage.Table, peers peer.Caller, members Members, source configuration.Source, l *limit.Limiter, log logrus.FieldLogger, m *Meters) *Agent {
	return &Agent{
		settings:    s,
		table:       table,
		peers:       peers,
		members:     members,
		source:      source,
		limiter:     l,
		log:         log.WithField("prefix", "shares"),
		meters:      m,
		pending:     make(map[string]*divisionChange),
		freePasses:  make(map[string]int),
		views:       make(map[string]teamView),
		loanRounds:  make(map[string]*loanRound),
		borrowAfter: make(map[string]time.Time),
	}
}

// Run makes passes until ctx ends: it reads the divisions and transfers shares.
// A change of the usable members triggers a pass at once.
func (a *Agent) Run(ctx context.Context) error {
	defer a.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-a.members.Changed():
		}
		if err := a.pass(ctx); err != nil {
			failures++
			a.log.WithError(err).Debug("Failed to read divisions.")
		} else {
			failures = 0
		}
		timer.Reset(a.nextDelay(failures))
	}
}

// spawn runs f in the background unless Run has ended. It reports whether f was
// started.
func (a *Agent) spawn(f func()) bool {
	a.spawnMu.Lock()
	defer a.spawnMu.Unlock()
	if a.stopped {
		return false
	}
	a.background.Go(f)
	return true
}

func (a *Agent) stop() {
	a.spawnMu.Lock()
	a.stopped = true
	a.spawnMu.Unlock()
	a.background.Wait()
}

// nextDelay returns the time until the next pass. After failures it is longer
// and varies over a wider random range.
func (a *Agent) nextDelay(failures int) time.Duration {
	period := float64(a.settings.ReadPeriod)
	a.passCount++
	if failures == 0 && a.passCount < maxStartPasses && !a.Ready() {
		return startPassInterval
	}
	if failures == 0 {
		return time.Duration(period * (1 - jitter + 2*jitter*rand.Float64()))
	}
	return time.Duration(period * (1 + rand.Float64()*float64(min(failures, maxSlowdown-1))))
}

// pass reads all divisions once, updates the limiter and writes the changes
// that are this instance's to make. Without a valid lease it writes nothing.
func (a *Agent) pass(ctx context.Context) error {
	a.passMu.Lock()
	defer a.passMu.Unlock()
	index := a.source.Current().Index
	if index == nil {
		return nil
	}
	a.applyQuotas(index)
	name, epoch := a.members.Identity()
	a.startEpoch(epoch)
	views, err := a.readDivisions(ctx, teamQuotas(index))
	if err != nil {
		return err
	}
	for _, v := range views {
		if v.version > 0 {
			a.limiter.Observe(time.Now(), epoch, v.name, v.version, v.division.UnitsOf(name))
		}
	}
	if !time.Now().Before(a.limiter.LeaseUntil()) {
		return nil
	}
	a.balance(ctx, views, identity{name: name, epoch: epoch})
	return nil
}

// Ready reports whether this instance can decide on requests: it has a lease,
// and the quota of each team is divided among instances.
func (a *Agent) Ready() bool {
	index := a.source.Current().Index
	if index == nil || !time.Now().Before(a.limiter.LeaseUntil()) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range index.Document().Teams {
		if a.views[t.Name].division.Sum() == 0 {
			return false
		}
	}
	return true
}

// startEpoch drops the pending changes of an earlier epoch.
func (a *Agent) startEpoch(epoch uint64) {
	if epoch == a.epoch {
		return
	}
	a.epoch = epoch
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.pending)
}

// Leave transfers all shares of this instance to others. The membership must
// already list the instance as leaving. Leave returns when no share is left or
// ctx ends.
func (a *Agent) Leave(ctx context.Context) error {
	for a.limiter.HoldsAnyShare() {
		if err := a.pass(ctx); err != nil {
			a.log.WithError(err).Info("Failed to transfer shares of leaving instance; retrying.")
		}
		if !sleep(ctx, leavePassInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// identity is the name of this member and the epoch of its lease.
type identity struct {
	name  string
	epoch uint64
}

// teamQuotas returns the quotas of all teams by name.
func teamQuotas(index *document.Index) map[string]limit.Quota {
	quotas := make(map[string]limit.Quota)
	for _, t := range index.Document().Teams {
		quotas[t.Name] = limit.Quota{Rate: float64(t.Rate), Burst: float64(t.Burst)}
	}
	return quotas
}

// applyQuotas sets the limiter's quotas to those of the current configuration
// if it has others.
func (a *Agent) applyQuotas(index *document.Index) {
	if index == nil || a.appliedIndex.Load() == index {
		return
	}
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if current := a.source.Current().Index; current != a.appliedIndex.Load() {
		a.limiter.SetQuotas(time.Now(), teamQuotas(current))
		a.appliedIndex.Store(current)
	}
}

// readDivisions reads the divisions of the teams in quotas. Teams whose row is
// malformed are omitted.
func (a *Agent) readDivisions(ctx context.Context, quotas map[string]limit.Quota) ([]teamView, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := a.table.Scan(ctx, Prefix(a.settings.Environment))
	telemetry.Count(a.meters.reads, telemetry.Outcome(err))
	if err != nil {
		return nil, err
	}
	rowByKey := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		rowByKey[row.Key] = row
	}
	views := make([]teamView, 0, len(quotas))
	for team, quota := range quotas {
		row := rowByKey[Key(a.settings.Environment, team)]
		view := teamView{name: team, quota: quota, version: row.Version}
		if row.Version > 0 {
			if view.division, err = share.DecodeDivision(row.Value); err != nil {
				a.log.WithError(err).WithField("team", team).Error("Failed to decode division of team.")
				continue
			}
		}
		views = append(views, view)
	}
	a.storeViews(views)
	return views, nil
}

// storeViews stores the divisions for Ready, Entries and the choice of lenders,
// except those older than the ones stored.
func (a *Agent) storeViews(views []teamView) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range views {
		if v.version >= a.views[v.name].version {
			a.views[v.name] = v
		}
	}
}

// Demand returns the demand of all teams at this instance, which the membership
// publishes in the instance's row.
func (a *Agent) Demand(now time.Time) []membership.TeamDemand {
	var demand []membership.TeamDemand
	for _, d := range a.limiter.Demands(now) {
		demand = append(demand, membership.TeamDemand{Team: d.Team, Rate: d.Rate})
	}
	return demand
}
