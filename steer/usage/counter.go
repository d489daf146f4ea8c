package usage

import (
	"maps"
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
	// Own: the instance's own counts.
	Own Scope = iota
	// Domain: the counts of all known sources of the own failure domain.
	Domain
	// Sums: the sums of all known failure domains.
	Sums
	// All: the counts of all known sources, and the received sums.
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
}

// Counter holds the counts of all sources that are known.
type Counter struct {
	own     Source
	length  time.Duration
	windows map[int64]*window
	change  uint64
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
	counts := c.sourceCells(k, c.own)
	if counts == nil || !c.set(counts, team, counts[team].count+1) {
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
		c.mergeWindows(newest, s.Windows, func(k int64) cells { return c.sourceCells(k, s.Source) })
	}
	for _, s := range d.Domains {
		c.mergeWindows(newest, s.Windows, func(k int64) cells { return c.domainCells(k, s.Domain) })
	}
}

func (c *Counter) mergeWindows(newest int64, windows map[int64]Counts, into func(k int64) cells) {
	for k, counts := range windows {
		if k <= c.closed {
			continue // usual: another instance has not closed it yet
		}
		if k > newest || k < newest-futureWindows-keptWindows {
			c.ignored++
			continue
		}
		known := into(k)
		for team, count := range counts {
			if known == nil || !c.set(known, team, count) {
				c.ignored++
			}
		}
	}
}

// set raises a count. It reports false if the count is out of range.
func (c *Counter) set(counts cells, team string, count int64) bool {
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

// sourceCells returns the counts of a source, nil if there are too many sources.
func (c *Counter) sourceCells(k int64, s Source) cells {
	return bounded(c.window(k).sources, s, s == c.own)
}

func (c *Counter) domainCells(k int64, domain string) cells {
	return bounded(c.window(k).domains, domain, false)
}

func bounded[K comparable](m map[K]cells, key K, always bool) cells {
	counts := m[key]
	if counts == nil && (always || len(m) < maxSources) {
		counts = make(cells)
		m[key] = counts
	}
	return counts
}

// Since returns what has changed after a change number, and the number to pass next
// time. Number 0 returns all that is known. The caller keeps a number for each peer
// process and scope, and the earlier number until the peer has received the delta.
func (c *Counter) Since(change uint64, scope Scope) (Delta, uint64) {
	sources, domains := make(map[Source]map[int64]Counts), make(map[string]map[int64]Counts)
	for k, w := range c.windows {
		for s, counts := range w.sources {
			if scope == All || scope == Own && s == c.own || scope == Domain && s.Domain == c.own.Domain {
				add(sources, s, k, counts, change)
			}
		}
		switch scope {
		case Sums:
			for domain, sums := range w.sums() {
				add(domains, domain, k, sums, change)
			}
		case All:
			for domain, sums := range w.domains {
				add(domains, domain, k, sums, change)
			}
		}
	}
	var d Delta
	for s, windows := range sources {
		d.Sources = append(d.Sources, SourceCounts{Source: s, Windows: windows})
	}
	for domain, windows := range domains {
		d.Domains = append(d.Domains, DomainCounts{Domain: domain, Windows: windows})
	}
	return d, c.change
}

// add adds the cells that have changed to a delta.
func add[K comparable](to map[K]map[int64]Counts, key K, k int64, counts cells, change uint64) {
	for team, v := range counts {
		if v.changed <= change {
			continue
		}
		if to[key] == nil {
			to[key] = make(map[int64]Counts)
		}
		if to[key][k] == nil {
			to[key][k] = make(Counts)
		}
		to[key][k][team] = v.count
	}
}

// sums returns, for each failure domain, the larger of the sum of its known sources
// and the received sum.
func (w *window) sums() map[string]cells {
	sums := make(map[string]cells)
	for s, counts := range w.sources {
		if sums[s.Domain] == nil {
			sums[s.Domain] = make(cells)
		}
		for team, v := range counts {
			sum := sums[s.Domain][team]
			sums[s.Domain][team] = cell{count: sum.count + v.count, changed: max(sum.changed, v.changed)}
		}
	}
	for domain, received := range w.domains {
		if sums[domain] == nil {
			sums[domain] = make(cells)
		}
		for team, v := range received {
			if v.count > sums[domain][team].count {
				sums[domain][team] = v
			}
		}
	}
	return sums
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
	maps.DeleteFunc(c.windows, func(k int64, _ *window) bool { return k <= c.closed })
}

// Late returns how many requests ended after their window was closed.
func (c *Counter) Late() int64 { return c.late }

// Ignored returns how many counts and windows were out of bounds.
func (c *Counter) Ignored() int64 { return c.ignored }
