package shift

import (
	"sync"
	"sync/atomic"
	"time"
)

// blindPicks is how many requests the new version must have got, without any
// outcome, for its measurements to count as stopped.
const blindPicks = 20

// plan is how requests are dealt out until the next tick.
type plan struct {
	meter *Meter
	// until is when the plan lapses: an instance that was paused must look
	// again before it sends to the new version. Zero means never.
	until time.Time
	// span counts the changes of the share so far, the last at since.
	span  uint64
	since time.Time
}

// spanOf returns the span in which a request was sent. Requests from before the
// last change are taken together.
func (p *plan) spanOf(sent time.Time) uint64 {
	if sent.Before(p.since) {
		return p.span - 1
	}
	return p.span
}

// Controller carries one shift at one instance. Choose and Record may be called
// by many goroutines and take no common lock.
type Controller struct {
	cfg       Config
	began     time.Time
	seed      uint64
	epochs    epochs
	collector *collector
	plan      atomic.Pointer[plan]
	picked    atomic.Uint64

	mu sync.Mutex
	follower
	judge    *judge
	sources  map[string]*source
	sequence uint64
	// peerTallies is the evidence of all peers; fleet judges it with the own.
	peerTallies map[Scope]*Tally
	peerDrifts  map[Scope]*float64
	drifts      map[Scope]*drift
	fleet       map[Scope]*detector
	ordered     scopeOrder
	progress    map[string]*Progress
	// pickedAtStep and pickedAtLast are picked's values when the step began
	// and when the last outcome of the new version arrived, at lastNew.
	pickedAtStep, pickedAtLast uint64
	lastNew                    time.Time
	blind                      bool
	// warmShare is the highest share so far: a rise beyond it meets cold
	// caches.
	warmShare Share
}

// New returns the controller of a shift at the instance self. Errors:
// *ConfigError.
func New(cfg Config, self string, now time.Time) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{
		cfg:         cfg,
		follower:    newFollower(self, &cfg.Tuning),
		began:       now,
		seed:        seedOf(self, cfg.Name),
		epochs:      newEpochs(cfg.Start, cfg.Deadline.Add(cfg.WatchPeriod)),
		collector:   newCollector(),
		judge:       newJudge(),
		sources:     make(map[string]*source),
		peerTallies: make(map[Scope]*Tally),
		peerDrifts:  make(map[Scope]*float64),
		drifts:      make(map[Scope]*drift),
		fleet:       make(map[Scope]*detector),
		progress:    make(map[string]*Progress),
		lastNew:     now,
	}
	c.plan.Store(&plan{meter: NewMeter(0, c.seed), span: 1, since: now})
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
	if !p.until.IsZero() && now.After(p.until) {
		return false
	}
	if !p.meter.ChooseNew() {
		return false
	}
	c.picked.Add(1)
	return true
}

// RecordOutcome takes the outcome of a request to either version.
func (c *Controller) RecordOutcome(o Outcome) { c.collector.record(&o, c.plan.Load().spanOf(o.Sent)) }

// SetLiveInstances tells which instances the platform lists as live, this one
// included.
func (c *Controller) SetLiveInstances(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = names
}

// ObserveRecord takes the table's record as read at now; a missing row has version 0.
func (c *Controller) ObserveRecord(now time.Time, row Record, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeRow(now, row, version)
	c.adopt(now, row)
	c.steer(now)
}

// Tick judges the outcomes since the last tick and acts on the time. It reports
// whether the peers should be told at once, since the new version was taken
// back or fell under suspicion by this very call.
func (c *Controller) Tick(now time.Time) (urgent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, suspected := c.view.Phase, c.judge.suspicion.on
	c.takeOutcomes(now)
	c.judge.compareRipe(now)
	c.checkEvidence(now)
	c.checkDeadline(now)
	c.steer(now)
	newlySuspected := c.judge.suspicion.on && !suspected
	return newlySuspected || c.view.Phase == RolledBack && before != RolledBack
}

// takeOutcomes moves the collected outcomes to the judge.
func (c *Controller) takeOutcomes(now time.Time) {
	for _, counted := range c.collector.take() {
		c.judge.add(now, counted.key, counted.cell)
		if counted.key.fresh {
			c.lastNew = now
			c.pickedAtLast = c.picked.Load()
		}
		c.countProgress(now, counted)
	}
	missing := c.picked.Load() - c.pickedAtLast
	c.blind = missing >= blindPicks && now.Sub(c.lastNew) >= c.cfg.OutcomeTimeout
}

// countProgress counts outcomes towards the present stage, once caches had time
// to fill.
func (c *Controller) countProgress(now time.Time, counted counted) {
	if now.Before(c.judge.warmUntil) {
		return
	}
	p := entry(c.progress, counted.key.route)
	p.Route = counted.key.route
	if counted.key.fresh {
		p.New.add(counted.cell.requests)
		return
	}
	p.Old.add(counted.cell.requests)
}

// adopt moves the view up to r if r stands higher.
func (c *Controller) adopt(now time.Time, r Record) {
	if !c.rise(r) {
		return
	}
	clear(c.progress)
	c.pickedAtStep = c.picked.Load()
	c.pickedAtLast = c.pickedAtStep
	c.lastNew = now
}

// takeBack moves the view to taken back.
func (c *Controller) takeBack(now time.Time, cause Cause, scope Scope, detail string) {
	c.adopt(now, c.takenBack(now, cause, scope, detail))
}

// deadline is when this instance acts on the deadline: early enough that it is
// not late by true time.
func (c *Controller) deadline() time.Time { return c.cfg.Deadline.Add(-c.cfg.ClockSkew) }

// checkDeadline takes the shift back if it is not complete in time. An instance
// that is out of touch serves the old version but leaves the outcome open: the
// fleet may have completed without it.
func (c *Controller) checkDeadline(now time.Time) {
	if !c.overdue(now, c.cfg.Deadline) {
		return
	}
	c.takeBack(now, CauseDeadline, Scope{}, "not complete by the deadline")
}

// share returns the share of the new version at now.
func (c *Controller) share(now time.Time) Share {
	switch c.view.Phase {
	case Running:
		if !c.inTouch(now) || !now.Before(c.deadline()) {
			return 0
		}
		return c.lowered(now, c.stage().Cap)
	case Watching:
		return c.lowered(now, FullShare)
	case Done:
		return FullShare
	default:
		return 0
	}
}

// lowered returns the share left by doubts about the new version.
func (c *Controller) lowered(now time.Time, limit Share) Share {
	if c.blind {
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
	if c.judge.suspicion.on {
		return true
	}
	for name, from := range c.sources {
		if from.summary.Suspected && c.heardFrom(now, name) {
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

// steer makes the plan for requests that arrive from now on.
func (c *Controller) steer(now time.Time) {
	share := c.share(now)
	present := c.plan.Load()
	next := &plan{meter: present.meter, span: present.span, since: present.since}
	if present.meter.Share() != share {
		next.meter = NewMeter(share, c.seed)
		next.span++
		next.since = now
	}
	if share > c.warmShare {
		c.judge.warmUntil = now.Add(c.cfg.WarmUp)
		c.warmShare = share
	}
	c.judge.drifting = share > suspectShare && c.view.Phase != Done
	if c.view.Phase == Running || c.view.Phase == Watching {
		next.until = now.Add(c.cfg.ContactTimeout)
	}
	if c.view.Phase == Running && next.until.After(c.deadline()) {
		next.until = c.deadline()
	}
	c.plan.Store(next)
}
