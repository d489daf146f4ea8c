package broker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Explain describes an endpoint of a group in a few words: how many of its
// slots are in use, when this instance hands them out, and otherwise who does.
func (s *Service) Explain(g slots.Group, address string, now time.Time) string {
	if l := s.lead(g); l != nil {
		return l.explain(address, now)
	}
	if row, ok := s.owners.Load().rows[g]; ok {
		return "slots are handed out by " + row.Holder
	}
	return "no instance hands out its slots yet"
}

// explain describes an endpoint whose slots this instance hands out.
func (l *lead) explain(address string, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.broker.EndpointsInBackoff(now), address) {
		return "resting after failures"
	}
	return fmt.Sprintf("%d slots in use", l.broker.Used(address))
}
