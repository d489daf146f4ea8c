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

// scan reads the rows, updates the local tenures and writes the rows that have
// to change.
func (s *Service) scan(ctx context.Context) {
	index := s.document()
	if index == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	rows, err := s.rows.Scan(ctx)
	if err != nil {
		s.log.WithError(err).Debug("Reading the broker rows failed.")
		return
	}
	members := s.fleet.Members()
	s.applyRows(rows, members, index)
	s.writeRows(ctx, members, index)
}

// applyRows stores the rows and starts, updates or ends this instance's
// tenures.
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

// covers reports whether every group has a listed broker that grants slots to
// the instance self.
func (o *ownership) covers(groups map[slots.Group][]slots.Endpoint, self string) bool {
	for g := range groups {
		row := o.rows[g]
		if _, listed := o.addresses[row.Holder]; !listed || !slices.Contains(row.Members, self) {
			return false
		}
	}
	return true
}

// startOrUpdateTenure starts a tenure for the row's epoch, or updates the
// existing one.
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
		s.log.WithField("group", r.Group.String()).WithField("epoch", r.Epoch).Info("Became the broker of a group.")
	}
	t.update(r, endpoints)
}

// endTenure ends this instance's tenure of a group, if any.
func (s *Service) endTenure(g slots.Group) {
	s.tenuresMu.Lock()
	defer s.tenuresMu.Unlock()
	if t := s.tenures[g]; t != nil {
		t.close()
		delete(s.tenures, g)
	}
}

// writeRows writes the outdated rows of the groups whose broker is this
// instance. It also claims groups without a broker for which this instance is
// the preferred one.
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

// successorRow returns the row that makes the instance self the successor of
// the row's holder.
func successorRow(row brokers.Row, self string, members []string, longest time.Duration) brokers.Row {
	next := brokers.Row{
		Group: row.Group, Holder: self, Epoch: row.Epoch + 1, LongestGrant: longest, Version: row.Version,
		PreviousLongestGrant: max(row.LongestGrant, row.PreviousLongestGrant),
		Members:              members,
		UnrecordedGrants:     true,
	}
	if row.Version == 0 {
		// No grants of earlier epochs, and its own are recorded if there is a peer.
		next.UnrecordedGrants = !slices.ContainsFunc(members, func(name string) bool { return name != self })
		return next
	}
	next.MissingReports = union(row.Members, row.MissingReports, []string{row.Holder})
	if !row.UnrecordedGrants && len(row.MissingReports) == 0 {
		next.WaivedReport = row.Holder
	}
	return next
}

// minTenure is the minimum time for which a group stays with a broker that is
// not leaving. Without it, instances with different views of the fleet could
// keep handing the group back and forth.
const minTenure = 2 * time.Second

// mayHandOver reports whether a group may be handed over to its preferred
// broker. A leaving instance always may. Otherwise the tenure must have lasted
// for minTenure, the preferred broker must be in the row, so that it may hold
// slots, and no earlier succession may be in progress.
func (s *Service) mayHandOver(row brokers.Row, preferred string) bool {
	if s.leaving.Load() {
		return true
	}
	t := s.tenure(row.Group)
	if t == nil || time.Since(t.startedAt) < minTenure {
		return false
	}
	return slices.Contains(row.Members, preferred) && len(row.MissingReports) == 0
}

// handOver closes this instance's tenure of a group and writes the successor to
// the row.
func (s *Service) handOver(ctx context.Context, row brokers.Row, successor string) {
	t := s.tenure(row.Group)
	if t == nil || t.epoch != row.Epoch {
		return
	}
	t.close()
	next := successorRow(row, successor, row.Members, row.LongestGrant)
	next.MissingReports = t.holders()
	next.WaivedReport = ""
	s.writeRow(ctx, next)
	s.broadcast(methodScan)
}

// refreshRow writes the row of a group whose broker is this instance if the row
// is out of date.
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

// resume begins a new epoch for a group whose handover was not written.
func (s *Service) resume(ctx context.Context, row brokers.Row, t *tenure) {
	next := successorRow(row, s.fleet.Name(), row.Members, row.LongestGrant)
	next.MissingReports = t.holders()
	next.WaivedReport = ""
	s.writeRow(ctx, next)
	s.requestScan()
}

// sameRow reports whether two rows of one broker have the same content.
func sameRow(a, b brokers.Row) bool {
	return a.LongestGrant == b.LongestGrant && a.UnrecordedGrants == b.UnrecordedGrants && a.WaivedReport == b.WaivedReport &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.MissingReports, b.MissingReports)
}

// writeRow writes a row and reports whether it was certainly written. If the
// outcome is unknown, the next scan shows whether the write took effect.
func (s *Service) writeRow(ctx context.Context, next brokers.Row) bool {
	err := s.rows.Write(ctx, next)
	if err != nil {
		s.log.WithError(err).WithField("group", next.Group.String()).Debug("Writing a broker row failed.")
	}
	return err == nil
}

// union returns the sorted names that are in any of the lists.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
