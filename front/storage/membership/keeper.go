package membership

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/cardamomfront/cardamomfront/front/peer"
	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/steer/membership"
)

// Store is the part of the platform's storage that a Keeper uses.
type Store interface {
	storage.Table
	storage.Instances
}

// LeaseListener is notified of changes of the instance's lease. What the
// instance holds may be used only while the lease is valid. The methods are
// called with the Keeper's lock held and must not call the Keeper.
type LeaseListener interface {
	// SetLease sets the end of the lease on this instance's clock. A new epoch
	// means that the previous lease was lost or given up.
	SetLease(until time.Time, epoch uint64)
	// Reset drops everything that was held under a lost lease.
	Reset(now time.Time)
}

// Report is the state that the instance publishes in its row.
type Report struct {
	// Generation is the generation of the configuration in force.
	Generation uint64
	// Load is the fraction of the capacity in use, from 0 to 1.
	Load float64
	// Demand lists the demand of the teams with requests at this instance.
	Demand []membership.TeamDemand
}

// Reporter returns the report for the next renewal.
type Reporter interface {
	Report(now time.Time) Report
}

// Keeper maintains the membership of one instance: it renews the instance's
// lease, tracks the other members and evicts silent ones.
type Keeper struct {
	settings Settings
	store    Store
	peers    peer.Caller
	listener LeaseListener
	reporter Reporter
	log      logrus.FieldLogger
	meters   *Meters

	renewMu sync.Mutex     // held during a renewal
	probes  sync.WaitGroup // probes in flight

	mu           sync.Mutex
	epoch        uint64
	lease        *membership.Lease
	watch        *membership.Watch
	witness      *membership.Witness
	reachability peerReachability
	state        membership.State
	removed      bool // set by RemoveRow; the row is not written again

	renewNow    chan struct{}
	readNow     chan struct{}
	usableNames []string // usable members at the last read
	changed     chan struct{}
}

// NewKeeper returns a keeper without a lease. Run starts it.
func NewKeeper(s Settings, store Store, peers peer.Caller, listener LeaseListener, reporter Reporter, log logrus.FieldLogger, m *Meters) *Keeper {
	k := &Keeper{
		settings: s,
		store:    store,
		peers:    peers,
		listener: listener,
		reporter: reporter,
		log:      log.WithField("prefix", "membership"),
		meters:   m,
		watch:    membership.NewWatch(s.Timing),
		state:    membership.StateLive,
		renewNow: make(chan struct{}, 1),
		readNow:  make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
	}
	k.startEpoch()
	return k
}

// startEpoch begins a new epoch, with a new name and without a lease. The
// caller holds k.mu, except in NewKeeper.
func (k *Keeper) startEpoch() {
	k.epoch++
	k.listener.SetLease(time.Time{}, k.epoch)
	k.listener.Reset(time.Now())
	k.lease = membership.NewLease(k.settings.Timing)
	k.witness = membership.NewWitness(k.nameLocked(), k.settings.Timing)
}

// nameLocked returns the member's name in the current epoch. The caller holds
// k.mu.
func (k *Keeper) nameLocked() string {
	if k.epoch == 1 {
		return k.settings.Process
	}
	return fmt.Sprintf("%s~%d", k.settings.Process, k.epoch)
}

// Name returns the member's name. It changes when the lease is lost.
func (k *Keeper) Name() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nameLocked()
}

// Identity returns the member's name and its epoch.
func (k *Keeper) Identity() (name string, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nameLocked(), k.epoch
}

// Members returns the members as last read. They include this instance once its
// row has been read. While the lease can't be renewed in the table, members
// that don't answer probes count as silent.
func (k *Keeper) Members() []membership.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.membersLocked()
}

// membersLocked is Members for callers that hold k.mu.
func (k *Keeper) membersLocked() []membership.Member {
	members := k.watch.Members()
	now := time.Now()
	for i, m := range members {
		if m.Name != k.nameLocked() && k.reachability.unreachable(m.Name, now) {
			members[i].Silent = true
		}
	}
	return members
}

// Changed returns a channel that is signaled when the set of usable members has
// changed. It supports one receiver.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// Run renews the instance's row and tracks the other members until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.probes.Wait()
	group, ctx := errgroup.WithContext(ctx)
	period := k.settings.Timing.Heartbeat
	group.Go(func() error { return loop(ctx, pacer{period: period}, k.renewNow, k.renew) })
	group.Go(func() error { return loop(ctx, pacer{period: period, deadline: k.untilSilence}, k.readNow, k.refresh) })
	group.Go(func() error { return loop(ctx, pacer{period: listInterval}, nil, k.readListing) })
	group.Go(func() error { return loop(ctx, pacer{period: k.settings.Timing.WitnessLease / 4}, nil, k.probeMembers) })
	return group.Wait()
}

// untilSilence returns the time until the next member becomes silent unless it
// renews its row. Without such a member it returns the maximum duration.
func (k *Keeper) untilSilence() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.watch.NextSilence()
	if !ok {
		return math.MaxInt64
	}
	return max(minReadInterval, time.Until(at))
}

// loop calls f until ctx ends, with the waits that p returns, or sooner if
// woken.
func loop(ctx context.Context, p pacer, wake <-chan struct{}, f func(context.Context) error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-wake:
		}
		err := f(ctx)
		timer.Reset(p.next(err != nil))
	}
}

// signal wakes a loop. It does nothing if a wakeup is already pending.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// publishLease passes the end of the lease to the listener. The caller holds
// k.mu.
func (k *Keeper) publishLease() {
	if !k.removed {
		k.listener.SetLease(k.lease.ValidUntil(), k.epoch)
	}
}
