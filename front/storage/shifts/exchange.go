package shifts

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// methodReport is the method that takes another instance's report.
const methodReport = "shifts.report"

// maxConcurrentReports is the number of reports on their way at the same time.
const maxConcurrentReports = 32

// DrainReport is what one instance knows of a drain.
type DrainReport struct {
	// Name names the drain.
	Name string `json:"name"`
	// Record is its outcome as the sender knows it.
	Record shift.Record `json:"record"`
}

// Report is what one instance tells another about all movements.
type Report struct {
	// Instance is the sender, in Region.
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Loads are what the sender asks of endpoints, given while a drain is on,
	// and Measured says that they can be relied on.
	Loads         []Load `json:"loads,omitempty"`
	LoadsReliable bool   `json:"measured,omitempty"`
	// Shifts holds the evidence on shifts.
	Shifts []shift.Report `json:"shifts"`
	// Drains holds the outcomes of drains.
	Drains []DrainReport `json:"drains"`
}

// Register makes the manager take the reports that reach server.
func (m *Manager) Register(server *peer.Server) { server.Handle(methodReport, m.receiveReport) }

// receiveReport takes another instance's report.
func (m *Manager) receiveReport(_ context.Context, params json.RawMessage) (any, error) {
	var r Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	now := time.Now()
	m.fleetLoads.store(now, r)
	movements := m.set.Load().movements
	for _, summary := range r.Shifts {
		if mv := movements[summary.Shift]; mv != nil && mv.shift != nil {
			mv.shift.ReceiveReport(now, summary)
		}
	}
	for _, d := range r.Drains {
		if mv := movements[d.Name]; mv != nil && mv.drain != nil {
			mv.drain.ReceivePeerRecord(now, r.Instance, d.Record)
		}
	}
	return struct{}{}, nil
}

// localReport returns this instance's report; false when there is nothing to tell.
func (m *Manager) localReport(now time.Time) (Report, bool) {
	r := Report{Instance: m.settings.Instance, Region: m.settings.Region}
	movements := m.set.Load().movements
	for _, mv := range movements {
		if mv.shift != nil {
			r.Shifts = append(r.Shifts, mv.shift.Report(now))
			continue
		}
		r.Drains = append(r.Drains, DrainReport{Name: mv.name, Record: mv.drain.View()})
	}
	if len(r.Drains) > 0 {
		r.Loads, r.LoadsReliable = m.loads.measure(now)
		m.fleetLoads.store(now, r)
	}
	return r, len(movements) > 0
}

// sendReports tells all other instances. A sendReports that does not arrive is made good
// by the next one.
func (m *Manager) sendReports(ctx context.Context) {
	r, needed := m.localReport(time.Now())
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, p := range m.directory.Peers() {
		group.Go(func() error {
			if err := m.peers.Call(ctx, p.Addr, methodReport, r, nil); err != nil {
				m.metrics.countLostReport(ctx)
				m.log.WithError(err).WithField("peer", p.Name).Debug("Report did not arrive.")
			}
			return nil
		})
	}
	_ = group.Wait()
}
