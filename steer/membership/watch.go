package membership

import (
	"slices"
	"strings"
	"time"
)

// Member is an instance as its peers see it.
type Member struct {
	Record
	// Version is the version of the row that the record was read from.
	Version uint64
	// Silent is set if the row was not renewed for longer than its lease.
	Silent bool
}

// Usable reports whether the member takes new work.
func (m Member) Usable() bool { return !m.Silent && m.State == StateLive }

// Watch is the peers' view of all rows: which instances are live, which are
// leaving and which may be evicted. It is not safe for concurrent use.
type Watch struct {
	settings         Settings
	lastRead         time.Time
	rows             map[string]watchedRow
	leavingProcesses map[string]bool // processes that the platform reports as leaving
}

// watchedRow is a row with the times at which it was read.
type watchedRow struct {
	record         Record
	version        uint64
	versionSeenAt  time.Time // end of the first read that returned this version
	unchangedSince time.Time // end of the first read in the uninterrupted series that returned it
}

// NewWatch returns a watch without any rows.
func NewWatch(s Settings) *Watch {
	return &Watch{settings: s, rows: make(map[string]watchedRow), leavingProcesses: make(map[string]bool)}
}

// Row is one row as read from the table.
type Row struct {
	Record  Record
	Version uint64
}

// Observe records a complete read of the rows that ended at readAt. After a
// gap in the reads, silence is counted afresh, so that an outage of the table
// does not make instances look dead.
func (w *Watch) Observe(readAt time.Time, rows []Row) {
	afterGap := w.lastRead.IsZero() || readAt.Sub(w.lastRead) > w.settings.maxReadGap()
	next := make(map[string]watchedRow, len(rows))
	for _, r := range rows {
		old, known := w.rows[r.Record.Name]
		if known && r.Version < old.version {
			next[r.Record.Name] = old
			continue
		}
		entry := watchedRow{record: r.Record, version: r.Version, versionSeenAt: readAt, unchangedSince: readAt}
		if known && old.version == r.Version {
			entry.versionSeenAt = old.versionSeenAt
			if !afterGap {
				entry.unchangedSince = old.unchangedSince
			}
		}
		next[r.Record.Name] = entry
	}
	w.rows = next
	w.lastRead = readAt
}

// ObserveListing records the processes that the platform's list reports as
// leaving. The list lags, so it never makes an instance live or dead.
func (w *Watch) ObserveListing(leaving []string) {
	w.leavingProcesses = make(map[string]bool, len(leaving))
	for _, process := range leaving {
		w.leavingProcesses[process] = true
	}
}

// LastRead returns when the last successful read of the rows ended.
func (w *Watch) LastRead() time.Time { return w.lastRead }

// Members returns the members sorted by name. While the table is unavailable,
// the result stays as it was at the last read.
func (w *Watch) Members() []Member {
	members := make([]Member, 0, len(w.rows))
	for _, r := range w.rows {
		m := Member{Record: r.record, Version: r.version, Silent: w.silentAtLastRead(r)}
		if w.leavingProcesses[m.Process] {
			m.State = StateLeaving
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// silentAtLastRead reports whether the row was unchanged for longer than its
// lease when the rows were last read.
func (w *Watch) silentAtLastRead(r watchedRow) bool {
	return w.lastRead.Sub(r.unchangedSince) >= w.settings.Lease+w.settings.Guard
}

// EvictionCandidate is a silent holder that another instance may evict.
type EvictionCandidate struct {
	// Holder names the silent instance.
	Holder string
	// Version is the expected version of the holder's row in the eviction.
	Version uint64
	// Witnesses are the instances to request promises from.
	Witnesses []string
	// PromisesNeeded is the number of promises required for the eviction; with
	// fewer, the holder may still be using what it holds. It is 0 once the
	// holder's long lease has ended.
	PromisesNeeded int
}

// EvictionCandidates returns the holders that the instance called self may
// evict given enough promises. Self waits one heartbeat for each usable member
// that ranks before it for the holder, so that the first one can act alone.
func (w *Watch) EvictionCandidates(self string, now time.Time) []EvictionCandidate {
	var candidates []EvictionCandidate
	for _, m := range w.Members() {
		r := w.rows[m.Name]
		if m.Name == self || !m.Silent {
			continue
		}
		delay := time.Duration(w.evictionRank(self, m.Name)) * w.settings.Heartbeat
		if now.Sub(r.unchangedSince) < w.settings.Lease+w.settings.Guard+delay {
			continue
		}
		candidate := EvictionCandidate{Holder: m.Name, Version: m.Version, Witnesses: slices.Clone(m.Witnesses)}
		if now.Sub(r.versionSeenAt) < w.settings.LongLease+w.settings.Guard {
			candidate.PromisesNeeded = PromisesNeeded(len(candidate.Witnesses))
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// NextSilence returns the earliest time at which a row that is not silent yet
// would become so, or false if there is none. Reading at that time, rather
// than at the next regular read, evicts a dead instance sooner.
func (w *Watch) NextSilence() (time.Time, bool) {
	var next time.Time
	for _, r := range w.rows {
		at := r.unchangedSince.Add(w.settings.Lease + w.settings.Guard)
		if !w.silentAtLastRead(r) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// evictionRank returns the rank of self among the usable members that could
// evict holder.
func (w *Watch) evictionRank(self, holder string) int {
	members := slices.DeleteFunc(w.Members(), func(m Member) bool { return m.Name == holder })
	return Rank(holder, self, members)
}

// Rank returns the rank of self among the usable members for a task by
// rendezvous hashing; 0 is the first. Members with the same knowledge agree on
// the order.
func Rank(task, self string, members []Member) int {
	rank := 0
	own := score(task, self)
	for _, m := range members {
		if m.Name != self && m.Usable() && score(task, m.Name) > own {
			rank++
		}
	}
	return rank
}
