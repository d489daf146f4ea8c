package gateway

import (
	"context"
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

// rollouts carries out the operators' orders to roll services out to new
// versions.
type rollouts struct {
	store       registry.Store
	codec       Codec
	isLeader    func() bool // whether this instance records starts, completions and expiries
	notifyPeers func()      // syncs with the other instances at once
	knownSize   func() int  // how many instances, including this one, may be running; 0 if unknown
	// versionReachedAt returns a time by which the store had reached a version,
	// or the zero time if unknown.
	versionReachedAt func(registry.Version) time.Time
	now              func() time.Time
	// recordDelay is how long an instance that is not the leader waits before it
	// records a rollback, so that not all instances record it at the same time.
	recordDelay func() time.Duration
	log         logrus.FieldLogger

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

// newRollouts returns rollouts without orders. newMesh sets isLeader, notifyPeers
// and knownSize.
func newRollouts(adapters Adapters, log *logrus.Logger) *rollouts {
	return &rollouts{
		store:            adapters.Store,
		codec:            adapters.Codec,
		isLeader:         func() bool { return false },
		notifyPeers:      func() {},
		knownSize:        func() int { return 0 },
		versionReachedAt: func(registry.Version) time.Time { return time.Time{} },
		now:              time.Now,
		recordDelay:      func() time.Duration { return 0 },
		log:              log.WithField("prefix", "moves"),
		active:           make(map[string]*rollout.Rollout),
		records:          make(map[string]catalog.RolloutRecord),
		startRead:        make(map[string]uint64),
		haltedAt:         make(map[*rollout.Rollout]time.Time),
	}
}

// setOrders sets the orders in force. era is the store's era in which they were
// read.
func (r *rollouts) setOrders(now time.Time, orders map[string]catalog.RolloutOrder, era uint64) {
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
func (r *rollouts) rebase(ro *rollout.Rollout, order catalog.RolloutOrder) {
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

// rolloutAttempt is an attempt that is observed for a rollout. Without a rollout,
// nothing is recorded.
type rolloutAttempt struct {
	rollouts *rollouts
	rollout  *rollout.Rollout // nil without a rollout
	attempt  *rollout.Attempt
}

// startAttempt records the start of an attempt at a service's endpoint.
func (r *rollouts) startAttempt(service string, now time.Time, c *placing.Choice) *rolloutAttempt {
	a := &rolloutAttempt{rollouts: r, rollout: r.get(service)}
	if a.rollout != nil {
		a.attempt = a.rollout.StartAttempt(now, c.Endpoint.Version, c.Nominal)
	}
	return a
}

// end records that the attempt has ended; settle or discard follows.
func (a *rolloutAttempt) end() {
	if a.rollout != nil {
		a.rollout.EndAttempt(time.Now(), a.attempt)
	}
}

// settle records the outcome of the attempt. A failure of the new version is
// reported to the peers at once.
func (a *rolloutAttempt) settle(outcome rollout.Outcome, slowness float64) {
	if a.rollout == nil {
		return
	}
	a.rollout.SettleAttempt(time.Now(), a.attempt, outcome, slowness)
	if outcome.Failed() && a.attempt.IsNew() && a.rollout.Result() == catalog.RolloutRunning {
		a.rollouts.notifyPeers()
	}
}

// discard records that the outcome of the attempt says nothing about its version.
func (a *rolloutAttempt) discard() {
	if a.rollout != nil {
		a.rollout.DiscardAttempt(a.attempt)
	}
}

// get returns the rollout of a service, or nil.
func (r *rollouts) get(service string) *rollout.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[service]
}

// versionReason is why an attempt goes to its version.
type versionReason string

const (
	// versionAny means that no rollout restricts the versions.
	versionAny versionReason = "any"
	// versionByShare means that the rollout's share chose the version.
	versionByShare versionReason = "share"
	// versionFallback means that the preferred version had no endpoint with
	// headroom.
	versionFallback versionReason = "fallback"
	// versionByResult means that the rollout has ended with this version.
	versionByResult versionReason = "result"
)

// versionFilter selects versions.
type versionFilter struct {
	accepts func(string) bool // nil selects all
	reason  versionReason
	// shareOf is the rollout whose share bounds these attempts, or nil.
	shareOf *rollout.Rollout
}

// versionPreference says which versions of a service one attempt may use.
type versionPreference struct {
	// filters select versions, the preferred ones first.
	filters []versionFilter
	// noFallback stops an attempt for which the first filter's endpoints have
	// no headroom from using the next filter.
	noFallback bool
}

// preferredVersions returns the versions for one attempt. firstAttempt is false
// for a retry.
func (r *rollouts) preferredVersions(service string, now time.Time, firstAttempt bool) versionPreference {
	r.mu.Lock()
	ro, record, recordsLoaded := r.active[service], r.records[service], r.recordsLoaded
	r.mu.Unlock()
	to, result := record.To, record.Result
	if ro != nil {
		to, result = ro.Order().To, ro.Result()
	}
	isNew := func(v string) bool { return v == to }
	isOld := func(v string) bool { return v != to }
	newFirst := []versionFilter{{accepts: isNew, reason: versionByShare}, {accepts: isOld, reason: versionFallback}}
	oldFirst := []versionFilter{{accepts: isOld, reason: versionByShare}, {accepts: isNew, reason: versionFallback, shareOf: ro}}
	switch {
	case result == catalog.RolloutRolledBack:
		return versionPreference{filters: []versionFilter{{accepts: isOld, reason: versionByResult}}}
	case result == catalog.RolloutCompleted:
		return versionPreference{filters: []versionFilter{{accepts: isNew, reason: versionByResult}, {reason: versionFallback}}}
	case ro == nil:
		return versionPreference{filters: []versionFilter{{reason: versionAny}}}
	case recordsLoaded && ro.DrainingOld(now):
		// Old endpoints only finish the requests that run there.
		return versionPreference{filters: newFirst, noFallback: true}
	case recordsLoaded && firstAttempt && ro.UseNewVersion(now):
		return versionPreference{filters: newFirst}
	}
	return versionPreference{filters: oldFirst}
}

// Run evaluates the rollouts and records results until ctx ends. Recording
// blocks on the store; evaluating does not.
func (r *rollouts) Run(ctx context.Context) error {
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
func (r *rollouts) haltWorseVersions(now time.Time) {
	logDue := now.Sub(r.evidenceLoggedAt) >= logEvidenceInterval
	if logDue {
		r.evidenceLoggedAt = now
	}
	for service, ro := range r.pending() {
		if ro.Result() != catalog.RolloutRunning {
			continue
		}
		ro.SetFleet(r.knownSize())
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

// localReports returns this instance's reports on the rollouts in progress.
func (r *rollouts) localReports(now time.Time) []rolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []rolloutReport
	for service, ro := range r.active {
		if !r.isPending(service, ro) {
			continue
		}
		reports = append(reports, rolloutReport{
			Service: service, Era: ro.Order().Era, Revision: ro.Order().Revision, AgeMS: now.Sub(ro.StartTime()).Milliseconds(),
			Result: ro.Result(), Evidence: ro.LocalEvidence(now),
		})
	}
	return reports
}

// receiveReports applies the reports of another instance, or the sum of several
// that were made at measuredAt or later. Their ages are at most those at the time
// of sending.
func (r *rollouts) receiveReports(instance string, reports []rolloutReport, measuredAt, now time.Time) {
	for _, reported := range reports {
		ro := r.get(reported.Service)
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

// peerStopped records that an instance was removed from the fleet.
func (r *rollouts) peerStopped(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.active {
		ro.PeerStopped(instance)
	}
}

// removePeer removes an instance's evidence, which its region's summary now
// contains.
func (r *rollouts) removePeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.active {
		ro.RemovePeer(instance)
	}
}
