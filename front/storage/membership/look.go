package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// look reads all rows once and tries to evict who may be evicted.
func (k *Keeper) look(ctx context.Context) error {
	if wait := lookPause - time.Since(k.lastLook()); wait > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
	if err := k.readRows(ctx); err != nil {
		return err
	}
	k.evictSilent(ctx)
	return nil
}

func (k *Keeper) lastLook() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watch.LastRead()
}

func (k *Keeper) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	found, err := k.store.Scan(ctx, InstancesPrefix(k.settings.Environment))
	count(k.meters.reads, err)
	if err != nil {
		return err
	}
	rows := make([]membership.Row, 0, len(found))
	for _, row := range found {
		record, err := membership.DecodeRecord(row.Value)
		if err != nil {
			k.log.WithError(err).WithField("row", row.Key).Error("Row can't be read.")
			continue
		}
		rows = append(rows, membership.Row{Record: record, Version: row.Version})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch.Observe(time.Now(), rows)
	k.noteMembers()
	return nil
}

// noteMembers wakes those who wait for a change of the usable members. The
// lock is held.
func (k *Keeper) noteMembers() {
	var usable []string
	for _, m := range k.watch.Members() {
		if m.Usable() {
			usable = append(usable, m.Name)
		}
	}
	if !slices.Equal(usable, k.usable) {
		k.usable = usable
		signal(k.changed)
	}
}

// list reads the platform's list once.
func (k *Keeper) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	listed, err := k.store.ListInstances(ctx)
	count(k.meters.reads, err)
	if err != nil {
		return err
	}
	var leaving []string
	for _, entry := range listed {
		if entry.Leaving {
			leaving = append(leaving, entry.Name)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch.ObserveListing(leaving)
	k.witness.Prune(time.Now())
	return nil
}

// evictSilent asks the witnesses of each silent holder for promises and takes
// away the rows of those that have no majority left. What such a holder had
// is then nobody's, and the shares' own pass moves it.
func (k *Keeper) evictSilent(ctx context.Context) {
	k.mu.Lock()
	claims := k.watch.EvictionCandidates(k.name(), time.Now())
	k.mu.Unlock()
	for _, claim := range claims {
		if k.promises(ctx, claim) < claim.PromisesNeeded {
			continue
		}
		err := k.evict(ctx, claim)
		count(k.meters.evictions, err)
		log := k.log.WithField("instance", claim.Holder)
		if err != nil {
			log.WithError(err).Info("Silent instance was not evicted.")
			continue
		}
		log.Warn("Silent instance was evicted.")
		k.tellOthers(ctx)
	}
}

func (k *Keeper) evict(ctx context.Context, claim membership.EvictionCandidate) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := k.store.Commit(ctx, []storage.Write{{
		Key:      InstanceKey(k.settings.Environment, claim.Holder),
		Expected: claim.Version,
		Delete:   true,
	}})
	count(k.meters.writes, err)
	return err
}
