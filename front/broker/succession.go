package broker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomfront/cardamomfront/front/platform/brokers"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

const (
	// viewLag is how long another instance may take to see that this one has
	// joined.
	viewLag = 5 * time.Second
	// unknownMember stands for instances that left before this one could know.
	unknownMember = ""
)

// history remembers which instances this one has seen.
type history struct {
	mu      sync.Mutex
	started time.Time
	seen    map[string]time.Time
	// reigns are the rows as they were seen, and since when.
	reigns map[slots.Group]reign
	// claims are this instance's last claims.
	claims map[slots.Group]claimed
}

// reign is a broker's epoch as this instance saw it.
type reign struct {
	epoch uint64
	since time.Time
}

// claimed is a claim of this instance.
type claimed struct {
	epoch  uint64 // that the claim gives
	former string // holder before
	reign  time.Duration
}

func (h *history) start(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = now
	h.seen = make(map[string]time.Time)
	h.reigns = make(map[slots.Group]reign)
	h.claims = make(map[slots.Group]claimed)
}

// noteRows takes in the rows as they are now.
func (h *history) noteRows(rows []brokers.Row, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range rows {
		if h.reigns[r.Group].epoch != r.Epoch {
			h.reigns[r.Group] = reign{epoch: r.Epoch, since: now}
		}
	}
}

// claim notes that this instance tries to succeed the holder of a row.
func (h *history) claim(r brokers.Row, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := claimed{epoch: r.Epoch + 1, former: r.Holder}
	if seen, ok := h.reigns[r.Group]; ok && seen.epoch == r.Epoch {
		c.reign = now.Sub(seen.since)
	}
	h.claims[r.Group] = c
}

// claimOf returns the claim that gave an epoch; it is empty when another
// instance wrote the row.
func (h *history) claimOf(g slots.Group, epoch uint64) claimed {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.claims[g]; c.epoch == epoch {
		return c
	}
	return claimed{}
}

// note takes in the members as they are now.
func (h *history) note(members []membership.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		h.seen[m.Name] = now
	}
}

// since returns the instances seen in the last period. When this instance is
// too young to know them all, unknownMember is among them.
func (h *history) since(period time.Duration, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	if now.Sub(h.started) < period+viewLag {
		names = append(names, unknownMember)
	}
	for name, at := range h.seen {
		if now.Sub(at) <= period {
			names = append(names, name)
		}
	}
	return names
}

// scan reads the rows and does what follows from them.
func (s *Service) scan(ctx context.Context) {
	index := s.document()
	if index == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	rows, err := s.rows.Scan(ctx)
	if err != nil {
		s.log.WithError(err).Debug("Broker rows could not be read.")
		return
	}
	members := s.fleet.Members()
	s.history.note(members, time.Now())
	s.history.noteRows(rows, time.Now())
	s.takeRows(rows, members, index)
	s.claimGroups(ctx, members, index)
}

// takeRows keeps the rows and starts or ends this instance's leads.
func (s *Service) takeRows(rows []brokers.Row, members []membership.Member, index *document.Index) {
	o := &ownership{rows: make(map[slots.Group]brokers.Row, len(rows)), addresses: make(map[string]string, len(members))}
	for _, m := range members {
		o.addresses[m.Name] = m.PeerAddress
	}
	for _, r := range rows {
		o.rows[r.Group] = r
	}
	s.owners.Store(o)
	groups := groupsOf(index)
	for _, r := range rows {
		if r.Holder == s.fleet.Name() {
			s.takeLead(r, groups[r.Group], index)
			continue
		}
		s.dropLead(r.Group)
	}
}

// takeLead starts the broker of a row's epoch, or brings its endpoints up to
// date.
func (s *Service) takeLead(r brokers.Row, endpoints []slots.Endpoint, index *document.Index) {
	s.leadsMu.Lock()
	defer s.leadsMu.Unlock()
	now := time.Now()
	l := s.leads[r.Group]
	if l != nil && l.continues(r.Epoch) {
		l.advance(r.Epoch, r.LongestGrant)
	}
	if l == nil || l.epoch() != r.Epoch {
		if l != nil {
			l.close()
		}
		l = s.newLead(r, index, now)
		s.leads[r.Group] = l
		s.log.WithField("group", r.Group.String()).WithField("epoch", r.Epoch).Info("Handing out slots.")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.SetEndpoints(endpoints, now)
}

// newLead makes the broker of a row's epoch. Before it hands out anything, it
// hears the instances that may hold grants of earlier epochs.
func (s *Service) newLead(r brokers.Row, index *document.Index, now time.Time) *lead {
	settings := slots.DefaultSettings()
	settings.LongestGrant = max(r.LongestGrant, r.FormerGrant)
	var unheard []string
	if r.Epoch > 1 {
		unheard = s.history.since(settings.LongestGrant+settings.Guard, now)
	}
	b := slots.NewBroker(r.Group, r.Epoch, settings, unheard, weights(index), now)
	return &lead{
		right: s.fleet.ValidUntil, broker: b, longest: r.LongestGrant, claim: s.history.claimOf(r.Group, r.Epoch),
		waiters: make(map[slots.ID]chan slots.Outcome),
	}
}

// dropLead ends this instance's lead of a group, if any.
func (s *Service) dropLead(g slots.Group) {
	s.leadsMu.Lock()
	defer s.leadsMu.Unlock()
	if l := s.leads[g]; l != nil {
		l.close()
		delete(s.leads, g)
	}
}

// claimGroups claims the groups that have no broker and fall to this instance,
// and hands over its own when it leaves.
func (s *Service) claimGroups(ctx context.Context, members []membership.Member, index *document.Index) {
	o := s.owners.Load()
	longest := longestTimeout(index)
	for g := range groupsOf(index) {
		row, exists := o.rows[g]
		first := firstChoice(g, members, index, s.leaving.Load(), s.fleet.Name())
		mine := row.Holder == s.fleet.Name()
		_, held := o.addresses[row.Holder]
		switch {
		case mine && s.leaving.Load() && first != "" && first != s.fleet.Name():
			s.dropLead(g)
			s.claim(ctx, row, g, first, longest)
		case mine && row.LongestGrant < longest:
			s.claim(ctx, row, g, s.fleet.Name(), longest)
		case (!exists || !held) && first == s.fleet.Name():
			s.claim(ctx, row, g, s.fleet.Name(), longest)
		}
	}
}

// claim writes a group's row with a new holder.
func (s *Service) claim(ctx context.Context, row brokers.Row, g slots.Group, holder string, longest time.Duration) {
	row.Group = g
	s.history.claim(row, time.Now())
	next := brokers.Row{
		Group: g, Holder: holder, Epoch: row.Epoch,
		LongestGrant: longest, FormerGrant: max(row.LongestGrant, row.FormerGrant),
	}
	if err := s.rows.Claim(ctx, next); err != nil {
		s.log.WithError(err).WithField("group", g.String()).Debug("Claim failed.")
	}
}

// firstChoice returns the member that should be a group's broker: the usable
// one in the group's region that scores highest (rendezvous hashing: Thaler and
// Ravishankar, 1998), or one elsewhere when there is none.
func firstChoice(g slots.Group, members []membership.Member, index *document.Index, leaving bool, self string) string {
	var best membership.Member
	var bestScore uint64
	found, inside := false, false
	for _, m := range members {
		if !m.Usable() || leaving && m.Name == self {
			continue
		}
		in := index.Region(m.FailureDomain) == g.Region
		score := xxhash.Sum64String(g.String() + "\x00" + m.Name)
		if !found || in && !inside || in == inside && score > bestScore {
			best, bestScore, found, inside = m, score, true, in
		}
	}
	return best.Name
}

// groupsOf returns the document's groups with their endpoints, in a fixed
// order.
func groupsOf(index *document.Index) map[slots.Group][]slots.Endpoint {
	groups := make(map[slots.Group][]slots.Endpoint)
	for _, service := range index.Document().Services {
		for _, version := range service.Versions {
			for _, e := range version.Endpoints {
				g := slots.Group{Service: service.Name, Version: version.Name, Region: index.Region(e.FailureDomain)}
				groups[g] = append(groups[g], slots.Endpoint{Address: e.Address, Slots: e.Slots})
			}
		}
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b slots.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	}
	return groups
}

// longestTimeout returns the longest timeout of all routes.
func longestTimeout(index *document.Index) time.Duration {
	longest := time.Duration(0)
	for _, r := range index.Document().Routes {
		longest = max(longest, r.Timeout.Std())
	}
	return longest
}

// weights returns the teams' rates as weights in the queues. Requests on open
// routes share the weight of a mean team.
func weights(index *document.Index) func(team string) float64 {
	teams := index.Document().Teams
	sum := 0.0
	for _, t := range teams {
		sum += float64(t.Rate)
	}
	mean := max(1, sum/float64(max(1, len(teams))))
	return func(name string) float64 {
		if t := index.TeamNamed(name); t != nil && t.Rate > 0 {
			return float64(t.Rate)
		}
		return mean
	}
}
