package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// reportDelay is how long after its end a window is recorded. Nearly all
	// attempts have ended by then.
	reportDelay = 5 * time.Second
	// maxAge is the age after its end at which a window is no longer reported.
	// Counter keeps windows for less than that; recorded counts may be sent later.
	maxAge = 60 * time.Second
	// maxRecords bounds the recorded windows in the row. It is above maxAge divided
	// by the usual window of 5 s.
	maxRecords = 16
	// clockError bounds how far the wall clocks of two holders differ.
	clockError = time.Second
)

// Record is a window whose counts have been fixed. It is the body of a report.
type Record struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

// State is the state of the duty in its row.
type State struct {
	// Next is the first window that is not recorded; 0 if none has been recorded.
	Next int64 `json:"n"`
	// Records are the recorded windows that are not known to be delivered, in order.
	Records []Record `json:"r,omitempty"`
	// Skipped is how many windows have been skipped.
	Skipped int64 `json:"k,omitempty"`
}

// Plan decides which windows are recorded and sent. Each instance has one; it is
// used while the instance holds the duty.
type Plan struct {
	length time.Duration
	// confirmed are the records that the store has confirmed to this instance,
	// until they are too old.
	confirmed map[int64]Counts
	delivered map[int64]bool
	// recordedTo is the last window that is known to have been recorded by anyone.
	recordedTo int64
}

// NewPlan returns a plan for windows of a length.
func NewPlan(length time.Duration) *Plan {
	return &Plan{length: length, confirmed: make(map[int64]Counts), delivered: make(map[int64]bool)}
}

// DecodeState decodes the state in a row. An empty value is the state of a duty
// that has not been performed so far.
func DecodeState(value json.RawMessage) (State, error) {
	var s State
	if len(value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return State{}, fmt.Errorf("state of the usage reports: %w", err)
	}
	return s, nil
}

// Encode returns the state as the row has it.
func (s State) Encode() (json.RawMessage, error) { return json.Marshal(s) }

// Due returns when the next window of a state is to be recorded.
func (p *Plan) Due(s State) time.Time { return p.due(s.Next) }

func (p *Plan) due(window int64) time.Time { return End(window, p.length).Add(reportDelay) }

// RecordedTo returns the last window that has been recorded if the next window is
// due at a time, such as that of a row or of another instance's notice.
func (p *Plan) RecordedTo(due time.Time) int64 { return Window(due.Add(-reportDelay), p.length) - 2 }

// Recorded notes that all windows up to one have been recorded by some holder. They
// are not recorded again after a restore of the store.
func (p *Plan) Recorded(window int64) { p.recordedTo = max(p.recordedTo, window) }

// Prepare returns the state to write before any report is sent: that of the row,
// without the records that have been delivered, and with the windows that are due.
// total returns the counts of a window. restoredAt is not zero if the row's state may
// be older than what was last written (see duty.State.RestoredAt). It reports false
// if nothing has changed.
func (p *Plan) Prepare(now time.Time, s State, restoredAt time.Time, total func(window int64) Counts) (State, bool) {
	next := State{Next: s.Next, Skipped: s.Skipped}
	oldest := Window(now.Add(-maxAge), p.length)
	for _, r := range p.trusted(s, restoredAt) {
		switch {
		case p.delivered[r.Window]:
		case r.Window < oldest:
			next.Skipped++
		default:
			next.Records = append(next.Records, r)
		}
	}
	if next.Next == 0 {
		// The window that was due last, and no earlier one.
		next.Next = Window(now.Add(-reportDelay), p.length) - 1
	} else if next.Next < oldest {
		next.Skipped += oldest - next.Next
		next.Next = oldest
	}
	for ; p.due(next.Next).Compare(p.horizon(now, restoredAt)) <= 0; next.Next++ {
		w := next.Next
		counts, known := p.confirmed[w]
		switch {
		case p.delivered[w]:
		case known:
			next.Records = append(next.Records, Record{Window: w, Counts: counts})
		case p.mayBeRecorded(w, restoredAt):
			next.Skipped++
		default:
			next.Records = append(next.Records, Record{Window: w, Counts: total(w)})
		}
	}
	if excess := len(next.Records) - maxRecords; excess > 0 {
		next.Skipped += int64(excess)
		next.Records = slices.Delete(next.Records, 0, excess)
	}
	return next, next.Next != s.Next || len(next.Records) != len(s.Records)
}

// trusted returns the records of a state whose counts are final. Those of a restored
// state may come from a write that was applied late, after other counts had been
// recorded, so only what this instance knows of them counts.
func (p *Plan) trusted(s State, restoredAt time.Time) []Record {
	if restoredAt.IsZero() {
		return s.Records
	}
	var records []Record
	for _, r := range s.Records {
		if counts, known := p.confirmed[r.Window]; known {
			records = append(records, Record{Window: r.Window, Counts: counts})
		}
	}
	return records
}

// horizon returns the due time of the last window that Prepare decides on. After a
// restore, windows that may have been recorded before are decided on at once, since
// the next state no longer says that it was restored.
func (p *Plan) horizon(now, restoredAt time.Time) time.Time {
	if restoredAt.IsZero() {
		return now
	}
	if at := restoredAt.Add(clockError); at.After(now) {
		return at
	}
	return now
}

// mayBeRecorded reports whether an earlier holder may have recorded a window in a
// row that a restore of the store has lost.
func (p *Plan) mayBeRecorded(w int64, restoredAt time.Time) bool {
	return !restoredAt.IsZero() && (w <= p.recordedTo || !p.due(w).After(restoredAt.Add(clockError)))
}

// Confirmed applies a state that the store has confirmed: the write of it was
// acknowledged, or it was read. restoredAt is as for Prepare.
func (p *Plan) Confirmed(now time.Time, s State, restoredAt time.Time) {
	if restoredAt.IsZero() {
		for _, r := range s.Records {
			p.confirmed[r.Window] = r.Counts
		}
	}
	if s.Next > 0 {
		p.Recorded(s.Next - 1)
	}
	oldest := Window(now.Add(-maxAge), p.length)
	maps.DeleteFunc(p.confirmed, func(w int64, _ Counts) bool { return w < oldest })
	maps.DeleteFunc(p.delivered, func(w int64, _ bool) bool { return w < oldest })
}

// Pending returns the records of a confirmed state that are still to be sent, in
// order of their windows. restoredAt is as for Prepare.
func (p *Plan) Pending(s State, restoredAt time.Time) []Record {
	return slices.DeleteFunc(slices.Clone(p.trusted(s, restoredAt)), func(r Record) bool { return p.delivered[r.Window] })
}

// Delivered records that the platform has accepted the report of a window.
func (p *Plan) Delivered(window int64) { p.delivered[window] = true }
