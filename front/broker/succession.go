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
	s.applyRows(rows, members, index)
	s.writeRows(ctx, members, index)
}

// applyRows keeps the rows and starts or ends this instance's leads.
func (s *Service) applyRows(rows []brokers.Row, members []membership.Member, index *document.Index) {
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
			s.startOrUpdateTenure(r, groups[r.Group], index)
			continue
		}
		s.endTenure(r.Group)
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

// startOrUpdateTenure starts the broker of a row's epoch, or brings it up to date.
func (s *Service) startOrUpdateTenure(r brokers.Row, endpoints []slots.Endpoint, index *document.Index) {
	s.tenuresMu.Lock()
	defer s.tenuresMu.Unlock()
	t := s.tenures[r.Group]
	if t == nil || t.epoch != r.Epoch {
		if t != nil {
			t.close()
		}
		t = newTenure(r, s.fleet.ValidUntil, teamWeights(index))
		s.tenures[r.Group] = t
		s.log.WithField("group", r.Group.String()).WithField("epoch", r.Epoch).Info("Handing out slots.")
	}
	t.update(r, endpoints)
}

// endTenure ends this instance's lead of a group, if any.
func (s *Service) endTenure(g slots.Group) {
	s.tenuresMu.Lock()
	defer s.tenuresMu.Unlock()
	if t := s.tenures[g]; t != nil {
		t.close()
		delete(s.tenures, g)
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
		_, hasBroker := o.addresses[row.Holder]
		preferred := preferredBroker(g, members, index, s.leaving.Load(), self)
		switch {
		case row.Holder == self && preferred != "" && preferred != self && s.mayHandOver(row, preferred):
			s.handOver(ctx, row, preferred)
		case row.Holder == self:
			s.refreshRow(ctx, row, o, longest)
		case !hasBroker && preferred == self:
			row.Group = g
			s.writeRow(ctx, successorRow(row, self, memberNames(o), longest))
			s.requestScan()
		}
	}
}

// memberNames returns the members' names in order.
func memberNames(o *ownership) []string {
	names := make([]string, 0, len(o.addresses))
	for name := range o.addresses {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// successorRow returns the row by which self succeeds the holder of row.
func successorRow(row brokers.Row, self string, members []string, longest time.Duration) brokers.Row {
	next := brokers.Row{
		Group: row.Group, Holder: self, Epoch: row.Epoch + 1, LongestGrant: longest, Version: row.Version,
		FormerGrant: max(row.LongestGrant, row.FormerGrant),
		Members:     members,
		Unnoted:     true,
	}
	if row.Version == 0 {
		return next
	}
	next.Unheard = union(row.Members, row.Unheard, []string{row.Holder})
	if !row.Unnoted && len(row.Unheard) == 0 {
		next.Waived = row.Holder
	}
	return next
}

// minTenure is the least time for which a group stays with a broker that does
// not leave, so that differing views of the fleet don't pass it to and fro.
const minTenure = 2 * time.Second

// mayHandOver reports whether a group may be handed to its first choice: always
// when this instance leaves, and else once the other one may hold slots and no
// earlier succession is under way.
func (s *Service) mayHandOver(row brokers.Row, preferred string) bool {
	if s.leaving.Load() {
		return true
	}
	t := s.tenure(row.Group)
	if t == nil || time.Since(t.startedAt) < minTenure {
		return false
	}
	return slices.Contains(row.Members, preferred) && len(row.Unheard) == 0
}

// handOver stops handing out a group's slots and names a successor.
func (s *Service) handOver(ctx context.Context, row brokers.Row, successor string) {
	t := s.tenure(row.Group)
	if t == nil || t.epoch != row.Epoch {
		return
	}
	t.close()
	next := successorRow(row, successor, row.Members, row.LongestGrant)
	next.Unheard = t.holders()
	next.Waived = ""
	s.writeRow(ctx, next)
	s.broadcast(methodScan)
}

// refreshRow writes a row that this instance holds if it is out of date.
func (s *Service) refreshRow(ctx context.Context, row brokers.Row, o *ownership, longest time.Duration) {
	t := s.tenure(row.Group)
	if t == nil || t.epoch != row.Epoch {
		return
	}
	if t.isClosed() {
		s.resume(ctx, row, t)
		return
	}
	next := t.desiredRow(row, memberNames(o), longest, s.fleet.Name())
	if !sameRow(row, next) && s.writeRow(ctx, next) {
		t.rowWritten(next)
	}
}

// resume begins a new epoch for a group whose hand-over did not come about.
func (s *Service) resume(ctx context.Context, row brokers.Row, t *tenure) {
	next := successorRow(row, s.fleet.Name(), row.Members, row.LongestGrant)
	next.Unheard = t.holders()
	next.Waived = ""
	s.writeRow(ctx, next)
	s.requestScan()
}

// sameRow reports whether two rows of one broker say the same.
func sameRow(a, b brokers.Row) bool {
	return a.LongestGrant == b.LongestGrant && a.Unnoted == b.Unnoted && a.Waived == b.Waived &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.Unheard, b.Unheard)
}

// writeRow writes a row and reports whether it was certainly written. Whether a
// lost answer took effect shows at the next scan.
func (s *Service) writeRow(ctx context.Context, next brokers.Row) bool {
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
