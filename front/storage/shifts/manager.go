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
	// tickPeriod is the time between two looks at the outcomes.
	tickPeriod = 250 * time.Millisecond
	// readPeriod is the time between two reads of the records.
	readPeriod = time.Second
	// reportPeriod is the time between two reports to the other instances.
	reportPeriod = time.Second
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// reportTimeout bounds one report to another instance.
	reportTimeout = 800 * time.Millisecond
)

// Settings are what a manager has to know.
type Settings struct {
	// Environment names the environment.
	Environment string
	// Instance is this instance's name, new for every process.
	Instance string
	// Region is this instance's region.
	Region string
	// LinkBytesPerSecond is the capacity of a link between two regions, in bytes a
	// second each way.
	LinkBytesPerSecond float64
	// Tuning holds the settings of judging and timing.
	Tuning shift.Tuning
}

// Source gives the document in force. configuration.Watcher implements it.
type Source interface {
	// Current returns what is known now.
	Current() *configuration.Snapshot
}

// Manager carries the shifts and drains of the document in force. Choose, Record
// and Moved may be called by many goroutines.
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
	// urgent asks for a report and for a look at the table at once.
	urgentReport, urgentSync chan struct{}
}

// Dependencies are what a manager works with.
type Dependencies struct {
	Table     storage.Table
	Source    Source
	Peers     peer.Caller
	Directory configuration.Directory
	Log       logrus.FieldLogger
	Meters    *Meters
}

// NewManager returns a manager that knows no document yet.
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

// Run carries the movements until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, tickPeriod, nil, m.tick) })
	group.Go(func() error { return every(ctx, readPeriod, m.urgentSync, m.syncRecords) })
	group.Go(func() error { return every(ctx, reportPeriod, m.urgentReport, m.sendReports) })
	return group.Wait()
}

// every calls f at once, in each period and whenever urgent asks, until ctx
// ends.
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

// tick follows the document and judges the outcomes since the last tick.
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

// processOf returns the process in a member's name. A member that has lost its
// lease goes on under the same process with an epoch after "~".
func processOf(member string) string {
	process, _, _ := strings.Cut(member, "~")
	return process
}

// signal asks on c, unless somebody has already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
