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

// Store is what a Keeper needs of the platform.
type Store interface {
	storage.Table
	storage.Instances
}

// LeaseListener is told of the instance's lease: what it holds may be used until then.
// It is called with the Keeper's lock held and must not call it back.
type LeaseListener interface {
	// SetLease sets the end of the lease on this instance's clock. Another
	// epoch means that the lease was lost in between.
	SetLease(until time.Time, epoch uint64)
	// Reset drops all that was held under a lost lease.
	Reset(now time.Time)
}

// Report is what the instance tells about itself in its row.
type Report struct {
	// Generation is the configuration in force.
	Generation uint64
	// Load is the part of the capacity in use, 0 to 1.
	Load float64
	// Demand lists the teams with requests at this instance.
	Demand []membership.TeamDemand
}

// Reporter gives the report for the next renewal.
type Reporter interface {
	Report(now time.Time) Report
}

// Keeper is the membership of one instance.
type Keeper struct {
	settings Settings
	store    Store
	peers    peer.Caller
	listener LeaseListener
	reporter Reporter
	log      logrus.FieldLogger
	meters   *Meters

	renewMu sync.Mutex     // held during a renewal
	probes  sync.WaitGroup // questions to witnesses that are under way

	mu           sync.Mutex
	epoch        uint64
	lease        *membership.Lease
	watch        *membership.Watch
	witness      *membership.Witness
	reachability peerReachability
	state        membership.State
	removed      bool // the row was taken away for good by this instance

	renewNow    chan struct{}
	readNow     chan struct{}
	usableNames []string // names of the usable members at the last read
	changed     chan struct{}
}

// NewKeeper returns a keeper that is not running.
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

// startEpoch begins a new epoch under a new name. The lock is held, but in
// NewKeeper.
func (k *Keeper) startEpoch() {
	k.epoch++
	k.listener.SetLease(time.Time{}, k.epoch)
	k.listener.Reset(time.Now())
	k.lease = membership.NewLease(k.settings.Timing)
	k.witness = membership.NewWitness(k.nameLocked(), k.settings.Timing)
}

// nameLocked returns the member's nameLocked in the present epoch.
func (k *Keeper) nameLocked() string {
	if k.epoch == 1 {
		return k.settings.Process
	}
	return fmt.Sprintf("%s~%d", k.settings.Process, k.epoch)
}

// Name returns the member's name; it changes when the lease is lost.
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

// Members returns the members as last read, this instance included once its
// row has been read. While the table is silent, those that answer nothing count
// as silent.
func (k *Keeper) Members() []membership.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.membersLocked()
}

// membersLocked returns the membersLocked as last read. While the table is silent, those
// that answer nothing count as silent too. The lock is held.
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

// Changed is signalled when the usable members have changed. It is meant for
// one receiver.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// Run keeps the row until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.probes.Wait()
	group, ctx := errgroup.WithContext(ctx)
	period := k.settings.Timing.Heartbeat
	group.Go(func() error { return runPeriodically(ctx, schedule{period: period}, k.renewNow, k.renew) })
	group.Go(func() error {
		return runPeriodically(ctx, schedule{period: period, untilDeadline: k.timeToNextSilence}, k.readNow, k.readAndEvict)
	})
	group.Go(func() error { return runPeriodically(ctx, schedule{period: listInterval}, nil, k.readListing) })
	group.Go(func() error {
		return runPeriodically(ctx, schedule{period: k.settings.Timing.WitnessLease / 4}, nil, k.probeMembers)
	})
	return group.Wait()
}

// timeToNextSilence returns the time until a row that is not renewed meanwhile goes
// silent; the longest one when there is none.
func (k *Keeper) timeToNextSilence() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.watch.NextSilence()
	if !ok {
		return math.MaxInt64
	}
	return max(minReadInterval, time.Until(at))
}

// runPeriodically calls f at the pace of p, or sooner when woken, until ctx ends.
func runPeriodically(ctx context.Context, s schedule, wake <-chan struct{}, f func(context.Context) error) error {
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
		timer.Reset(s.next(err != nil))
	}
}

// signal wakes a loop; a loop that is already to wake is left alone.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// publishLease passes the lease's end to the tenant. The lock is held.
func (k *Keeper) publishLease() {
	if !k.removed {
		k.listener.SetLease(k.lease.ValidUntil(), k.epoch)
	}
}
