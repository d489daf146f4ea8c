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

// change is one write of a team's division.
type change struct {
	team     string
	base     uint64 // version on which the write is conditional
	transfer limit.Transfer
	moves    []share.Move
	next     share.Division
}

// balance makes and writes this instance's changes of all teams.
func (a *Agent) balance(ctx context.Context, views []teamView, self identity) {
	all := a.members.Members()
	gone := a.gone(ctx, views, all)
	var group errgroup.Group
	group.SetLimit(writesAtOnce)
	for _, v := range views {
		c := a.change(v, self, all, gone)
		if c == nil {
			continue
		}
		group.Go(func() error {
			a.write(ctx, c, self)
			return nil
		})
	}
	_ = group.Wait()
}

// gone returns the holders whose rows are proven to be gone: rows are removed
// only after the holder's right has ended, and names are not used again.
func (a *Agent) gone(ctx context.Context, views []teamView, all []membership.Member) map[string]bool {
	present := make(map[string]bool, len(all))
	for _, m := range all {
		present[m.Name] = true
	}
	gone := make(map[string]bool)
	asked := make(map[string]bool)
	for _, v := range views {
		for _, h := range v.division.Holdings {
			if present[h.Instance] || asked[h.Instance] {
				continue
			}
			asked[h.Instance] = true
			gone[h.Instance] = a.rowIsGone(ctx, h.Instance)
		}
	}
	return gone
}

func (a *Agent) rowIsGone(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := a.table.Get(ctx, members.InstanceKey(a.settings.Environment, member))
	telemetry.Count(a.meters.reads, telemetry.Outcome(err))
	return err == nil && row.Version == 0
}

// change returns what this instance should write for a team, nil for nothing.
func (a *Agent) change(v teamView, self identity, all []membership.Member, gone map[string]bool) *change {
	if p := a.pendingAt(v); p != nil {
		return p // the same write again settles what became of the first
	}
	claimants := a.claimants(v, all)
	targets := share.Targets(v.quota.Resource(), v.division, claimants)
	c := &change{team: v.name, base: v.version}
	if a.myTurn(v, self, all, gone) {
		c.moves = freeParts(v.division, gone, claimants, targets)
	}
	a.addTransfer(c, v, self, claimants, targets)
	if len(c.moves) == 0 {
		return nil
	}
	next, err := v.division.Apply(c.moves)
	if err != nil {
		a.log.WithError(err).WithField("team", v.name).Error("Parts can't be moved.")
		a.limiter.CancelTransfer(time.Now(), v.name, c.transfer)
		return nil
	}
	c.next = next
	return c
}

// claimants returns the usable members with their demand for a team.
func (a *Agent) claimants(v teamView, all []membership.Member) []share.Claimant {
	usable := usableEntries(all)
	settings := a.entrySettings()
	homes := make(map[string]bool)
	seen := make(map[string]bool)
	for _, i := range usable {
		if seen[i.Region] {
			continue
		}
		seen[i.Region] = true
		for _, h := range entry.Homes(entry.Team{Name: v.name, Rate: v.quota.Rate}, i.Region, usable, settings) {
			homes[h.Name] = true
		}
	}
	var claimants []share.Claimant
	for _, m := range all {
		if m.Usable() {
			claimants = append(claimants, share.Claimant{Instance: m.Name, Region: m.Region, Demand: m.DemandFor(v.name), Home: homes[m.Name]})
		}
	}
	return claimants
}

// myTurn says whether this instance should move the free parts of a team. It is
// first for some teams, and steps in for others that leave them lying.
func (a *Agent) myTurn(v teamView, self identity, all []membership.Member, gone map[string]bool) bool {
	free := v.division.Free() > 0
	for _, h := range v.division.Holdings {
		free = free || gone[h.Instance]
	}
	if !free {
		delete(a.idle, v.name)
		return false
	}
	a.idle[v.name]++
	return a.idle[v.name] > passesPerTurn*membership.Rank(v.name, self.name, all)
}

// freeParts returns the moves of parts that nobody holds any more.
func freeParts(d share.Division, gone map[string]bool, claimants []share.Claimant, targets []share.Units) []share.Move {
	var moves []share.Move
	if d.Free() > 0 {
		moves = share.Distribute(d, "", d.Free(), claimants, targets)
	}
	for _, h := range d.Holdings {
		if gone[h.Instance] {
			moves = append(moves, share.Distribute(d, h.Instance, h.Units, claimants, targets)...)
		}
	}
	return moves
}

// addTransfer sets aside what this instance has too much of, all of it when it is
// leaving, and adds the moves.
func (a *Agent) addTransfer(c *change, v teamView, self identity, claimants []share.Claimant, targets []share.Units) {
	moves := share.TransferSurplus(v.division, self.name, claimants, targets, share.MinTransfer)
	if !isClaimant(claimants, self.name) && len(claimants) > 0 {
		giveable := a.limiter.Transferable(time.Now(), v.name)
		moves = share.Distribute(v.division, self.name, min(giveable, v.division.UnitsOf(self.name)), claimants, targets)
	}
	total := unitsOf(moves)
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

func unitsOf(moves []share.Move) share.Units {
	var total share.Units
	for _, m := range moves {
		total += m.Units
	}
	return total
}

// write commits a change and takes in its outcome.
func (a *Agent) write(ctx context.Context, c *change, self identity) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value, err := c.next.Encode()
	if err != nil {
		a.log.WithError(err).WithField("team", c.team).Error("Division can't be written.")
		a.limiter.CancelTransfer(time.Now(), c.team, c.transfer)
		return
	}
	key := Key(a.settings.Environment, c.team)
	versions, err := a.table.Commit(ctx, []storage.Write{{Key: key, Expected: c.base, Value: value}})
	var conflict *storage.ConflictError
	var failed *storage.Error
	switch {
	case err == nil:
		telemetry.Count(a.meters.writes, telemetry.OutcomeOK)
		a.forget(c)
		a.limiter.Observe(time.Now(), self.epoch, c.team, versions[0], c.next.UnitsOf(self.name))
		a.handOver(c, versions[0], self)
	case errors.As(err, &conflict):
		telemetry.Count(a.meters.writes, outcomeConflict)
		a.drop(c)
	case errors.As(err, &failed) && failed.Effect == storage.EffectNone && !a.isPending(c):
		telemetry.Count(a.meters.writes, telemetry.OutcomeFailed)
		a.drop(c)
	default:
		telemetry.Count(a.meters.writes, telemetry.OutcomeFailed)
		a.keep(c)
	}
}

// keep remembers a change whose outcome is unknown: its transfer stays aside.
func (a *Agent) keep(c *change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[c.team] = c
}

// pendingAt returns the change of a team whose outcome is unknown still; a row
// that has moved on settles it.
func (a *Agent) pendingAt(v teamView) *change {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pending[v.name]
	if p != nil && p.base != v.version {
		delete(a.pending, v.name)
		return nil
	}
	return p
}

func (a *Agent) forget(c *change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, c.team)
}

func (a *Agent) isPending(c *change) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending[c.team] == c
}

// drop takes back a change that was certainly not written by this try. When an
// earlier try had an unknown outcome, that one may have been written, and the
// next read of the row settles it.
func (a *Agent) drop(c *change) {
	if !a.isPending(c) {
		a.limiter.CancelTransfer(time.Now(), c.team, c.transfer)
	}
	a.forget(c)
}
