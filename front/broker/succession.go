package broker

import (
	"context"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/brokers"
	"github.com/cardamomfront/cardamomfront/steer/document"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/slots"
)

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
	s.takeRows(rows, members, index)
	s.writeRows(ctx, members, index)
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
	if !s.ready.Load() && o.covers(groups, s.fleet.Name()) {
		s.ready.Store(true)
	}
	for _, r := range rows {
		if r.Holder == s.fleet.Name() {
			s.takeLead(r, groups[r.Group], index)
			continue
		}
		s.dropLead(r.Group)
	}
}

// covers reports whether every group has a listed broker that gives slots to
// an instance.
func (o *ownership) covers(groups map[slots.Group][]slots.Endpoint, self string) bool {
	for g := range groups {
		row := o.rows[g]
		if _, listed := o.addresses[row.Holder]; !listed || !slices.Contains(row.Members, self) {
			return false
		}
	}
	return true
}

// takeLead starts the broker of a row's epoch, or brings it up to date.
func (s *Service) takeLead(r brokers.Row, endpoints []slots.Endpoint, index *document.Index) {
	s.leadsMu.Lock()
	defer s.leadsMu.Unlock()
	l := s.leads[r.Group]
	if l == nil || l.epoch != r.Epoch {
		if l != nil {
			l.close()
		}
		l = newLead(r, s.fleet.ValidUntil, weights(index))
		s.leads[r.Group] = l
		s.log.WithField("group", r.Group.String()).WithField("epoch", r.Epoch).Info("Handing out slots.")
	}
	l.update(r, endpoints)
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

// writeRows writes the rows that this instance holds and that are out of date,
// and those that have no broker and fall to it.
func (s *Service) writeRows(ctx context.Context, members []membership.Member, index *document.Index) {
	o := s.owners.Load()
	longest := longestTimeout(index)
	self := s.fleet.Name()
	for g := range groupsOf(index) {
		row := o.rows[g]
		_, held := o.addresses[row.Holder]
		first := firstChoice(g, members, index, s.leaving.Load(), self)
		switch {
		case row.Holder == self && first != "" && first != self && s.mayMove(row, first):
			s.handOver(ctx, row, first)
		case row.Holder == self:
			s.keepRow(ctx, row, o, longest)
		case !held && first == self:
			row.Group = g
			s.write(ctx, claim(row, self, namesOf(o), longest))
			s.look()
		}
	}
}

// namesOf returns the members' names in order.
func namesOf(o *ownership) []string {
	names := make([]string, 0, len(o.addresses))
	for name := range o.addresses {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// claim returns the row by which self succeeds the holder of row.
func claim(row brokers.Row, self string, members []string, longest time.Duration) brokers.Row {
	next := brokers.Row{
		Group: row.Group, Holder: self, Epoch: row.Epoch + 1, LongestGrant: longest, Version: row.Version,
		PreviousLongestGrant: max(row.LongestGrant, row.PreviousLongestGrant),
		Members:              members,
		UnrecordedGrants:     true,
	}
	if row.Version == 0 {
		return next
	}
	next.MissingReports = union(row.Members, row.MissingReports, []string{row.Holder})
	if !row.UnrecordedGrants && len(row.MissingReports) == 0 {
		next.WaivedReport = row.Holder
	}
	return next
}

// moveAfter is the least time for which a group stays with a broker that does
// not leave, so that differing views of the fleet don't pass it to and fro.
const moveAfter = 2 * time.Second

// mayMove reports whether a group may be handed to its first choice: always
// when this instance leaves, and else once the other one may hold slots and no
// earlier succession is under way.
func (s *Service) mayMove(row brokers.Row, first string) bool {
	if s.leaving.Load() {
		return true
	}
	l := s.lead(row.Group)
	if l == nil || time.Since(l.started) < moveAfter {
		return false
	}
	return slices.Contains(row.Members, first) && len(row.MissingReports) == 0
}

// handOver stops handing out a group's slots and names a successor.
func (s *Service) handOver(ctx context.Context, row brokers.Row, successor string) {
	l := s.lead(row.Group)
	if l == nil || l.epoch != row.Epoch {
		return
	}
	l.close()
	next := claim(row, successor, row.Members, row.LongestGrant)
	next.MissingReports = l.holders()
	next.WaivedReport = ""
	s.write(ctx, next)
	s.tellAll(methodLook)
}

// keepRow writes a row that this instance holds if it is out of date.
func (s *Service) keepRow(ctx context.Context, row brokers.Row, o *ownership, longest time.Duration) {
	l := s.lead(row.Group)
	if l == nil || l.epoch != row.Epoch {
		return
	}
	if l.isClosed() {
		s.resume(ctx, row, l)
		return
	}
	next := l.wanted(row, namesOf(o), longest, s.fleet.Name())
	if !sameRow(row, next) && s.write(ctx, next) {
		l.confirm(next)
	}
}

// resume begins a new epoch for a group whose hand-over did not come about.
func (s *Service) resume(ctx context.Context, row brokers.Row, l *lead) {
	next := claim(row, s.fleet.Name(), row.Members, row.LongestGrant)
	next.MissingReports = l.holders()
	next.WaivedReport = ""
	s.write(ctx, next)
	s.look()
}

// sameRow reports whether two rows of one broker say the same.
func sameRow(a, b brokers.Row) bool {
	return a.LongestGrant == b.LongestGrant && a.UnrecordedGrants == b.UnrecordedGrants && a.WaivedReport == b.WaivedReport &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.MissingReports, b.MissingReports)
}

// write writes a row and reports whether it was certainly written. Whether a
// lost answer took effect shows at the next scan.
func (s *Service) write(ctx context.Context, next brokers.Row) bool {
	err := s.rows.Write(ctx, next)
	if err != nil {
		s.log.WithError(err).WithField("group", next.Group.String()).Debug("Row not written.")
	}
	return err == nil
}

// union returns the sorted names that are in any of the lists.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
