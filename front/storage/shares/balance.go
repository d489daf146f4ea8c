package shares

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/storage"
	members "github.com/cardamomfront/cardamomfront/front/storage/membership"
	"github.com/cardamomfront/cardamomfront/front/telemetry"
	"github.com/cardamomfront/cardamomfront/steer/entry"
	"github.com/cardamomfront/cardamomfront/steer/limit"
	"github.com/cardamomfront/cardamomfront/steer/membership"
	"github.com/cardamomfront/cardamomfront/steer/share"
)

// divisionChange is a change of a team's division by one conditional write.
type divisionChange struct {
	team        string
	baseVersion uint64         // version on which the write is conditional
	transfer    limit.Transfer // reserved in the limiter; zero if no units leave this instance
	moves       []share.Move
	next        share.Division
}

// balance prepares and writes the changes that this instance should make.
func (a *Agent) balance(ctx context.Context, views []teamView, self identity) {
	all := a.members.Members()
	removed := a.removedHolders(ctx, views, all)
	var group errgroup.Group
	group.SetLimit(maxConcurrentWrites)
	for _, v := range views {
		c := a.prepareChange(v, self, all, removed)
		if c == nil {
			continue
		}
		group.Go(func() error {
			a.writeChange(ctx, c, self)
			return nil
		})
	}
	_ = group.Wait()
}

// removedHolders returns the holders whose instance rows do not exist any more.
// Their units can be reassigned safely: a row is removed only after the
// holder's lease has ended, and names are not reused. A missing entry in the
// list of members is no proof, because a list can be incomplete; each row is
// read.
func (a *Agent) removedHolders(ctx context.Context, views []teamView, all []membership.Member) map[string]bool {
	present := make(map[string]bool, len(all))
	for _, m := range all {
		present[m.Name] = true
	}
	removed := make(map[string]bool)
	checked := make(map[string]bool)
	for _, v := range views {
		for _, h := range v.division.Holdings {
			if present[h.Instance] || checked[h.Instance] {
				continue
			}
			checked[h.Instance] = true
			removed[h.Instance] = a.isRowRemoved(ctx, h.Instance)
		}
	}
	return removed
}

func (a *Agent) isRowRemoved(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := a.table.Get(ctx, members.InstanceKey(a.settings.Environment, member))
	telemetry.Count(a.meters.reads, telemetry.Outcome(err))
	return err == nil && row.Version == 0
}

// prepareChange returns the change that this instance should write for a team,
// or nil if there is none.
func (a *Agent) prepareChange(v teamView, self identity, all []membership.Member, removed map[string]bool) *divisionChange {
	if p := a.pendingAt(v); p != nil {
		return p // repeating the conditional write resolves the unknown outcome
	}
	claimants := a.claimants(v, all)
	targets := share.Targets(v.quota.Resource(), v.division, claimants)
	c := &divisionChange{team: v.name, baseVersion: v.version}
	if a.shouldAssignFree(v, self, all, removed) {
		c.moves = assignFreeUnits(v.division, removed, claimants, targets)
	}
	a.reserveTransfer(c, v, self, claimants, targets)
	if len(c.moves) == 0 {
		return nil
	}
	next, err := v.division.Apply(c.moves)
	if err != nil {
		a.log.WithError(err).WithField("team", v.name).Error("Failed to apply moves to division of team.")
		a.limiter.CancelTransfer(time.Now(), v.name, c.transfer)
		return nil
	}
	c.next = next
	return c
}

// claimants returns the usable members with their demand for a team, and marks
// the team's home instances in each region.
func (a *Agent) claimants(v teamView, all []membership.Member) []share.Claimant {
	usable := usableEntries(all)
	settings := a.entrySettings()
	isHome := make(map[string]bool)
	regionSeen := make(map[string]bool)
	for _, i := range usable {
		if regionSeen[i.Region] {
			continue
		}
		regionSeen[i.Region] = true
		for _, h := range entry.Homes(entry.Team{Name: v.name, Rate: v.quota.Rate}, i.Region, usable, settings) {
			isHome[h.Name] = true
		}
	}
	var claimants []share.Claimant
	for _, m := range all {
		if m.Usable() {
			claimants = append(claimants, share.Claimant{Instance: m.Name, Region: m.Region, Demand: m.DemandFor(v.name), Home: isHome[m.Name]})
		}
	}
	return claimants
}

// shouldAssignFree reports whether this instance should assign the free units
// of a team and those of removed holders. The instance of rank 0 for the team
// does so at once. Each further rank waits for passesPerRank more passes, so
// that it acts only if the instances before it do not.
func (a *Agent) shouldAssignFree(v teamView, self identity, all []membership.Member, removed map[string]bool) bool {
	free := v.division.Free() > 0
	for _, h := range v.division.Holdings {
		free = free || removed[h.Instance]
	}
	if !free {
		delete(a.freePasses, v.name)
		return false
	}
	a.freePasses[v.name]++
	return a.freePasses[v.name] > passesPerRank*membership.Rank(v.name, self.name, all)
}

// assignFreeUnits returns the moves that assign the free units and those of
// removed holders to claimants.
func assignFreeUnits(d share.Division, removed map[string]bool, claimants []share.Claimant, targets []share.Units) []share.Move {
	var moves []share.Move
	if d.Free() > 0 {
		moves = share.Distribute(d, "", d.Free(), claimants, targets)
	}
	for _, h := range d.Holdings {
		if removed[h.Instance] {
			moves = append(moves, share.Distribute(d, h.Instance, h.Units, claimants, targets)...)
		}
	}
	return moves
}

// reserveTransfer reserves this instance's surplus in the limiter and adds the
// moves to c. An instance that is not a claimant, because it is leaving,
// transfers all that it can. Nothing is added if the limiter knows another
// version of the division than v.
func (a *Agent) reserveTransfer(c *divisionChange, v teamView, self identity, claimants []share.Claimant, targets []share.Units) {
	moves := share.TransferSurplus(v.division, self.name, claimants, targets, share.MinTransfer)
	if !isClaimant(claimants, self.name) && len(claimants) > 0 {
		transferable := a.limiter.Transferable(time.Now(), v.name)
		moves = share.Distribute(v.division, self.name, min(transferable, v.division.UnitsOf(self.name)), claimants, targets)
	}
	total := sumUnits(moves)
	if total == 0 {
		return
	}
	transfer, ok := a.limiter.ReserveTransfer(time.Now(), v.name, total)
	if !ok {
		return
	}
	if transfer.Version != v.version {
		a.limiter.CancelTransfer(time.Now(), v.name, transfer)
		return
	}
	c.transfer = transfer
	c.moves = append(c.moves, moves...)
}

func isClaimant(claimants []share.Claimant, name string) bool {
	for _, c := range claimants {
		if c.Instance == name {
			return true
		}
	}
	return false
}

func sumUnits(moves []share.Move) share.Units {
	var total share.Units
	for _, m := range moves {
		total += m.Units
	}
	return total
}

// writeChange commits a change and handles the outcome.
func (a *Agent) writeChange(ctx context.Context, c *divisionChange, self identity) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value, err := c.next.Encode()
	if err != nil {
		a.log.WithError(err).WithField("team", c.team).Error("Failed to encode division of team.")
		a.limiter.CancelTransfer(time.Now(), c.team, c.transfer)
		return
	}
	key := Key(a.settings.Environment, c.team)
	versions, err := a.table.Commit(ctx, []storage.Write{{Key: key, Expected: c.baseVersion, Value: value}})
	var conflict *storage.ConflictError
	var storeErr *storage.Error
	switch {
	case err == nil:
		telemetry.Count(a.meters.writes, telemetry.OutcomeOK)
		a.clearPending(c)
		a.limiter.Observe(time.Now(), self.epoch, c.team, versions[0], c.next.UnitsOf(self.name))
		a.sendHandovers(c, versions[0], self)
	case errors.As(err, &conflict):
		telemetry.Count(a.meters.writes, outcomeConflict)
		a.discardChange(c)
	case errors.As(err, &storeErr) && storeErr.Effect == storage.EffectNone && !a.isPending(c):
		telemetry.Count(a.meters.writes, telemetry.OutcomeFailed)
		a.discardChange(c)
	default:
		telemetry.Count(a.meters.writes, telemetry.OutcomeFailed)
		a.markPending(c)
	}
}

// markPending stores a change whose outcome is unknown. Its transfer stays
// reserved.
func (a *Agent) markPending(c *divisionChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[c.team] = c
}

// pendingAt returns the pending change of a team, or nil. A row with a newer
// version than the base of the change resolves it.
func (a *Agent) pendingAt(v teamView) *divisionChange {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pending[v.name]
	if p != nil && p.baseVersion != v.version {
		delete(a.pending, v.name)
		return nil
	}
	return p
}

func (a *Agent) clearPending(c *divisionChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, c.team)
}

func (a *Agent) isPending(c *divisionChange) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending[c.team] == c
}

// discardChange discards a change that this attempt certainly did not write. It
// cancels the transfer only if no earlier attempt had an unknown outcome: that
// attempt may have been written, and the next read of the row resolves it.
func (a *Agent) discardChange(c *divisionChange) {
	if !a.isPending(c) {
		a.limiter.CancelTransfer(time.Now(), c.team, c.transfer)
	}
	a.clearPending(c)
}
