package catalog

import "time"

const (
	// reappearDelay is how long an entry that was removed and is back without a
	// new report is ignored. An endpoint that does not run is removed again
	// within that time, after three missed reports.
	reappearDelay = 5 * time.Second
	// entryMemory is how long a removed entry is remembered.
	entryMemory = time.Minute
)

// EntryHistory detects entries of endpoints that are older than what was known
// before. The store returns such entries when it has been restored from an older
// copy: an endpoint that had announced its shutdown appears to be ready again,
// and one that had left is listed again. The zero value is not usable.
type EntryHistory struct {
	known map[Incarnation]entryState
}

// entryState is what is known about the entry of one incarnation.
type entryState struct {
	sequence  uint64
	draining  bool
	removedAt time.Time // zero while the entry is listed
}

// NewEntryHistory returns an empty history.
func NewEntryHistory() *EntryHistory {
	return &EntryHistory{known: make(map[Incarnation]entryState)}
}

// Filter returns the entries to use of all that are listed now. An entry whose
// sequence is not higher than that of a removal or a drain is an older state.
func (h *EntryHistory) Filter(now time.Time, listed []Endpoint) []Endpoint {
	current := make([]Endpoint, 0, len(listed))
	seen := make(map[Incarnation]bool, len(listed))
	for i := range listed {
		e := listed[i]
		in := e.Incarnation()
		seen[in] = true
		state, known := h.known[in]
		if known && e.Sequence <= state.sequence && e.Sequence > 0 {
			if !state.removedAt.IsZero() && now.Sub(state.removedAt) < reappearDelay {
				continue
			}
			e.Draining = e.Draining || state.draining
		}
		h.known[in] = entryState{sequence: max(e.Sequence, state.sequence), draining: e.Draining}
		current = append(current, e)
	}
	for in, state := range h.known {
		switch {
		case seen[in]:
		case state.removedAt.IsZero():
			state.removedAt = now
			h.known[in] = state
		case now.Sub(state.removedAt) > entryMemory:
			delete(h.known, in)
		}
	}
	return current
}
