package membership

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// renew writes the instance's row once.
func (k *Keeper) renew(ctx context.Context) error {
	k.renewMu.Lock()
	defer k.renewMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := k.resolveRegistration(ctx); err != nil {
		return err
	}
	write, sentAt, err := k.beginRenewal()
	if err != nil || write.Key == "" {
		return err
	}
	versions, err := k.store.Commit(ctx, []storage.Write{write})
	count(k.meters.writes, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyRenewalResult(write, sentAt, versions, err)
	k.publishLease()
	return err
}

// resolveRegistration reads the instance's row if the outcome of its first
// write is unknown. If the row does not exist, the instance takes a new name,
// because a late write under the old name may still take effect.
func (k *Keeper) resolveRegistration(ctx context.Context) error {
	k.mu.Lock()
	outcomeUnknown := k.lease.Version() == 0 && k.lease.NeedsNewName()
	name := k.nameLocked()
	k.mu.Unlock()
	if !outcomeUnknown {
		return nil
	}
	row, err := k.store.Get(ctx, InstanceKey(k.settings.Environment, name))
	count(k.meters.reads, err)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.RowObserved(row.Version)
	if k.lease.NeedsNewName() {
		k.startEpoch()
	}
	k.publishLease()
	return nil
}

// beginRenewal returns the write of the next renewal and the time at which it
// is sent. The key of the write is empty if the instance has removed its row.
func (k *Keeper) beginRenewal() (storage.Write, time.Time, error) {
	now := time.Now()
	report := k.reporter.Report(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removed {
		return storage.Write{}, now, nil
	}
	if k.lease.NeedsNewName() {
		k.startEpoch()
	}
	members := k.watch.Members()
	witnesses := membership.ChooseWitnesses(k.nameLocked(), members, k.settings.Timing.Witnesses)
	sentAt := time.Now()
	record := membership.Record{
		Name:            k.nameLocked(),
		Process:         k.settings.Process,
		PeerAddress:     k.settings.PeerAddress,
		CallerURL:       k.settings.CallerURL,
		OperatorAddress: k.settings.OperatorAddress,
		Region:          k.settings.Region,
		FailureDomain:   k.settings.FailureDomain,
		State:           k.state,
		Generation:      report.Generation,
		Load:            report.Load,
		Demand:          report.Demand,
		Witnesses:       k.lease.BeginRenewal(sentAt, witnesses),
	}
	value, err := record.Encode()
	key := InstanceKey(k.settings.Environment, record.Name)
	return storage.Write{Key: key, Expected: k.lease.Version(), Value: value}, sentAt, err
}

// applyRenewalResult updates the lease with the result of a renewal. The caller
// holds k.mu.
func (k *Keeper) applyRenewalResult(write storage.Write, sentAt time.Time, versions []uint64, err error) {
	if write.Key != InstanceKey(k.settings.Environment, k.nameLocked()) || k.removed {
		return
	}
	var conflict *storage.ConflictError
	var failed *storage.Error
	switch {
	case err == nil:
		if k.lease.Version() == 0 {
			signal(k.readNow)
		}
		k.lease.RenewalCommitted(versions[0], sentAt)
	case errors.As(err, &conflict) && conflict.Actual.Version > write.Expected:
		k.lease.RowObserved(conflict.Actual.Version)
		signal(k.renewNow)
	case errors.As(err, &conflict):
		k.handleLeaseLost()
	case errors.As(err, &failed) && failed.Effect == storage.EffectNone:
		k.lease.RenewalNotCommitted()
	default:
		k.lease.RenewalUncertain()
	}
}

// handleLeaseLost ends the lease after an eviction and begins a new epoch. The
// caller holds k.mu.
func (k *Keeper) handleLeaseLost() {
	k.meters.leasesLost.Add(context.Background(), 1)
	k.log.WithField("instance", k.nameLocked()).Warn("Lease lost: a peer evicted this instance.")
	k.startEpoch()
	signal(k.renewNow)
}

// Leave marks the instance as leaving and notifies its peers. It retries until
// the row is written. If ctx ends first, it returns the error of the last
// attempt.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.state = membership.StateLeaving
	k.mu.Unlock()
	retry := pacer{period: k.settings.Timing.Heartbeat / 4}
	for {
		err := k.renew(ctx)
		if err == nil {
			k.notifyPeers(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retry.next(true)):
		}
	}
}

// RemoveRow deletes the instance's row. It must be called after the instance
// has handed over what it held. The lease ends before the row is deleted.
func (k *Keeper) RemoveRow(ctx context.Context) error {
	k.renewMu.Lock()
	defer k.renewMu.Unlock()
	k.mu.Lock()
	k.removed = true
	k.listener.SetLease(time.Time{}, k.epoch+1)
	write := storage.Write{
		Key:      InstanceKey(k.settings.Environment, k.nameLocked()),
		Expected: k.lease.Version(),
		Delete:   true,
	}
	k.mu.Unlock()
	if write.Expected == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := k.store.Commit(ctx, []storage.Write{write})
	count(k.meters.writes, err)
	return err
}
