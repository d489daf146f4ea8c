package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/duties"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// dutyWorld is a store and a platform that the instances of a network call. Those
// that are down reach neither.
type dutyWorld struct {
	*network

	worldMu sync.Mutex
	row     []byte
	rev     uint64
	calls   map[string]int // to the store, by instance
	reports map[int64]usage.Counts
	holders []string // of the reports, in order
}

// dutyPlace is the world as one instance reaches it.
type dutyPlace struct {
	*dutyWorld
	self string
}

func (p dutyPlace) enter() error {
	time.Sleep(oneWayLatency)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[p.self] {
		return errUnreachable
	}
	return nil
}

func (p dutyPlace) Read(context.Context, string) (registry.Batch, error) {
	if err := p.enter(); err != nil {
		return registry.Batch{}, err
	}
	p.worldMu.Lock()
	defer p.worldMu.Unlock()
	p.calls[p.self]++
	b := registry.Batch{Revision: p.rev}
	if p.rev > 0 {
		b.Rows = []registry.Row{{Key: "usage", Value: p.row, Revision: p.rev}}
	}
	return b, nil
}

func (p dutyPlace) Write(_ context.Context, c registry.Change) (uint64, error) {
	if err := p.enter(); err != nil {
		return 0, err
	}
	p.worldMu.Lock()
	defer p.worldMu.Unlock()
	p.calls[p.self]++
	if c.Conditions[0].Revision != p.rev {
		return 0, &registry.ConflictError{Conditions: c.Conditions}
	}
	p.rev++
	p.row = c.Rows[0].Value
	return p.rev, nil
}

func (p dutyPlace) Kind(string) (duties.Kind, bool) { return duties.KindUsage, true }

func (p dutyPlace) ReportUsage(_ context.Context, f duties.Fence, r usage.Record) error {
	if err := p.enter(); err != nil {
		return err
	}
	p.worldMu.Lock()
	defer p.worldMu.Unlock()
	if known, ok := p.reports[r.Window]; ok && !maps.Equal(known, r.Counts) {
		return errors.New("the window has been reported with other counts")
	}
	p.reports[r.Window] = r.Counts
	p.holders = append(p.holders, f.Holder)
	return nil
}

const dutyWindow = 5 * time.Second

// newDutyNetwork starts a large fleet in which all instances have duties.
func newDutyNetwork(t *testing.T) (*dutyWorld, []*mesh, map[string]*duties.Runner) {
	t.Helper()
	w := &dutyWorld{calls: map[string]int{}, reports: map[int64]usage.Counts{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	runners := map[string]*duties.Runner{}
	_, all := newDomainNetwork(t, 12, 2, nil, func(n *network, m *mesh) {
		w.network = n
		place := dutyPlace{w, m.self.Name}
		r, err := duties.New(duties.Settings{Names: []string{"usage"}, FencesChecked: true, Usage: duties.UsageSettings{Window: dutyWindow.Seconds()}}, duties.Instance{
			Name: m.self.Name, Started: m.self.Started, FailureDomain: m.self.FailureDomain,
			Store: place, Platform: place, Rank: m.dutyRank, Meter: noop.NewMeterProvider().Meter(""), Log: log,
		})
		if err != nil {
			t.Fatal(err)
		}
		m.extension, runners[m.self.Name] = r, r
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, r := range runners {
		running.Go(func() { _ = r.Run(ctx) })
	}
	return w, all, runners
}

// Guards against counts that are lost or doubled between the instances of a large
// fleet, against store calls of all instances, and against reports that end with
// their holder.
func TestUsageOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, all, runners := newDutyNetwork(t)
		n := w.network
		time.Sleep(10 * time.Second)
		truth := map[int64]usage.Counts{}
		count := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				window := usage.Window(time.Now(), dutyWindow)
				if truth[window] == nil {
					truth[window] = usage.Counts{}
				}
				for i, m := range all {
					n.mu.Lock()
					down := n.down[m.self.Name]
					n.mu.Unlock()
					if team := fmt.Sprint("team-", i%5); !down {
						a := runners[m.self.Name].StartAttempt(time.Now(), team)
						a.Sent()
						// Some are answered after their window is recorded.
						time.AfterFunc(time.Duration(i%3)*4*time.Second, func() { a.End(true) })
						truth[window][team]++
					}
				}
			}
		}
		count(30 * time.Second)
		time.Sleep(15 * time.Second) // all has ended and is reported
		w.worldMu.Lock()
		holder := w.holders[len(w.holders)-1]
		w.worldMu.Unlock()
		n.setDown(holder, true)
		time.Sleep(10 * time.Second)
		count(30 * time.Second)
		time.Sleep(15 * time.Second)
		w.worldMu.Lock()
		defer w.worldMu.Unlock()
		if last := w.holders[len(w.holders)-1]; last == holder {
			t.Errorf("%s reports although it is down", holder)
		}
		for window, want := range truth {
			if got := w.reports[window]; !maps.Equal(got, want) {
				t.Errorf("window %d: reported %v, want %v", window, got, want)
			}
		}
		if callers := len(w.calls); callers > 6*2 {
			t.Errorf("%d instances have called the store, want at most the 12 hubs and their successors", callers)
		}
		t.Logf("%d windows, store calls %v", len(w.reports), w.calls)
	})
}
