package shift

import (
	"sync"
	"sync/atomic"
	"time"
)

// minSentWithoutOutcome is how many requests must have been sent to the new
// version without any outcome before its outcomes count as missing.
const minSentWithoutOutcome = 20

// plan determines how requests are split until the next tick.
type plan struct {
	meter *Meter
	// expiresAt is when the plan expires. An instance that was paused must
	// update its plan before it sends to the new version again. Zero means that
	// the plan does not expire.
	expiresAt time.Time
	// shareRevision counts the changes of the share so far; the last one was
	// made at changedAt.
	shareRevision uint64
	changedAt     time.Time
}

// revision returns the share revision for a request sent at the given time. All
// requests sent before the last change count towards the previous revision.
func (p *plan) revision(sent time.Time) uint64 {
	if sent.Before(p.changedAt) {
		return p.shareRevision - 1
	}
	return p.shareRevision
}

// Controller runs one shift on one instance. ChooseNew and RecordOutcome may be
// called concurrently and share no lock.
type Controller struct {
	cfg       Config
	startedAt time.Time
	seed      uint64
	epochs    epochs
	collector *collector
	plan      atomic.Pointer[plan]
	sentToNew atomic.Uint64

	mu sync.Mutex
	recordTracker
	judge    *judge
	peers    map[string]*peerState
	sequence uint64
	// peerTallies is the evidence of all peers. fleetDetectors track it
	// combined with the local evidence.
	peerTallies    map[Scope]*Tally
	peerDrifts     map[Scope]*float64
	drifts         map[Scope]*drift
	fleetDetectors map[Scope]*detector
	scopeCache     scopeCache
	progress       map[string]*Progress
	// sentAtStep and sentAtLastOutcome are the values of sentToNew when the
	// current step began and when the last outcome of the new version arrived,
	// at lastNewOutcome.
	sentAtStep, sentAtLastOutcome uint64
	lastNewOutcome                time.Time
	outcomesMissing               bool
	// highestShare is the highest share so far. A rise beyond it meets cold
	// caches.
	highestShare Share
}

// New returns the controller of a shift on the instance self. It returns a
// *ConfigError if the configuration is invalid.
func New(cfg Config, self string, now time.Time) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{
		cfg:            cfg,
		recordTracker:  newRecordTracker(self, &cfg.Tuning),
		startedAt:      now,
		seed:           seedOf(self, cfg.Name),
		epochs:         newEpochs(cfg.Start, cfg.Deadline.Add(cfg.WatchPeriod)),
		collector:      newCollector(),
		judge:          newJudge(),
		peers:          make(map[string]*peerState),
		peerTallies:    make(map[Scope]*Tally),
		peerDrifts:     make(map[Scope]*float64),
		drifts:         make(map[Scope]*drift),
		fleetDetectors: make(map[Scope]*detector),
		progress:       make(map[string]*Progress),
		lastNewOutcome: now,
	}
	c.plan.Store(&plan{meter: NewMeter(0, c.seed), shareRevision: 1, changedAt: now})
	return c, nil
}

// Config returns the configuration of the shift.
func (c *Controller) Config() Config { return c.cfg }

// Name returns the name of the shift.
func (c *Controller) Name() string { return c.cfg.Name }

// From returns the old version.
func (c *Controller) From() string { return c.cfg.From }

// To returns the new version.
func (c *Controller) To() string { return c.cfg.To }

// ChooseNew reports whether a request that arrives now goes to the new version.
// It is called once per request: retries go to the version chosen first or to
// the old one.
func (c *Controller) ChooseNew(now time.Time) bool {
	p := c.plan.Load()
	if !p.expiresAt.IsZero() && now.After(p.expiresAt) {
		return false
	}
	if !p.meter.ChooseNew() {
		return false
	}
	c.sentToNew.Add(1)
	return true
}

// RecordOutcome records the outcome of a request to either version.
func (c *Controller) RecordOutcome(o Outcome) { c.collector.record(&o, c.plan.Load().revision(o.Sent)) }

// SetLiveInstances sets the instances that the platform lists as live,
// including this one.
func (c *Controller) SetLiveInstances(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveInstances = names
}

// ObserveRecord processes the record as read from the platform's table at now.
// A missing row has version 0.
func (c *Controller) ObserveRecord(now time.Time, row Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeRow(now, row, version)
	c.adoptRecord(now, row)
	c.updatePlan(now)
}

// Tick processes the outcomes since the last tick and applies time limits. It
// reports whether to send a report to the peers immediately, because this call
// rolled back the new version or put it under suspicion.
func (c *Controller) Tick(now time.Time) (urgent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, suspected := c.view.Phase, c.judge.suspicion.active
	c.takeOutcomes(now)
	c.judge.compareDueBatches(now)
	c.checkEvidence(now)
	c.checkDeadline(now)
	c.updatePlan(now)
	newlySuspected := c.judge.suspicion.active && !suspected
	return newlySuspected || c.view.Phase == RolledBack && before != RolledBack
}

// takeOutcomes passes the collected outcomes to the judge.
func (c *Controller) takeOutcomes(now time.Time) {
	for _, keyed := range c.collector.takeCells() {
		c.judge.add(now, keyed.key, keyed.cell)
		if keyed.key.newVersion {
			c.lastNewOutcome = now
			c.sentAtLastOutcome = c.sentToNew.Load()
		}
		c.countProgress(now, keyed)
	}
	unanswered := c.sentToNew.Load() - c.sentAtLastOutcome
	c.outcomesMissing = unanswered >= minSentWithoutOutcome && now.Sub(c.lastNewOutcome) >= c.cfg.OutcomeTimeout
}

// countProgress counts outcomes towards the current stage. Outcomes in the
// warm-up period do not count.
func (c *Controller) countProgress(now time.Time, keyed keyedCell) {
	if now.Before(c.judge.warmUpEnds) {
		return
	}
	p := getOrCreate(c.progress, keyed.key.route)
	p.Route = keyed.key.route
	if keyed.key.newVersion {
		p.New.add(keyed.cell.requests)
		return
	}
	p.Old.add(keyed.cell.requests)
}

// adoptRecord updates the view to r if r supersedes it, and resets the counts
// of the step.
func (c *Controller) adoptRecord(now time.Time, r Record) {
	if !c.advanceView(r) {
		return
	}
	clear(c.progress)
	c.sentAtStep = c.sentToNew.Load()
	c.sentAtLastOutcome = c.sentAtStep
	c.lastNewOutcome = now
}

// rollBack changes the view to rolled back.
func (c *Controller) rollBack(now time.Time, cause Cause, scope Scope, detail string) {
	c.adoptRecord(now, c.rollbackRecord(now, cause, scope, detail))
}

// deadline returns the local time at which this instance acts on the deadline.
// It is earlier by the clock skew, so that the instance is never late in true
// time.
func (c *Controller) deadline() time.Time { return c.cfg.Deadline.Add(-c.cfg.ClockSkew) }

// checkDeadline rolls the shift back if it is not complete in time. An instance
// without contact serves the old version but leaves the outcome open, because
// the fleet may have completed the shift without it.
func (c *Controller) checkDeadline(now time.Time) {
	if !c.rollbackDue(now, c.cfg.Deadline) {
		return
	}
	c.rollBack(now, CauseDeadline, Scope{}, "not complete by the deadline")
}

// share returns the share of the new version at this instance.
func (c *Controller) share(now time.Time) Share {
	switch c.view.Phase {
	case Running:
		if !c.connected(now) || !now.Before(c.deadline()) {
			return 0
		}
		return c.reducedShare(now, c.stage().Cap)
	case Watching:
		return c.reducedShare(now, FullShare)
	case Done:
		return FullShare
	default:
		return 0
	}
}

// reducedShare returns limit, reduced while outcomes of the new version are
// missing or the version is suspected.
func (c *Controller) reducedShare(now time.Time, limit Share) Share {
	if c.outcomesMissing {
		limit = min(limit, c.cfg.Stages[0].Cap)
	}
	if c.suspected(now) {
		limit = min(limit, suspectShare)
	}
	return limit
}

// suspected reports whether this instance or a live peer suspects the new
// version.
func (c *Controller) suspected(now time.Time) bool {
	if c.judge.suspicion.active {
		return true
	}
	for name, peer := range c.peers {
		if peer.report.Suspected && c.reportedRecently(now, name) {
			return true
		}
	}
	return false
}

// stage returns the current stage. A record whose stage index exceeds the
// configured stages counts as the last stage.
func (c *Controller) stage() Stage {
	return c.cfg.Stages[min(c.view.Stage, len(c.cfg.Stages)-1)]
}

// updatePlan recomputes the plan for requests that arrive from now on.
func (c *Controller) updatePlan(now time.Time) {
	share := c.share(now)
	current := c.plan.Load()
	next := &plan{meter: current.meter, shareRevision: current.shareRevision, changedAt: current.changedAt}
	if current.meter.Share() != share {
		next.meter = NewMeter(share, c.seed)
		next.shareRevision++
		next.changedAt = now
	}
	if share > c.highestShare {
		c.judge.warmUpEnds = now.Add(c.cfg.WarmUp)
		c.highestShare = share
	}
	c.judge.driftEnabled = share > suspectShare && c.view.Phase != Done
	if c.view.Phase == Running || c.view.Phase == Watching {
		next.expiresAt = now.Add(c.cfg.ContactTimeout)
	}
	if c.view.Phase == Running && next.expiresAt.After(c.deadline()) {
		next.expiresAt = c.deadline()
	}
	c.plan.Store(next)
}
