package broker

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// requestReports requests the reports that new local brokers still miss.
func (s *Service) requestReports() {
	s.tenuresMu.RLock()
	defer s.tenuresMu.RUnlock()
	addresses := s.owners.Load().addresses
	for g, t := range s.tenures {
		missing := t.missingReports()
		if len(missing) == 0 {
			continue
		}
		for _, name := range missing {
			s.requestReport(g, t, name, addresses[name])
		}
		s.waivePreviousBroker(t, addresses)
	}
}

// requestReport requests the report of one instance, which may be this one.
func (s *Service) requestReport(g slots.Group, t *tenure, name, address string) {
	params := reportParams{Group: g, Epoch: t.epoch}
	if name == s.fleet.Name() {
		if r, ok := s.report(params); ok {
			s.applyReport(t, r)
		}
		return
	}
	if address == "" {
		return
	}
	s.pendingMessages.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var r slots.Report
		if err := s.peers.Call(ctx, address, methodReport, params, &r); err != nil {
			s.log.WithError(err).Debug("Requesting a report from a peer failed.")
			return
		}
		if r.Instance == name {
			s.applyReport(t, r)
		}
	})
}

func (s *Service) applyReport(t *tenure, r slots.Report) {
	t.runIfValid(func(now time.Time) []slots.Outcome { return t.broker.ApplyReport(r, now) })
}

// waivePreviousBroker ends the wait for the previous broker's report once that
// instance has been evicted.
func (s *Service) waivePreviousBroker(t *tenure, addresses map[string]string) {
	t.mu.Lock()
	previous := t.row.WaivedReport
	t.mu.Unlock()
	if _, listed := addresses[previous]; listed || previous == "" {
		return
	}
	t.runIfValid(func(now time.Time) []slots.Outcome { return t.broker.WaiveReport(previous, now) })
}

// report returns this instance's report to a new broker.
func (s *Service) report(p reportParams) (slots.Report, bool) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.SetInstance(s.fleet.Name())
	return s.holder.Report(p.Group, p.Epoch, time.Now())
}
