package broker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/slots"
)

// Explain describes an endpoint of a group for operators: the number of its
// slots in use if this instance is the group's broker, otherwise which instance
// is.
func (s *Service) Explain(g slots.Group, address string, now time.Time) string {
	if t := s.tenure(g); t != nil {
		return t.explain(address, now)
	}
	if row, ok := s.owners.Load().rows[g]; ok {
		return "slots are handed out by " + row.Holder
	}
	return "no instance hands out its slots yet"
}

// explain describes an endpoint of a group whose broker is this instance.
func (t *tenure) explain(address string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.broker.EndpointsInBackoff(now), address) {
		return "resting after failures"
	}
	return fmt.Sprintf("%d slots in use", t.broker.Used(address))
}
