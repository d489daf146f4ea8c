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
	if t := s.tenure(g); t != nil {
		return t.explain(address, now)
	}
	if row, ok := s.owners.Load().rows[g]; ok {
		return "slots are handed out by " + row.Holder
	}
	return "no instance hands out its slots yet"
}

// explain describes an endpoint whose slots this instance hands out.
func (t *tenure) explain(address string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.broker.EndpointsInBackoff(now), address) {
		return "resting after failures"
	}
	return fmt.Sprintf("%d slots in use", t.broker.Used(address))
}
