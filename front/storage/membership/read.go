package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// refresh reads all rows and tries to evict the silent members that this
// instance may evict.
func (k *Keeper) refresh(ctx context.Context) error {
	if wait := minReadInterval - time.Since(k.lastRead()); wait > 0 {
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

func (k *Keeper) lastRead() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watch.LastRead()
}

func (k *Keeper) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	scanned, err := k.store.Scan(ctx, InstancesPrefix(k.settings.Environment))
	count(k.meters.reads, err)
	if err != nil {
		return err
	}
	rows := make([]membership.Row, 0, len(scanned))
	for _, row := range scanned {
		record, err := membership.DecodeRecord(row.Value)
		if err != nil {
			k.log.WithError(err).WithField("row", row.Key).Error("Failed to decode instance row.")
			continue
		}
		rows = append(rows, membership.Row{Record: record, Version: row.Version})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch.Observe(time.Now(), rows)
	k.signalMemberChange()
	return nil
}

// signalMemberChange signals Changed if the set of usable members has changed.
// The caller holds k.mu.
func (k *Keeper) signalMemberChange() {
	var usable []string
	for _, m := range k.watch.Members() {
		if m.Usable() {
			usable = append(usable, m.Name)
		}
	}
	if !slices.Equal(usable, k.usableNames) {
		k.usableNames = usable
		signal(k.changed)
	}
}

// readListing reads the platform's list of instances.
func (k *Keeper) readListing(ctx context.Context) error {
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

// evictSilent requests promises from the witnesses of each silent holder and
// deletes the rows of the holders that are left without a majority. The shares
// of an evicted holder are redistributed by package front/storage/shares.
func (k *Keeper) evictSilent(ctx context.Context) {
	k.mu.Lock()
	candidates := k.watch.EvictionCandidates(k.nameLocked(), time.Now())
	k.mu.Unlock()
	for _, candidate := range candidates {
		if k.collectPromises(ctx, candidate) < candidate.PromisesNeeded {
			continue
		}
		err := k.evict(ctx, candidate)
		count(k.meters.evictions, err)
		log := k.log.WithField("instance", candidate.Holder)
		if err != nil {
			log.WithError(err).Info("Failed to evict silent instance.")
			continue
		}
		log.Warn("Evicted silent instance.")
		k.notifyPeers(ctx)
	}
}

func (k *Keeper) evict(ctx context.Context, candidate membership.EvictionCandidate) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := k.store.Commit(ctx, []storage.Write{{
		Key:      InstanceKey(k.settings.Environment, candidate.Holder),
		Expected: candidate.Version,
		Delete:   true,
	}})
	count(k.meters.writes, err)
	return err
}
