// Package rollouts carries out, at one instance, the operators' orders to roll
// services out to new versions: it chooses the versions that an attempt may use,
// passes the outcomes of attempts to the evidence on the versions, exchanges that
// evidence with the other instances, and keeps the results of rollouts on record
// in the shared store. The decisions are those of steer/rollout.
package rollouts

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/rollout"
)

// evaluateInterval is the time between two evaluations of the rollouts. A worse
// version gets requests until the next one.
const evaluateInterval = 100 * time.Millisecond

// logEvidenceInterval is the time between two log lines on the evidence of a
// rollout in progress.
const logEvidenceInterval = time.Second

// Store is the part of the shared store that rollouts use.
type Store interface {
	// Read returns a consistent snapshot of all rows of a table.
	Read(ctx context.Context, table string) (registry.Batch, error)
	// Write applies a change if its conditions hold. Its errors are those of
	// registry.Store.
	Write(ctx context.Context, c registry.Change) (uint64, error)
}

// Codec decodes and encodes the rows of rollout records. Errors in a list concern
// single rows; the other rows are decoded all the same.
type Codec interface {
	// Tables returns the names of the tables of operators, endpoints and
	// rollout records.
	Tables() (operator, endpoints, records string)
	// RolloutRecords returns the recorded results of rollouts, by service.
	RolloutRecords(rows map[string]registry.Row) (map[string]catalog.RolloutRecord, []error)
	// EncodeRolloutRecord returns the row that records a rollout's result.
	EncodeRolloutRecord(service string, record catalog.RolloutRecord) (key string, value []byte, err error)
}

// Fleet is what rollouts ask of the exchange with the other instances.
type Fleet struct {
	// IsLeader reports whether this instance records starts, completions and
	// expiries.
	IsLeader func() bool
	// NotifyPeers syncs with the other instances at once.
	NotifyPeers func()
	// KnownSize returns how many instances, including this one, may be running, or
	// 0 if unknown.
	KnownSize func() int
	// RecordDelay returns how long an instance that is not the leader waits before
	// it records a rollback, so that not all instances record it at the same time.
	RecordDelay func() time.Duration
}

// Rollouts carries out the operators' orders to roll services out to new
// versions. It is safe for concurrent use.
type Rollouts struct {
	store Store
	codec Codec
	fleet Fleet
	// versionReachedAt returns a time by which the store had reached a version,
	// or the zero time if unknown.
	versionReachedAt func(registry.Version) time.Time
	now              func() time.Time
	log              logrus.FieldLogger

	mu            sync.Mutex
	active        map[string]*rollout.Rollout
	records       map[string]catalog.RolloutRecord
	recordsLoaded bool                           // records have been read at least once
	recordsEra    uint64                         // the store's era of the last read
	ordersEra     uint64                         // the latest era of the operators' table
	lastRead      time.Time                      // when records were last read
	clock         clockReading                   // of the last read of the records
	haltedAt      map[*rollout.Rollout]time.Time // when the rollback was first seen to be not on record
	// evidenceLoggedAt is when the evidence was last logged. Only Run's evaluation
	// uses it.
	evidenceLoggedAt time.Time
	startRead        map[string]uint64 // revisions of the orders whose start time was read, by service
}

// New returns rollouts without orders, of an instance that knows no others.
func New(s Store, c Codec, log *logrus.Logger) *Rollouts {
	return &Rollouts{
		store: s,
		codec: c,
		fleet: Fleet{
			IsLeader:    func() bool { return false },
			NotifyPeers: func() {},
			KnownSize:   func() int { return 0 },
			RecordDelay: func() time.Duration { return 0 },
		},
		versionReachedAt: func(registry.Version) time.Time { return time.Time{} },
		now:              time.Now,
		log:              log.WithField("prefix", "moves"),
		active:           make(map[string]*rollout.Rollout),
		records:          make(map[string]catalog.RolloutRecord),
		startRead:        make(map[string]uint64),
		haltedAt:         make(map[*rollout.Rollout]time.Time),
	}
}

// SetFleet replaces the functions of the exchange with the other instances. It
// must not be called after Run or the first attempt.
func (r *Rollouts) SetFleet(f Fleet) { r.fleet = f }

// SetStore replaces the store. It must not be called after Run.
func (r *Rollouts) SetStore(s Store) { r.store = s }

// SetVersionReachedAt sets the function that returns a time by which the store had
// reached a version, or the zero time if unknown. It must not be called after the
// first SetOrders.
func (r *Rollouts) SetVersionReachedAt(f func(registry.Version) time.Time) { r.versionReachedAt = f }

// SetOrders sets the orders in force. era is the store's era in which they were
// read.
func (r *Rollouts) SetOrders(now time.Time, orders map[string]catalog.RolloutOrder, era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordersEra = max(r.ordersEra, era)
	for service, order := range orders {
		known := r.active[service]
		if known != nil && isSameRow(known.Order(), order) {
			continue
		}
		if known != nil && known.Order().IsRewrittenAs(order) {
			r.rebase(known, order)
			continue
		}
		ro := rollout.New(order, now)
		if at := r.versionReachedAt(registry.Version{Era: order.Era, Revision: order.Revision}); !at.IsZero() {
			ro.ObserveStart(at)
		}
		delete(r.haltedAt, known)
		r.active[service] = ro
		r.log.WithFields(logrus.Fields{
			"service": service, "to": order.To, "duration": order.Duration.String(), "revision": order.Revision,
			"age_ms": now.Sub(ro.StartTime()).Milliseconds(),
		}).Info("Rollout ordered.")
		r.applyRecord(ro)
	}
	for service := range r.active {
		if _, ok := orders[service]; !ok {
			delete(r.haltedAt, r.active[service])
			delete(r.active, service)
		}
	}
}

// isSameRow reports whether two orders were read from the same version of a row.
func isSameRow(a, b catalog.RolloutOrder) bool {
	return a.Era == b.Era && a.Revision == b.Revision
}

// rebase continues a rollout whose order was read again after a restore of the
// store. The caller holds mu.
func (r *Rollouts) rebase(ro *rollout.Rollout, order catalog.RolloutOrder) {
	previous := ro.Order()
	if r.startRead[order.Service] == previous.Revision {
		r.startRead[order.Service] = order.Revision
	}
	ro.Rebase(order)
	r.log.WithFields(logrus.Fields{
		"service": order.Service, "to": order.To, "result": ro.Result().String(), "revision": order.Revision,
		"previous_revision": previous.Revision, "era": order.Era,
	}).Warn("Rollout continues after a restore of the store.")
	r.applyRecord(ro)
}

// Attempt is an attempt that is observed for a rollout. Without a rollout,
// nothing is recorded.
type Attempt struct {
	rollouts *Rollouts
	rollout  *rollout.Rollout // nil without a rollout
	attempt  *rollout.Attempt
}

// StartAttempt records the start of an attempt at a service's endpoint.
func (r *Rollouts) StartAttempt(service string, now time.Time, c *placing.Choice) *Attempt {
	a := &Attempt{rollouts: r, rollout: r.Get(service)}
	if a.rollout != nil {
		a.attempt = a.rollout.StartAttempt(now, c.Endpoint.Version, c.Nominal)
	}
	return a
}

// End records that the attempt has ended; Settle or Discard follows.
func (a *Attempt) End() {
	if a.rollout != nil {
		a.rollout.EndAttempt(time.Now(), a.attempt)
	}
}

// Settle records the outcome of the attempt. A failure of the new version is
// reported to the peers at once.
func (a *Attempt) Settle(outcome rollout.Outcome, slowness float64) {
	if a.rollout == nil {
		return
	}
	a.rollout.SettleAttempt(time.Now(), a.attempt, outcome, slowness)
	if outcome.Failed() && a.attempt.IsNew() && a.rollout.Result() == catalog.RolloutRunning {
		a.rollouts.fleet.NotifyPeers()
	}
}

// Discard records that the outcome of the attempt says nothing about its version.
func (a *Attempt) Discard() {
	if a.rollout != nil {
		a.rollout.DiscardAttempt(a.attempt)
	}
}

// Get returns the rollout of a service, or nil.
func (r *Rollouts) Get(service string) *rollout.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[service]
}

// Reason is why an attempt goes to its version.
type Reason string

const (
	// ReasonAny means that no rollout restricts the versions.
	ReasonAny Reason = "any"
	// ReasonShare means that the rollout's share chose the version.
	ReasonShare Reason = "share"
	// ReasonFallback means that the preferred version had no endpoint with
	// headroom.
	ReasonFallback Reason = "fallback"
	// ReasonResult means that the rollout has ended with this version.
	ReasonResult Reason = "result"
)

// Filter selects versions.
type Filter struct {
	// Accepts reports whether a version is selected; nil selects all.
	Accepts func(version string) bool
	// Reason is why these versions are used.
	Reason Reason
	// ShareOf is the rollout whose share bounds these attempts, or nil.
	ShareOf *rollout.Rollout
}

// Preference says which versions of a service one attempt may use.
type Preference struct {
	// Filters select versions, the preferred ones first.
	Filters []Filter
	// NoFallback stops an attempt for which the first filter's endpoints have
	// no headroom from using the next filter.
	NoFallback bool
}

// PreferredVersions returns the versions for one attempt. firstAttempt is false
// for a retry.
func (r *Rollouts) PreferredVersions(service string, now time.Time, firstAttempt bool) Preference {
	r.mu.Lock()
	ro, record, recordsLoaded := r.active[service], r.records[service], r.recordsLoaded
	r.mu.Unlock()
	to, result := record.To, record.Result
	if ro != nil {
		to, result = ro.Order().To, ro.Result()
	}
	isNew := func(v string) bool { return v == to }
	isOld := func(v string) bool { return v != to }
	newFirst := []Filter{{Accepts: isNew, Reason: ReasonShare}, {Accepts: isOld, Reason: ReasonFallback}}
	oldFirst := []Filter{{Accepts: isOld, Reason: ReasonShare}, {Accepts: isNew, Reason: ReasonFallback, ShareOf: ro}}
	switch {
	case result == catalog.RolloutRolledBack:
		return Preference{Filters: []Filter{{Accepts: isOld, Reason: ReasonResult}}}
	case result == catalog.RolloutCompleted:
		return Preference{Filters: []Filter{{Accepts: isNew, Reason: ReasonResult}, {Reason: ReasonFallback}}}
	case ro == nil:
		return Preference{Filters: []Filter{{Reason: ReasonAny}}}
	case recordsLoaded && ro.DrainingOld(now):
		// Old endpoints only finish the requests that run there.
		return Preference{Filters: newFirst, NoFallback: true}
	case recordsLoaded && firstAttempt && ro.UseNewVersion(now):
		return Preference{Filters: newFirst}
	}
	return Preference{Filters: oldFirst}
}

// Run evaluates the rollouts and records results until ctx ends. Recording
// blocks on the store; evaluating does not.
func (r *Rollouts) Run(ctx context.Context) error {
	var recorder sync.WaitGroup
	recorder.Go(func() { runEvery(ctx, evaluateInterval, func(now time.Time) { r.syncRecords(ctx, now) }) })
	runEvery(ctx, evaluateInterval, r.haltWorseVersions)
	recorder.Wait()
	return nil
}

// runEvery calls f at each tick until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// haltWorseVersions halts rollouts whose new version is worse than the old one.
func (r *Rollouts) haltWorseVersions(now time.Time) {
	logDue := now.Sub(r.evidenceLoggedAt) >= logEvidenceInterval
	if logDue {
		r.evidenceLoggedAt = now
	}
	for service, ro := range r.pending() {
		if ro.Result() != catalog.RolloutRunning {
			continue
		}
		ro.SetFleet(r.fleet.KnownSize())
		evaluation := ro.Evaluate(now)
		log := r.log.WithFields(evidenceFields(evaluation)).WithFields(logrus.Fields{
			"service": service, "to": ro.Order().To, "age_ms": now.Sub(ro.StartTime()).Milliseconds(),
		})
		switch {
		case evaluation.Worse:
			ro.Halt()
			log.Warn("New version is worse, rollout halted.")
		case logDue:
			log.Info("Rollout evaluated.")
		}
	}
}

// evidenceFields returns the log fields of the evidence on a rollout.
func evidenceFields(e rollout.Evaluation) logrus.Fields {
	return logrus.Fields{
		"old": e.Evidence.Old, "new": e.Evidence.New,
		"new_sent": e.Evidence.NewSent, "new_running": e.Evidence.NewRunning, "old_running": e.Evidence.OldRunning,
		"old_judged": e.Evidence.OldJudged, "new_judged": e.Evidence.NewJudged,
		"suspicion": hundredths(e.Suspicion), "ramp_suspicion": hundredths(e.RampSuspicion),
	}
}

// hundredths rounds a number for a log line.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// Report is an instance's evidence on a rollout, as sent to other instances.
type Report struct {
	// Service names the rollout's service.
	Service string `json:"s"`
	// Era and Revision identify the order.
	Era      uint64 `json:"c,omitempty"`
	Revision uint64 `json:"r"`
	// AgeMS is the time since the rollout's start, in milliseconds.
	AgeMS int64 `json:"a"`
	// Result is the result that the instance knows.
	Result catalog.RolloutResult `json:"x,omitempty"`
	// Evidence is what the instance has observed.
	Evidence rollout.Evidence `json:"e"`
}

// LocalReports returns this instance's reports on the rollouts in progress.
func (r *Rollouts) LocalReports(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []Report
	for service, ro := range r.active {
		if !r.isPending(service, ro) {
			continue
		}
		reports = append(reports, Report{
			Service: service, Era: ro.Order().Era, Revision: ro.Order().Revision, AgeMS: now.Sub(ro.StartTime()).Milliseconds(),
			Result: ro.Result(), Evidence: ro.LocalEvidence(now),
		})
	}
	return reports
}

// ReceiveReports applies the reports of another instance, or the sum of several
// that were made at measuredAt or later. Their ages are at most those at the time
// of sending.
func (r *Rollouts) ReceiveReports(instance string, reports []Report, measuredAt, now time.Time) {
	for _, reported := range reports {
		ro := r.Get(reported.Service)
		if ro == nil || ro.Order().Era != reported.Era || ro.Order().Revision != reported.Revision {
			continue
		}
		ro.ObserveStart(now.Add(-time.Duration(reported.AgeMS) * time.Millisecond))
		ro.SetPeerEvidence(instance, reported.Evidence, measuredAt)
		switch reported.Result {
		case catalog.RolloutRolledBack:
			ro.Halt()
		case catalog.RolloutCompleted:
			// Only a recorded result is reported as completed. The record may be
			// lost by a restore of the store.
			ro.ApplyRecord(catalog.RolloutCompleted)
		case catalog.RolloutRunning:
		}
	}
}

// PeerStopped records that an instance was removed from the fleet.
func (r *Rollouts) PeerStopped(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.active {
		ro.PeerStopped(instance)
	}
}

// RemovePeer removes an instance's evidence, which its region's summary now
// contains.
func (r *Rollouts) RemovePeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.active {
		ro.RemovePeer(instance)
	}
}
