package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// keptWindows is how many windows before the current one are kept. The holder
	// reports a window within two windows after its end; the rest is for a store
	// that is down for half a minute.
	keptWindows = 8
	// futureWindows is how far an accepted window may lie ahead of the own clock.
	futureWindows = 1
	// maxTeams bounds the teams of a source or failure domain in one window, and
	// maxTeamBytes the length of a team's name.
	maxTeams     = 4096
	maxTeamBytes = 256
	// maxSources bounds the sources and the failure domains of one window. A
	// failure domain of 6,600 instances in 22 has 300, and as many that restarted.
	maxSources = 1024
	// maxNameBytes bounds the names of an instance and of a failure domain.
	maxNameBytes = 256
	// maxBytes bounds what the counts of other instances take, estimated with
	// cellBytes and cellsBytes. 300 instances with 85 teams come to 21 MB in all
	// windows that are kept, as while the store is down.
	maxBytes = 24 << 20
	// cellBytes and cellsBytes estimate the memory of one count, and of one source or
	// failure domain in one window, without their names.
	cellBytes  = 64
	cellsBytes = 160
	// maxCount bounds a count: 2.4 million requests a second come to 12 million in
	// a window.
	maxCount = 1_000_000_000
)

// Source is what counts are kept by: a process of an instance.
type Source struct {
	// Instance is the instance's name.
	Instance string `json:"i"`
	// Started is the start number of the process.
	Started int64 `json:"s"`
	// Domain is the instance's failure domain.
	Domain string `json:"d,omitempty"`
}

// Counts are requests by team.
type Counts map[string]int64

// Delta is what one instance tells another. The counts are totals, not differences.
type Delta struct {
	// Sources are counts of single processes.
	Sources []SourceCounts `json:"s,omitempty"`
	// Domains are sums of failure domains.
	Domains []DomainCounts `json:"d,omitempty"`
}

// SourceCounts are the counts of one process by window.
type SourceCounts struct {
	Source
	Windows map[int64]Counts `json:"w"`
}

// DomainCounts are the sums of one failure domain by window.
type DomainCounts struct {
	Domain  string           `json:"d"`
	Windows map[int64]Counts `json:"w"`
}

// Empty reports whether there is nothing to tell.
func (d Delta) Empty() bool { return len(d.Sources)+len(d.Domains) == 0 }

// Scope selects what Since returns.
type Scope int

const (
	// Own selects the instance's own counts.
	Own Scope = iota
	// Domain selects the counts of all known sources of the own failure domain.
	Domain
	// Sums selects the sums of all known failure domains.
	Sums
	// DomainSum selects the sum of the own failure domain.
	DomainSum
	// All selects the counts of all known sources, and the received sums.
	All
)

// cell is one count and the number of its last change.
type cell struct {
	count   int64
	changed uint64
}

type cells map[string]cell

// window holds the counts of one window.
type window struct {
	sources map[Source]cells
	domains map[string]cells // received sums
	bytes   int              // estimated memory of the counts of other instances
}

// Counter holds the counts of all sources that are known.
type Counter struct {
	own     Source
	length  time.Duration
	windows map[int64]*window
	change  uint64
	bytes   int   // sum of those of the windows
	closed  int64 // counts up to this window are not taken in any more
	late    int64
	ignored int64
}

// NewCounter returns an empty counter of a process for windows of a length.
func NewCounter(own Source, length time.Duration) *Counter {
	return &Counter{own: own, length: length, windows: make(map[int64]*window)}
}

// Add counts one request of a team that started at a moment in true time. It
// reports false, and the request counts as late, if the window is closed.
func (c *Counter) Add(start time.Time, team string) bool {
	k := Window(start, c.length)
	if k <= c.closed {
		c.late++
		return false
	}
	w := c.window(k)
	counts := w.sources[c.own]
	if counts == nil {
		counts = make(cells)
		w.sources[c.own] = counts
	}
	if !c.raise(counts, team, counts[team].count+1) {
		c.ignored++
		return false
	}
	return true
}

// Merge takes in what another instance tells. Windows that are closed, or more than
// one window ahead of now, and counts out of range are not taken in; they are
// counted by Ignored.
func (c *Counter) Merge(now time.Time, d Delta) {
	newest := Window(now, c.length) + futureWindows
	for _, s := range d.Sources {
		if s.Source == c.own {
			continue
		}
		names := max(len(s.Instance), len(s.Domain))
		c.mergeWindows(newest, s.Windows, func(w *window) cells { return cellsOf(c, w, w.sources, s.Source, names) })
	}
	for _, s := range d.Domains {
		c.mergeWindows(newest, s.Windows, func(w *window) cells { return cellsOf(c, w, w.domains, s.Domain, len(s.Domain)) })
	}
}

func (c *Counter) mergeWindows(newest int64, windows map[int64]Counts, into func(w *window) cells) {
	for k, counts := range windows {
		if k <= c.closed {
			continue // usual: another instance has not closed it yet
		}
		if k > newest || k < newest-futureWindows-keptWindows {
			c.ignored++
			continue
		}
		w := c.window(k)
		known := into(w)
		for team, count := range counts {
			_, ok := known[team]
			if known == nil || !ok && !c.hasRoom(cellBytes+len(team)) || !c.raise(known, team, count) {
				c.ignored++
				continue
			}
			if !ok {
				c.take(w, cellBytes+len(team))
			}
		}
	}
}

// hasRoom reports whether the counts of other instances may take some more memory.
func (c *Counter) hasRoom(bytes int) bool { return c.bytes+bytes <= maxBytes }

// take counts memory that the counts of other instances take in a window.
func (c *Counter) take(w *window, bytes int) {
	c.bytes += bytes
	w.bytes += bytes
}

// raise raises a count. It reports false if the count is out of range.
func (c *Counter) raise(counts cells, team string, count int64) bool {
	known, ok := counts[team]
	if count <= 0 || count > maxCount || !ok && (len(counts) >= maxTeams || len(team) > maxTeamBytes) {
		return false
	}
	if count > known.count {
		c.change++
		counts[team] = cell{count: count, changed: c.change}
	}
	return true
}

func (c *Counter) window(k int64) *window {
	w := c.windows[k]
	if w == nil {
		w = &window{sources: make(map[Source]cells), domains: make(map[string]cells)}
		c.windows[k] = w
	}
	return w
}

// cellsOf returns the counts of a source or failure domain of which m are the known
// ones in a window. It returns nil if there are too many or if their names, of which
// names is the length of the longest, are too long.
func cellsOf[K comparable](c *Counter, w *window, m map[K]cells, key K, names int) cells {
	counts := m[key]
	if counts == nil && len(m) < maxSources && names <= maxNameBytes && c.hasRoom(cellsBytes+2*names) {
		counts = make(cells)
		m[key] = counts
		c.take(w, cellsBytes+2*names)
	}
	return counts
}

// Since returns what has changed after a change number, and the number to pass next
// time. Number 0 returns all that is known. The caller keeps a number for each peer
// process and scope, and the earlier number until the peer has received the delta.
func (c *Counter) Since(change uint64, scope Scope) (Delta, uint64) {
	return c.SinceLimited(change, scope, 0)
}

// SinceLimited is Since with at most limit counts, those that changed first; 0 means
// that there is no limit.
func (c *Counter) SinceLimited(change uint64, scope Scope, limit int) (Delta, uint64) {
	d, n := c.between(change, c.change, scope)
	if limit <= 0 || n <= limit {
		return d, c.change
	}
	upTo := c.lastOf(change, scope, limit)
	d, _ = c.between(change, upTo, scope)
	return d, upTo
}

// between returns what has changed after a change and up to another, and how many
// counts these are.
func (c *Counter) between(change, upTo uint64, scope Scope) (d Delta, n int) {
	sources, domains := make(map[Source]map[int64]Counts), make(map[string]map[int64]Counts)
	c.each(scope, func(k int64, s Source, counts cells) {
		n += add(sources, s, k, counts, change, upTo)
	}, func(k int64, domain string, counts cells) {
		n += add(domains, domain, k, counts, change, upTo)
	})
	for s, windows := range sources {
		d.Sources = append(d.Sources, SourceCounts{Source: s, Windows: windows})
	}
	for domain, windows := range domains {
		d.Domains = append(d.Domains, DomainCounts{Domain: domain, Windows: windows})
	}
	return d, n
}

// lastOf returns the number of the last of the first limit changes after a change.
func (c *Counter) lastOf(change uint64, scope Scope, limit int) uint64 {
	var changes []uint64
	collect := func(counts cells) {
		for _, v := range counts {
			if v.changed > change {
				changes = append(changes, v.changed)
			}
		}
	}
	c.each(scope, func(_ int64, _ Source, counts cells) { collect(counts) }, func(_ int64, _ string, counts cells) { collect(counts) })
	slices.Sort(changes)
	return changes[limit-1]
}

// each calls source and domain for the counts of a scope.
func (c *Counter) each(scope Scope, source func(k int64, s Source, counts cells), domain func(k int64, domain string, counts cells)) {
	for k, w := range c.windows {
		switch scope {
		case Own:
			source(k, c.own, w.sources[c.own])
		case Domain, All:
			for s, counts := range w.sources {
				if scope == All || s.Domain == c.own.Domain {
					source(k, s, counts)
				}
			}
		case Sums:
			for d, sums := range w.sums() {
				domain(k, d, sums)
			}
		case DomainSum:
			domain(k, c.own.Domain, w.sum(c.own.Domain))
		}
		if scope == All {
			for d, sums := range w.domains {
				domain(k, d, sums)
			}
		}
	}
}

// add adds the cells that have changed after one change and up to another to a delta,
// and returns their number.
func add[K comparable](to map[K]map[int64]Counts, key K, k int64, counts cells, change, upTo uint64) (n int) {
	for team, v := range counts {
		if v.changed <= change || v.changed > upTo {
			continue
		}
		if to[key] == nil {
			to[key] = make(map[int64]Counts)
		}
		if to[key][k] == nil {
			to[key][k] = make(Counts)
		}
		to[key][k][team] = v.count
		n++
	}
	return n
}

// sums returns, for each failure domain, the larger of the sum of its known sources
// and the received sum.
func (w *window) sums() map[string]cells {
	sums := make(map[string]cells)
	for s, counts := range w.sources {
		if sums[s.Domain] == nil {
			sums[s.Domain] = make(cells)
		}
		sums[s.Domain].addAll(counts)
	}
	for domain, received := range w.domains {
		if sums[domain] == nil {
			sums[domain] = make(cells)
		}
		sums[domain].raiseAll(received)
	}
	return sums
}

// sum returns the sum of one failure domain; see sums.
func (w *window) sum(domain string) cells {
	sum := make(cells)
	for s, counts := range w.sources {
		if s.Domain == domain {
			sum.addAll(counts)
		}
	}
	sum.raiseAll(w.domains[domain])
	return sum
}

// addAll adds counts of a source.
func (c cells) addAll(counts cells) {
	for team, v := range counts {
		sum := c[team]
		c[team] = cell{count: sum.count + v.count, changed: max(sum.changed, v.changed)}
	}
}

// raiseAll raises the counts to received ones.
func (c cells) raiseAll(received cells) {
	for team, v := range received {
		if v.count > c[team].count {
			c[team] = v
		}
	}
}

// Total returns the counts of a window, as far as they are known.
func (c *Counter) Total(k int64) Counts {
	total := make(Counts)
	w := c.windows[k]
	if w == nil {
		return total
	}
	for _, sums := range w.sums() {
		for team, v := range sums {
			total[team] += v.count
		}
	}
	return total
}

// Sources returns how many processes, and how many failure domains by their sums,
// the counts of a window come from.
func (c *Counter) Sources(k int64) (processes, domains int) {
	w := c.windows[k]
	if w == nil {
		return 0, 0
	}
	return len(w.sources), len(w.domains)
}

// Forget forgets the windows that are too old at a moment in true time. Requests
// that started in them count as late from then on.
func (c *Counter) Forget(now time.Time) { c.close(Window(now, c.length) - keptWindows - 1) }

// Close closes all windows up to one that has been recorded for its report.
func (c *Counter) Close(recorded int64) { c.close(recorded) }

func (c *Counter) close(k int64) {
	c.closed = max(c.closed, k)
	maps.DeleteFunc(c.windows, func(k int64, w *window) bool {
		if k > c.closed {
			return false
		}
		c.bytes -= w.bytes
		return true
	})
}

// Late returns how many requests ended after their window was closed.
func (c *Counter) Late() int64 { return c.late }

// Ignored returns how many counts and windows were out of bounds.
func (c *Counter) Ignored() int64 { return c.ignored }
