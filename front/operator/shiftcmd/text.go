package shiftcmd

import (
	"fmt"
	"io"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// printer writes lines. It ignores write errors, because the output is usually a
// terminal.
type printer struct{ w io.Writer }

func (p printer) linef(format string, values ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", values...)
}

// text writes the report as text.
func (r *Report) text(w io.Writer) {
	p := printer{w}
	if len(r.Movements) == 0 {
		p.linef("no shift and no drain in %s", r.Environment)
	}
	for i := range r.Movements {
		r.Movements[i].text(p)
	}
	for _, s := range r.Unreachable {
		p.linef("no answer from %s %s: %s", s.Name, s.Addr, s.Error)
	}
}

// text writes one movement.
func (m *Movement) text(p printer) {
	p.linef("%s: %s", m.Name, m.summary())
	if m.Record.Phase == shift.RolledBack {
		p.linef("  why: %s (decided by %s)", m.Record.Reason.Detail, m.Record.Reason.Instance)
	}
	if m.Recorded {
		p.linef("  advanced by: %s", m.Record.Holder)
	}
	s, d := m.holderStatus()
	if s != nil {
		p.printShift(s)
	}
	if d != nil {
		p.linef("  region %s, %s moved, deadline %s", d.Region, d.Moved, formatTime(d.Deadline))
	}
	for _, wait := range m.waits() {
		p.linef("  waits for %s: %s", wait.Kind, wait.Detail)
	}
	for i := range m.Shifts {
		p.printInstance(&m.Shifts[i])
	}
	for _, e := range m.Events {
		p.linef("  %s %s", formatTime(e.At), describeStep(&e.Record))
	}
}

// summary describes the current step of the movement.
func (m *Movement) summary() string {
	if !m.Recorded {
		return "not begun"
	}
	return fmt.Sprintf("%s since %s", describeStep(&m.Record), formatTime(m.Record.Since))
}

// describeStep returns a record's phase and, while the shift is running, its
// stage.
func describeStep(r *shift.Record) string {
	if r.Phase == shift.Running {
		return fmt.Sprintf("%s, stage %d", r.Phase, r.Stage+1)
	}
	return r.Phase.String()
}

// printShift writes the state of the whole shift as one instance knows it.
func (p printer) printShift(s *shift.Status) {
	p.linef("  service %s: %s to %s, %d stages, deadline %s", s.Service, s.From, s.To, s.Stages, formatTime(s.Deadline))
	if s.WillMissDeadline {
		p.linef("  can no longer be complete by the deadline")
	}
	for _, r := range s.Routes {
		p.linef("  route %s in this stage: new version %s, old version %s", r.Route, formatCounts(r.New), formatCounts(r.Old))
	}
	for _, e := range s.Scopes {
		p.linef("  evidence %s: %.1f of %.1f; new version %s, old version %s",
			e.Scope, e.Evidence, e.Threshold, formatCounts(e.New), formatCounts(e.Old))
	}
}

// printInstance writes the current step and share of one instance.
func (p printer) printInstance(s *shift.Status) {
	connection := ""
	if !s.Connected {
		connection = ", out of touch"
	}
	p.linef("  %s: %s, gives the new version %s%s", s.Instance, describeStep(&s.Record), s.Share, connection)
}

// formatCounts formats hits and trials.
func formatCounts(c shift.Counts) string { return fmt.Sprintf("%d of %d", c.Hits, c.N) }

// formatTime formats a time for text output.
func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
