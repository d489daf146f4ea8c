package duties

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/duty"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// pruneInterval is the time between two removals of what is kept for instances that
// are gone.
const pruneInterval = 10 * time.Second

// Store is the part of registry.Store that the duties use. Reads come from the store
// itself, not from another instance.
type Store interface {
	Read(ctx context.Context, table string) (registry.Batch, error)
	Write(ctx context.Context, c registry.Change) (revision uint64, err error)
}

// Instance is what the duties need of their instance.
type Instance struct {
	// Name and Started are the name of the instance and the start number of its
	// process.
	Name    string
	Started int64
	// FailureDomain is where it runs.
	FailureDomain string
	// Store is the shared store, Platform takes the calls.
	Store    Store
	Platform Platform
	// Rank returns the instance's place by name among those that may hold a duty,
	// -1 if it is not among them.
	Rank func() int
	// Meter creates the metrics.
	Meter metric.Meter
	// Log takes the log lines.
	Log *logrus.Logger
}

// Runner performs the duties of one instance. A nil Runner performs none.
type Runner struct {
	performers []*performer
	usage      *usageDuty
	attempts   *attempts
	exchange   *exchange
	log        logrus.FieldLogger
}

// New returns the runner of the duties that the settings name, nil if they name none
// that is known. Errors: those of the meter.
func New(s Settings, i Instance) (*Runner, error) {
	if len(s.Names) == 0 {
		return nil, nil
	}
	r := &Runner{log: i.Log.WithField("prefix", "duties")}
	m, err := newMetrics(i.Meter)
	if err != nil {
		return nil, err
	}
	limit := newCallLimit(s.callsPerSecond())
	for _, name := range s.Names {
		kind, known := i.Platform.Kind(name)
		log := r.log.WithField("duty", string(kind))
		switch {
		case !known:
			r.log.WithField("duty", name).Error("Duty is unknown, it is not performed.")
		case kind == KindUsage && s.Usage.Window == 0:
			log.Error("The settings lack the window of the usage reports, the duty is not performed.")
		case kind == KindUsage && r.usage == nil:
			r.usage = newUsageDuty(s, usage.Source{Instance: i.Name, Started: i.Started, Domain: i.FailureDomain}, i.Platform, m, log)
			r.performers = append(r.performers, newPerformer(r.usage, s, i, limit, m, log))
		}
	}
	if len(r.performers) == 0 {
		return nil, nil
	}
	if r.usage != nil {
		r.attempts = newAttempts(s.Usage.window(), r.usage.count)
	}
	r.exchange = newExchange(r.performers, i.Started, r.log)
	return r, m.observe(r)
}

func newPerformer(d Duty, s Settings, i Instance, limit *callLimit, m *metrics, log logrus.FieldLogger) *performer {
	m.start(d.Kind())
	settings := duty.Settings{Holder: i.Name, Started: i.Started, RequireFence: s.FencesChecked, Lease: s.lease(), Interval: d.Interval()}
	return &performer{
		duty: d, settings: settings, address: s.Address, store: i.Store, rank: i.Rank, limit: limit, metrics: m, log: log,
		state: duty.New(duty.Now(time.Now()), settings),
	}
}

// Run performs the duties until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var performers sync.WaitGroup
	for _, p := range r.performers {
		performers.Go(func() { p.run(ctx) })
	}
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	counting := time.NewTicker(countInterval)
	defer counting.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-counting.C:
			if r.attempts != nil {
				r.attempts.countLong(now)
			}
		case now := <-ticker.C:
			r.exchange.prune(now)
			if r.usage != nil {
				r.usage.close(0)
			}
		}
	}
	performers.Wait()
	return nil
}

// StartAttempt starts an attempt of a team's request that an endpoint is expected to
// begin to run at a time. It returns nil if the attempt is not counted, as without a
// team. The caller ends it.
func (r *Runner) StartAttempt(begins time.Time, team string) *Attempt {
	if r == nil || r.attempts == nil || team == "" {
		return nil
	}
	return r.attempts.add(begins, team)
}

// Payload returns what is new for another instance, nil if nothing is.
func (r *Runner) Payload(now time.Time, to Peer) json.RawMessage {
	if r == nil {
		return nil
	}
	return r.exchange.build(now, to)
}

// Receive applies the payload of another instance.
func (r *Runner) Receive(now time.Time, from Peer, payload json.RawMessage) {
	if r == nil || len(payload) == 0 {
		return
	}
	if err := r.exchange.receive(now, from, payload); err != nil {
		r.log.WithError(err).WithField("instance", from.Name).Warn("Failed to read what another instance tells of the duties, it is ignored.")
	}
}

// Release gives up the duties soon, so that another instance takes over before this one
// stops. Without another instance they are kept until the end. It does not wait.
func (r *Runner) Release() {
	if r == nil || !r.exchange.hasSuccessor(time.Now()) {
		return
	}
	for _, p := range r.performers {
		p.leave()
	}
}

// Leave lets the last counts pass to the other instances without a pause.
func (r *Runner) Leave() {
	if r != nil {
		r.exchange.leave()
	}
}
