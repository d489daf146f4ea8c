package shift

import (
	"sync"
	"sync/atomic"
	"time"
)

// minSentWithoutOutcome is how many requests the new version must have got, without any
// outcome, for its measurements to count as stopped.
const minSentWithoutOutcome = 20

// plan is how requests are dealt out until the next tick.
type plan struct {
	meter *Meter
	// expiresAt is when the plan lapses: an instance that was paused must look
	// again before it sends to the new version. Zero means never.
	expiresAt time.Time
	// shareRevision counts the changes of the share so far, the last at since.
	shareRevision uint64
	changedAt     time.Time
}

// revision returns the span in which a request was sent. Requests from before the
// last change are taken together.
func (p *plan) revision(sent time.Time) uint64 {
	if sent.Before(p.changedAt) {
		return p.shareRevision - 1
	}
	return p.shareRevision
}

// Controller carries one shift at one instance. Choose and Record may be called
// by many goroutines and take no common lock.
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
	// peerTallies is the evidence of all peers; fleet judges it with the own.
	peerTallies    map[Scope]*Tally
	peerDrifts     map[Scope]*float64
	drifts         map[Scope]*drift
	fleetDetectors map[Scope]*detector
	scopeCache     scopeCache
	progress       map[string]*Progress
	// sentAtStep and sentAtLastOutcome are picked's values when the step began
	// and when the last outcome of the new version arrived, at lastNew.
	sentAtStep, sentAtLastOutcome uint64
	lastNewOutcome                time.Time
	outcomesMissing               bool
	// highestShare is the highest share so far: a rise beyond it meets cold
	// caches.
	highestShare Share
}

// New returns the controller of a shift at the instance self. Errors:
// *ConfigError.
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

// Config returns the shift's description.
func (c *Controller) Config() Config { return c.cfg }

// Name returns the shift's name.
func (c *Controller) Name() string { return c.cfg.Name }

// From returns the version that served before.
func (c *Controller) From() string { return c.cfg.From }

// To returns the new version.
func (c *Controller) To() string { return c.cfg.To }

// ChooseNew reports whether a request that arrives now goes to the new version.
// A request is dealt once: its retries go to the version chosen for it or to
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

// RecordOutcome takes the outcome of a request to either version.
func (c *Controller) RecordOutcome(o Outcome) { c.collector.record(&o, c.plan.Load().revision(o.Sent)) }

// SetLiveInstances tells which instances the platform lists as live, this one
// included.
func (c *Controller) SetLiveInstances(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveInstances = names
}

// ObserveRecord takes the table's record as read at now; a missing row has version 0.
func (c *Controller) ObserveRecord(now time.Time, row Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeRow(now, row, version)
	c.adoptRecord(now, row)
	c.updatePlan(now)
}

// Tick judges the outcomes since the last tick and acts on the time. It reports
// whether the peers should be told at once, since the new version was taken
// back or fell under suspicion by this very call.
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

// takeOutcomes moves the collected outcomes to the judge.
func (c *Controller) takeOutcomes(now time.Time) {
	for _, counted := range c.collector.takeCells() {
		c.judge.add(now, counted.key, counted.cell)
		if counted.key.newVersion {
			c.lastNewOutcome = now
			c.sentAtLastOutcome = c.sentToNew.Load()
		}
		c.countProgress(now, counted)
	}
	unanswered := c.sentToNew.Load() - c.sentAtLastOutcome
	c.outcomesMissing = unanswered >= minSentWithoutOutcome && now.Sub(c.lastNewOutcome) >= c.cfg.OutcomeTimeout
}

// countProgress counts outcomes towards the present stage, once caches had time
// to fill.
func (c *Controller) countProgress(now time.Time, counted keyedCell) {
	if now.Before(c.judge.warmUpEnds) {
		return
	}
	p := entry(c.progress, counted.key.route)
	p.Route = counted.key.route
	if counted.key.newVersion {
		p.New.add(counted.cell.requests)
		return
	}
	p.Old.add(counted.cell.requests)
}

// adoptRecord moves the view up to r if r stands higher.
func (c *Controller) adoptRecord(now time.Time, r Record) {
	if !c.advanceView(r) {
		return
	}
	clear(c.progress)
	c.sentAtStep = c.sentToNew.Load()
	c.sentAtLastOutcome = c.sentAtStep
	c.lastNewOutcome = now
}

// rollBack moves the view to taken back.
func (c *Controller) rollBack(now time.Time, cause Cause, scope Scope, detail string) {
	c.adoptRecord(now, c.rollbackRecord(now, cause, scope, detail))
}

// deadline is when this instance acts on the deadline: early enough that it is
// not late by true time.
func (c *Controller) deadline() time.Time { return c.cfg.Deadline.Add(-c.cfg.ClockSkew) }

// checkDeadline takes the shift back if it is not complete in time. An instance
// that is out of touch serves the old version but leaves the outcome open: the
// fleet may have completed without it.
func (c *Controller) checkDeadline(now time.Time) {
	if !c.rollbackDue(now, c.cfg.Deadline) {
		return
	}
	c.rollBack(now, CauseDeadline, Scope{}, "not complete by the deadline")
}

// share returns the share of the new version at now.
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

// reducedShare returns the share left by doubts about the new version.
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

// stage returns the present stage. A record of a longer list of stages counts
// as the last one.
func (c *Controller) stage() Stage {
	return c.cfg.Stages[min(c.view.Stage, len(c.cfg.Stages)-1)]
}

// updatePlan makes the plan for requests that arrive from now on.
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
