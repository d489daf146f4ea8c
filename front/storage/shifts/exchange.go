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

// methodReport is the method that receives the reports of peers.
const methodReport = "shifts.report"

// maxConcurrentReports bounds the number of reports in flight.
const maxConcurrentReports = 32

// DrainReport is an instance's view of a drain.
type DrainReport struct {
	// Name is the name of the drain's record.
	Name string `json:"name"`
	// Record is the latest record that the sender knows.
	Record shift.Record `json:"record"`
}

// Report is what an instance sends to its peers about all movements.
type Report struct {
	// Instance is the name of the sender, and Region its region.
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Loads is the load that the sender puts on endpoints. It is sent only while
	// the document has a drain. LoadsReliable means that it has been measured
	// for long enough to be used.
	Loads         []Load `json:"loads,omitempty"`
	LoadsReliable bool   `json:"measured,omitempty"`
	// Shifts is the sender's evidence on shifts.
	Shifts []shift.Report `json:"shifts"`
	// Drains is the sender's view of drains.
	Drains []DrainReport `json:"drains"`
}

// Register registers the method that peers call with server.
func (m *Manager) Register(server *peer.Server) { server.Handle(methodReport, m.receiveReport) }

// receiveReport processes the report of a peer.
func (m *Manager) receiveReport(_ context.Context, params json.RawMessage) (any, error) {
	var r Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	now := time.Now()
	m.fleetLoads.store(now, r)
	movements := m.set.Load().movements
	for _, report := range r.Shifts {
		if mv := movements[report.Shift]; mv != nil && mv.shift != nil {
			mv.shift.ReceiveReport(now, report)
		}
	}
	for _, d := range r.Drains {
		if mv := movements[d.Name]; mv != nil && mv.drain != nil {
			mv.drain.ReceivePeerRecord(now, r.Instance, d.Record)
		}
	}
	return struct{}{}, nil
}

// localReport returns this instance's report, and whether there are any
// movements to report.
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

// sendReports sends this instance's report to all peers. A lost report is not
// repeated, because the next one replaces it.
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
				m.log.WithError(err).WithField("peer", p.Name).Debug("Failed to send report to peer.")
			}
			return nil
		})
	}
	_ = group.Wait()
}
