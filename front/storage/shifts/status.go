package shifts

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// StatusPath is the path of the status on the operators' listener.
const StatusPath = "/shifts"

// Status is the state of all movements as one instance sees it.
type Status struct {
	// Instance is the name of this instance.
	Instance string `json:"instance"`
	// Shifts and Drains are sorted by name.
	Shifts []shift.Status      `json:"shifts"`
	Drains []shift.DrainStatus `json:"drains"`
}

// Ready reports whether the instance has a document and knows the records of
// all its movements. Once true, it stays true.
func (m *Manager) Ready() bool {
	if m.ready.Load() {
		return true
	}
	s := m.set.Load()
	if s.index == nil {
		return false
	}
	for _, mv := range s.movements {
		if !mv.RecordKnown() {
			return false
		}
	}
	m.ready.Store(true)
	return true
}

// Status returns the state of all movements at now.
func (m *Manager) Status(now time.Time) Status {
	s := Status{Instance: m.settings.Instance}
	for _, mv := range m.set.Load().movements {
		if mv.shift != nil {
			s.Shifts = append(s.Shifts, mv.shift.Status(now))
			continue
		}
		s.Drains = append(s.Drains, mv.drain.Status(now))
	}
	slices.SortFunc(s.Shifts, func(a, b shift.Status) int { return strings.Compare(a.Shift, b.Shift) })
	slices.SortFunc(s.Drains, func(a, b shift.DrainStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// ServeHTTP serves the status as JSON on the operators' listener.
func (m *Manager) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(m.Status(time.Now())); err != nil {
		m.log.WithError(err).Debug("Failed to send status.")
	}
}
