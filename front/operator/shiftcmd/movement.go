package shiftcmd

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// movementSet collects the records, events and statuses of each movement.
type movementSet struct {
	byName map[string]*Movement
	// wanted is the only name to collect, or "" for all.
	wanted string
}

// getOrCreate returns the movement of a name, or nil if it is not wanted.
func (set *movementSet) getOrCreate(name string) *Movement {
	if set.wanted != "" && set.wanted != name {
		return nil
	}
	m := set.byName[name]
	if m == nil {
		m = &Movement{Name: name}
		set.byName[name] = m
	}
	return m
}

func (set *movementSet) addRecord(r shifts.NamedRecord) {
	if m := set.getOrCreate(r.Name); m != nil {
		m.Recorded = true
		m.Record = r.Record
	}
}

func (set *movementSet) addEvent(e shifts.Event) {
	if m := set.getOrCreate(e.Name); m != nil {
		m.Events = append(m.Events, e)
	}
}

func (set *movementSet) addStatus(s *shifts.Status) {
	for _, status := range s.Shifts {
		if m := set.getOrCreate(status.Shift); m != nil {
			m.Shifts = append(m.Shifts, status)
		}
	}
	for _, status := range s.Drains {
		if m := set.getOrCreate(status.Name); m != nil {
			m.Drains = append(m.Drains, status)
		}
	}
}

// sorted returns the movements, sorted by name.
func (set *movementSet) sorted() []Movement {
	var all []Movement
	for _, name := range slices.Sorted(maps.Keys(set.byName)) {
		all = append(all, *set.byName[name])
	}
	return all
}

// ended reports whether the movement is done or rolled back.
func (m *Movement) ended() bool { return m.Recorded && m.Record.Phase >= shift.Done }

// rollbackError returns a RolledBackError if the movement was rolled back.
func (m *Movement) rollbackError() error {
	if m.Record.Phase == shift.RolledBack {
		return &RolledBackError{Name: m.Name, Reason: m.Record.Reason}
	}
	return nil
}

// holderStatus returns the status from the record's holder, which knows best
// what the next step waits for. If the holder did not respond, it returns the
// first status.
func (m *Movement) holderStatus() (*shift.Status, *shift.DrainStatus) {
	for i := range m.Shifts {
		if m.Shifts[i].Instance == m.Record.Holder {
			return &m.Shifts[i], nil
		}
	}
	for i := range m.Drains {
		if m.Drains[i].Instance == m.Record.Holder {
			return nil, &m.Drains[i]
		}
	}
	if len(m.Shifts) > 0 {
		return &m.Shifts[0], nil
	}
	if len(m.Drains) > 0 {
		return nil, &m.Drains[0]
	}
	return nil, nil
}

// waits returns the conditions that the next step waits for.
func (m *Movement) waits() []shift.Wait {
	s, d := m.holderStatus()
	switch {
	case s != nil:
		return s.Waits
	case d != nil:
		return d.Waits
	default:
		return nil
	}
}

// changeKey returns a string that changes with the movement's step and the
// kinds of its waits.
func (m *Movement) changeKey() string {
	key := fmt.Sprint(m.Record.Phase, m.Record.Stage)
	for _, w := range m.waits() {
		key += " " + string(w.Kind)
	}
	return key
}
