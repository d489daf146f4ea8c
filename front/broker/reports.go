package broker

import (
	"context"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// askForReports asks the instances whose reports a new broker misses.
func (s *Service) askForReports() {
	s.leadsMu.RLock()
	defer s.leadsMu.RUnlock()
	addresses := s.owners.Load().addresses
	for g, l := range s.leads {
		missing := l.unheard()
		if len(missing) == 0 {
			continue
		}
		for _, name := range missing {
			s.askForReport(g, l, name, addresses[name])
		}
		s.waive(l, addresses)
	}
}

// askForReport asks one instance, which may be this one.
func (s *Service) askForReport(g slots.Group, l *lead, name, address string) {
	params := reportParams{Group: g, Epoch: l.epoch}
	if name == s.fleet.Name() {
		if r, ok := s.report(params); ok {
			s.takeReport(l, r)
		}
		return
	}
	if address == "" {
		return
	}
	s.messages.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var r slots.Report
		if err := s.peers.Call(ctx, address, methodReport, params, &r); err != nil {
			s.log.WithError(err).Debug("Report is missing.")
			return
		}
		if r.Instance == name {
			s.takeReport(l, r)
		}
	})
}

func (s *Service) takeReport(l *lead, r slots.Report) {
	l.work(func(now time.Time) []slots.Outcome { return l.broker.ApplyReport(r, now) })
}

// waive gives up the former broker's report once it has been evicted.
func (s *Service) waive(l *lead, addresses map[string]string) {
	l.mu.Lock()
	former := l.row.WaivedReport
	l.mu.Unlock()
	if _, listed := addresses[former]; listed || former == "" {
		return
	}
	l.work(func(now time.Time) []slots.Outcome { return l.broker.WaiveReport(former, now) })
}

// report answers a new broker.
func (s *Service) report(p reportParams) (slots.Report, bool) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.SetInstance(s.fleet.Name())
	return s.holder.Report(p.Group, p.Epoch, time.Now())
}
