package shift

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainParts is the number of equal parts in which a region's traffic
	// moves.
	drainParts = 20
	// maxPartsPerStep limits a step, because all traffic that moves at once
	// meets cold caches.
	maxPartsPerStep = drainParts / 4
)

// DrainConfig configures the drain of a region.
type DrainConfig struct {
	// Name is the name of the drain's record.
	Name string
	// Region is the region to drain.
	Region string
	// Start is when traffic begins to move.
	Start time.Time
	// Deadline is when the region must be empty or the drain is rolled back.
	Deadline time.Time
	// StepInterval is the minimum time between two steps. In this time the
	// receiving regions fill their caches and their headroom is measured again.
	StepInterval time.Duration
	// HeadroomFraction is the part of the measured headroom that one step may
	// use.
	HeadroomFraction float64
	Tuning
}

const (
	// DefaultStepInterval is the default time between two steps of a drain.
	DefaultStepInterval = 10 * time.Second
	// DefaultHeadroomFraction is the default part of the headroom that one step
	// may use.
	DefaultHeadroomFraction = 0.5
)

// Headroom is a measurement of the region's remaining traffic and of the
// capacity available to it elsewhere. Demand and SpareCapacity have the same
// unit.
type Headroom struct {
	// Demand is the traffic that the region still gets.
	Demand float64
	// SpareCapacity is the additional traffic that the other regions can take.
	SpareCapacity float64
	// LinkDemand is the bytes per second that moving all of Demand would add to
	// the links to the other regions. LinkSpareCapacity is the unused capacity
	// of these links.
	LinkDemand, LinkSpareCapacity float64
	// MeasuredAt is the time of the measurement. It is zero if there is none.
	MeasuredAt time.Time
}

// Drain runs the drain of a region on one instance. It shares the rules of a
// shift for the holder, the deadline and finality. The stage of its record is
// the number of parts moved.
type Drain struct {
	cfg DrainConfig

	mu sync.Mutex
	recordTracker
	headroom Headroom
	moved    atomic.Uint32
}

// NewDrain returns the drain of a region on the instance self.
func NewDrain(cfg DrainConfig, self string) *Drain {
	d := &Drain{cfg: cfg}
	d.recordTracker = newRecordTracker(self, &d.cfg.Tuning)
	return d
}

// Config returns the configuration of the drain.
func (d *Drain) Config() DrainConfig { return d.cfg }

// SetLiveInstances sets the instances that the platform lists as live.
func (d *Drain) SetLiveInstances(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.liveInstances = names
}

// SetHeadroom sets the latest measurement of the headroom elsewhere.
func (d *Drain) SetHeadroom(h Headroom) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.headroom = h
}

// ObserveRecord processes the record as read from the platform's table at now.
func (d *Drain) ObserveRecord(now time.Time, row Record, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeRow(now, row, version)
	d.advanceView(row)
	d.publishMovedShare()
}

// ReceivePeerRecord processes the record as known to a peer.
func (d *Drain) ReceivePeerRecord(now time.Time, name string, r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReports[name] = now
	d.advanceView(r)
	d.publishMovedShare()
}

// Tick rolls the drain back if its deadline has passed, and updates the moved
// share.
func (d *Drain) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rollbackDue(now, d.cfg.Deadline) {
		cause := CauseDeadline
		if d.waitsForHeadroom(now) != nil {
			cause = CauseHeadroom
		}
		detail := fmt.Sprintf("%s of the region's traffic had moved by the deadline", d.movedShare())
		d.advanceView(d.rollbackRecord(now, cause, Scope{}, detail))
	}
	d.publishMovedShare()
}

// Moved returns the share of the region's requests that go to other regions. It
// takes no lock.
func (d *Drain) Moved() Share { return Share(d.moved.Load()) }

// publishMovedShare stores the share for readers of Moved.
func (d *Drain) publishMovedShare() { d.moved.Store(uint32(d.movedShare())) }

// movedShare returns the share of the region's requests that go to other
// regions.
func (d *Drain) movedShare() Share {
	switch d.view.Phase {
	case Running:
		return Share(min(d.view.Stage, drainParts)) * FullShare / drainParts
	case Watching, Done:
		return FullShare
	default:
		return 0
	}
}

// Propose returns the write that this instance should try at now.
func (d *Drain) Propose(now time.Time) (Proposal, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.cfg.Start) && d.view.Phase != RolledBack {
		return Proposal{}, false
	}
	return d.proposal(now, func() (Record, bool) {
		return d.next(now), len(d.waits(now)) == 0
	})
}

// next returns the record that follows the current one. A step moves as many
// parts as fit into the headroom.
func (d *Drain) next(now time.Time) Record {
	r := d.row
	r.Since = now
	switch {
	case r.Phase == Pending:
		r.Phase = Running
	case r.Phase == Running && r.Stage < drainParts:
		r.Stage += d.partsThatFit()
	case r.Phase == Running:
		r.Phase = Watching
	default:
		r.Phase = Done
	}
	return r
}

// partsThatFit returns how many parts of the region's traffic the next step may
// move.
func (d *Drain) partsThatFit() int {
	left := drainParts - d.view.Stage
	parts := float64(left)
	if d.headroom.Demand > 0 {
		parts = min(parts, float64(left)*d.cfg.HeadroomFraction*d.headroom.SpareCapacity/d.headroom.Demand)
	}
	if d.headroom.LinkDemand > 0 {
		parts = min(parts, float64(left)*d.cfg.HeadroomFraction*d.headroom.LinkSpareCapacity/d.headroom.LinkDemand)
	}
	return max(min(int(parts), maxPartsPerStep), 0)
}

// waits returns what the next step waits for.
func (d *Drain) waits(now time.Time) []Wait {
	switch {
	case d.view.Settled():
		return nil
	case now.Before(d.cfg.Start):
		return []Wait{{WaitStart, "starts at " + d.cfg.Start.UTC().Format(time.RFC3339)}}
	case d.view.Phase == Running:
		all := d.waitsForStore(now)
		if left := d.cfg.StepInterval - now.Sub(d.view.Since); left > 0 {
			all = append(all, Wait{WaitHold, fmt.Sprintf("lasts %s longer", left.Round(time.Second))})
		}
		return append(all, d.waitsForHeadroom(now)...)
	default:
		return d.waitsForStore(now)
	}
}

// waitsForHeadroom returns a wait if missing or unknown headroom stops traffic
// from moving, and nothing once all traffic has moved.
func (d *Drain) waitsForHeadroom(now time.Time) []Wait {
	if d.view.Stage >= drainParts {
		return nil
	}
	if !d.withinContactTimeout(now, d.headroom.MeasuredAt) {
		return []Wait{{WaitHeadroom, "the other regions' headroom is not known"}}
	}
	if d.partsThatFit() == 0 {
		return []Wait{{WaitHeadroom, "the other regions or the links to them have no headroom"}}
	}
	return nil
}

// DrainStatus is the state of a drain as seen by one instance.
type DrainStatus struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
	Record   Record    `json:"record"`
	// Moved is the share of the region's requests that go to other regions.
	Moved Share  `json:"moved"`
	Waits []Wait `json:"waits"`
}

// RecordKnown reports whether the record was received from the store or from a
// peer. Without it the instance must not act.
func (d *Drain) RecordKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known()
}

// View returns the record as known to this instance.
func (d *Drain) View() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// Status returns the state of the drain at now.
func (d *Drain) Status(now time.Time) DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return DrainStatus{
		Name:     d.cfg.Name,
		Region:   d.cfg.Region,
		Instance: d.self,
		Deadline: d.cfg.Deadline,
		Record:   d.view,
		Moved:    d.movedShare(),
		Waits:    d.waits(now),
	}
}
