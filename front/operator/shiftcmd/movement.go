package shiftcmd

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cardamomfront/cardamomfront/front/storage/shifts"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// collection puts together what is known of each movement.
type collection struct {
	named map[string]*Movement
	// wanted is the only name to keep; empty for all.
	wanted string
}

// at returns the movement of a name, or nil when it is not wanted.
func (c *collection) at(name string) *Movement {
	if c.wanted != "" && c.wanted != name {
		return nil
	}
	m := c.named[name]
	if m == nil {
		m = &Movement{Name: name}
		c.named[name] = m
	}
	return m
}

func (c *collection) addRecord(r shifts.Recorded) {
	if m := c.at(r.Name); m != nil {
		m.Recorded = true
		m.Record = r.Record
	}
}

func (c *collection) addEvent(e shifts.Event) {
	if m := c.at(e.Name); m != nil {
		m.Events = append(m.Events, e)
	}
}

func (c *collection) addStatus(s *shifts.Status) {
	for _, status := range s.Shifts {
		if m := c.at(status.Shift); m != nil {
			m.Shifts = append(m.Shifts, status)
		}
	}
	for _, status := range s.Drains {
		if m := c.at(status.Name); m != nil {
			m.Drains = append(m.Drains, status)
		}
	}
}

// sorted returns the movements by name.
func (c *collection) sorted() []Movement {
	var all []Movement
	for _, name := range slices.Sorted(maps.Keys(c.named)) {
		all = append(all, *c.named[name])
	}
	return all
}

// over reports whether nothing more will happen.
func (m *Movement) over() bool { return m.Recorded && m.Record.Phase >= shift.Done }

// outcome returns an error if the movement was taken back.
func (m *Movement) outcome() error {
	if m.Record.Phase == shift.RolledBack {
		return &RolledBackError{Name: m.Name, Reason: m.Record.Reason}
	}
	return nil
}

// told returns the statuses of the holder, or of the first instance that
// answered: it knows best what is waited for.
func (m *Movement) told() (*shift.Status, *shift.DrainStatus) {
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

// waits returns what the next step waits for.
func (m *Movement) waits() []shift.Wait {
	s, d := m.told()
	switch {
	case s != nil:
		return s.Waits
	case d != nil:
		return d.Waits
	default:
		return nil
	}
}

// digest changes when the movement's step or the kinds of its waits change.
func (m *Movement) digest() string {
	d := fmt.Sprint(m.Record.Phase, m.Record.Stage)
	for _, w := range m.waits() {
		d += " " + string(w.Kind)
	}
	return d
}
