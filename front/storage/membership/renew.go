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
	k.renewing.Lock()
	defer k.renewing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := k.settleRegistration(ctx); err != nil {
		return err
	}
	write, asked, err := k.nextWrite()
	if err != nil || write.Key == "" {
		return err
	}
	versions, err := k.store.Commit(ctx, []storage.Write{write})
	count(k.meters.writes, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takeOutcome(write, asked, versions, err)
	k.tell()
	return err
}

// settleRegistration finds out what became of a first write with an unknown
// outcome; when the row is not there, the instance takes a new name.
func (k *Keeper) settleRegistration(ctx context.Context) error {
	k.mu.Lock()
	doubtful := k.lease.Version() == 0 && k.lease.NeedsNewName()
	name := k.name()
	k.mu.Unlock()
	if !doubtful {
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
		k.register()
	}
	k.tell()
	return nil
}

// nextWrite begins a renewal. The key is empty when the instance has gone.
func (k *Keeper) nextWrite() (storage.Write, time.Time, error) {
	now := time.Now()
	report := k.reporter.Report(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return storage.Write{}, now, nil
	}
	if k.lease.NeedsNewName() {
		k.register()
	}
	members := k.watch.Members()
	witnesses := membership.ChooseWitnesses(k.name(), members, k.settings.Timing.Witnesses)
	asked := time.Now()
	record := membership.Record{
		Name:            k.name(),
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
		Witnesses:       k.lease.BeginRenewal(asked, witnesses),
	}
	value, err := record.Encode()
	key := InstanceKey(k.settings.Environment, record.Name)
	return storage.Write{Key: key, Expected: k.lease.Version(), Value: value}, asked, err
}

// takeOutcome takes in what became of a renewal. The lock is held.
func (k *Keeper) takeOutcome(write storage.Write, asked time.Time, versions []uint64, err error) {
	if write.Key != InstanceKey(k.settings.Environment, k.name()) || k.gone {
		return
	}
	var conflict *storage.ConflictError
	var failed *storage.Error
	switch {
	case err == nil:
		if k.lease.Version() == 0 {
			signal(k.lookNow)
		}
		k.lease.RenewalCommitted(versions[0], asked)
	case errors.As(err, &conflict) && conflict.Actual.Version > write.Expected:
		k.lease.RowObserved(conflict.Actual.Version)
	case errors.As(err, &conflict):
		k.lose()
	case errors.As(err, &failed) && failed.Effect == storage.EffectNone:
		k.lease.RenewalNotCommitted()
	default:
		k.lease.RenewalUncertain()
	}
}

// lose ends the lease after an eviction and begins a new epoch. The lock is
// held.
func (k *Keeper) lose() {
	k.meters.lost.Add(context.Background(), 1)
	k.log.WithField("instance", k.name()).Warn("Lease was ended by others.")
	k.register()
	signal(k.renewNow)
}

// Leave marks the instance as leaving and tells the others to look. It returns
// when its row says so, or with the error of the last try when ctx ends.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.state = membership.StateLeaving
	k.mu.Unlock()
	p := pace{period: k.settings.Timing.Heartbeat / 4}
	for {
		err := k.renew(ctx)
		if err == nil {
			k.tellOthers(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(p.next(true)):
		}
	}
}

// RemoveRow takes the instance's row away, after it has handed on what it held. The
// lease ends before the row does.
func (k *Keeper) RemoveRow(ctx context.Context) error {
	k.renewing.Lock()
	defer k.renewing.Unlock()
	k.mu.Lock()
	k.gone = true
	k.tenant.SetLease(time.Time{}, k.epoch+1)
	write := storage.Write{
		Key:      InstanceKey(k.settings.Environment, k.name()),
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
