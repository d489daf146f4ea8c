package membership

import (
	"slices"
	"strings"
	"time"
)

// Member is an instance as others see it.
type Member struct {
	Record
	// Version is the version of the row that the record was read from.
	Version uint64
	// Silent says that the row went unrenewed for longer than its lease.
	Silent bool
}

// Usable says whether the member takes new work.
func (m Member) Usable() bool { return !m.Silent && m.State == StateLive }

// Watch is the others' side of the rows: who is live, who is leaving, who may
// be evicted. It is not safe for concurrent use.
type Watch struct {
	settings         Settings
	lastRead         time.Time
	rows             map[string]watchedRow
	leavingProcesses map[string]bool // processes that the platform reports as leaving
}

type watchedRow struct {
	record         Record
	version        uint64
	versionSeenAt  time.Time // when a read that showed this version first ended
	unchangedSince time.Time // start of the unbroken series of reads that showed it
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(s Settings) *Watch {
	return &Watch{settings: s, rows: make(map[string]watchedRow), leavingProcesses: make(map[string]bool)}
}

// Row is one row as read.
type Row struct {
	Record  Record
	Version uint64
}

// Observe takes in a complete read of the rows that ended at done. After a gap
// in the reads silence is counted afresh, so that nobody is taken for dead
// because the table was.
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

// ObserveListing takes in the platform's list: the processes it reports as
// leaving. The list lags, so it never makes an instance live or dead.
func (w *Watch) ObserveListing(leaving []string) {
	w.leavingProcesses = make(map[string]bool, len(leaving))
	for _, process := range leaving {
		w.leavingProcesses[process] = true
	}
}

// LastRead returns when the last successful read of the rows ended.
func (w *Watch) LastRead() time.Time { return w.lastRead }

// Members returns the members in the order of their names. While the table is
// silent it stays as it was at the last read.
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

func (w *Watch) silentAtLastRead(r watchedRow) bool {
	return w.lastRead.Sub(r.unchangedSince) >= w.settings.Lease+w.settings.Guard
}

// EvictionCandidate is what a taker knows about a silent holder.
type EvictionCandidate struct {
	// Holder names the silent instance.
	Holder string
	// Version is the expected version of its row in the eviction.
	Version uint64
	// Witnesses are the instances to ask for promises.
	Witnesses []string
	// PromisesNeeded is the number of promises without which the holder may still be
	// using what it holds; 0 when its long lease has ended.
	PromisesNeeded int
}

// EvictionCandidates returns the holders that may be evicted with enough promises, as seen
// by the instance called self. Each silent holder is left for a while to the
// instance that ranks first for it.
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
// would become so, or false when there is none. A read at that time, rather
// than at the next regular one, brings a dead instance's eviction forward.
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

// evictionRank returns the place of self among the usable members that could evict
// holder.
func (w *Watch) evictionRank(self, holder string) int {
	members := slices.DeleteFunc(w.Members(), func(m Member) bool { return m.Name == holder })
	return Rank(holder, self, members)
}

// Rank returns the place of self among the usable members for a task, 0 for the
// first. Members with the same knowledge agree on the order.
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
