package shifts

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/configuration"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

const (
	// tickPeriod is the time between two evaluations of the outcomes.
	tickPeriod = 250 * time.Millisecond
	// readPeriod is the time between two reads of the records.
	readPeriod = time.Second
	// reportPeriod is the time between two reports to the peers.
	reportPeriod = time.Second
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// reportTimeout bounds the sending of one round of reports.
	reportTimeout = 800 * time.Millisecond
)

// Settings configures a Manager.
type Settings struct {
	// Environment is the name of the environment.
	Environment string
	// Instance is this instance's name, unique for every process.
	Instance string
	// Region is this instance's region.
	Region string
	// LinkBytesPerSecond is the capacity of a link between two regions in each
	// direction.
	LinkBytesPerSecond float64
	// Tuning holds the settings of evaluation and timing.
	Tuning shift.Tuning
}

// Source provides the current document. configuration.Watcher implements it.
type Source interface {
	// Current returns the current snapshot of the configuration.
	Current() *configuration.Snapshot
}

// Manager runs the shifts and drains of the current document. ChooseVersion,
// RecordOutcome and DrainedShare are safe for concurrent use.
type Manager struct {
	settings  Settings
	table     storage.Table
	source    Source
	peers     peer.Caller
	directory configuration.Directory
	log       logrus.FieldLogger
	metrics   *metrics

	loads      loadMeter
	fleetLoads loadTable

	set   atomic.Pointer[movementSet]
	ready atomic.Bool
	// These channels trigger a report and a sync of the records immediately.
	urgentReport, urgentSync chan struct{}
}

// Dependencies are the components that a Manager uses.
type Dependencies struct {
	Table     storage.Table
	Source    Source
	Peers     peer.Caller
	Directory configuration.Directory
	Log       logrus.FieldLogger
	Meters    *Meters
}

// NewManager returns a manager without a document. Run loads the current one.
func NewManager(s Settings, d Dependencies) *Manager {
	m := &Manager{
		settings:     s,
		table:        d.Table,
		source:       d.Source,
		peers:        d.Peers,
		directory:    d.Directory,
		log:          d.Log.WithField("prefix", "shifts"),
		metrics:      d.Meters.metrics,
		urgentReport: make(chan struct{}, 1),
		urgentSync:   make(chan struct{}, 1),
	}
	m.set.Store(&movementSet{})
	return m
}

// Run runs the movements until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, tickPeriod, nil, m.tick) })
	group.Go(func() error { return every(ctx, readPeriod, m.urgentSync, m.syncRecords) })
	group.Go(func() error { return every(ctx, reportPeriod, m.urgentReport, m.sendReports) })
	return group.Wait()
}

// every calls f at once, then after each period and for each value from urgent,
// until ctx ends.
func every(ctx context.Context, period time.Duration, urgent <-chan struct{}, f func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-urgent:
		}
	}
}

// tick applies the current document and evaluates the outcomes since the last
// tick.
func (m *Manager) tick(context.Context) {
	m.applyDocument()
	now := time.Now()
	live := m.liveInstances()
	s := m.set.Load()
	for _, mv := range s.movements {
		mv.SetLiveInstances(live)
		if mv.drain != nil {
			mv.drain.SetHeadroom(m.headroom(now, s.index, live, mv.subject))
		}
		if mv.tick(now) {
			signal(m.urgentReport)
			signal(m.urgentSync)
		}
	}
}

// liveInstances returns the names of all live instances, this one included.
func (m *Manager) liveInstances() []string {
	names := []string{m.settings.Instance}
	for _, p := range m.directory.Peers() {
		names = append(names, processOf(p.Name))
	}
	return names
}

// processOf returns the process name in the name of a member. A member that
// lost its lease continues under the same process name with "~" and an epoch
// appended.
func processOf(member string) string {
	process, _, _ := strings.Cut(member, "~")
	return process
}

// signal sends on c without blocking; a value that is already pending suffices.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
