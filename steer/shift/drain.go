package shift

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainParts is the number of equal parts in which a region's traffic moves.
	drainParts = 20
	// maxPartsPerStep bounds one step, since all that moves at once meets cold caches.
	maxPartsPerStep = drainParts / 4
)

// DrainConfig describes the drain of a region.
type DrainConfig struct {
	// Name names the drain's record.
	Name string
	// Region is the region to be emptied.
	Region string
	// Start is when traffic begins to move.
	Start time.Time
	// Deadline is when the region must be empty or the drain taken back.
	Deadline time.Time
	// StepInterval is the least time between two steps, in which the receivers'
	// caches fill and their headroom is measured anew.
	StepInterval time.Duration
	// HeadroomFraction is the part of the measured headroom that one step may take.
	HeadroomFraction float64
	Tuning
}

const (
	// DefaultStepInterval is the usual time between two steps of a drain.
	DefaultStepInterval = 10 * time.Second
	// DefaultHeadroomFraction is the usual part of the headroom that one step may take.
	DefaultHeadroomFraction = 0.5
)

// Headroom is what a drain has to fit into, as measured now. Amounts of one kind
// have one unit.
type Headroom struct {
	// Demand is the traffic that the region still gets.
	Demand float64
	// SpareCapacity is what the other regions can take on in addition.
	SpareCapacity float64
	// LinkDemand is the bytes a second that moving all of Demand adds to the
	// links to the other regions, and LinkSpareCapacity what these have left.
	LinkDemand, LinkSpareCapacity float64
	// MeasuredAt is when Room was measured; a zero Room is none.
	MeasuredAt time.Time
}

// Drain carries the drain of a region at one instance. It shares a shift's rules
// on who advances, the deadline and finality; its stage counts the parts moved.
type Drain struct {
	cfg DrainConfig

	mu sync.Mutex
	recordTracker
	headroom Headroom
	moved    atomic.Uint32
}

// NewDrain returns the drain of a region at the instance self.
func NewDrain(cfg DrainConfig, self string) *Drain {
	d := &Drain{cfg: cfg}
	d.recordTracker = newRecordTracker(self, &d.cfg.Tuning)
	return d
}

// Config returns the drain's description.
func (d *Drain) Config() DrainConfig { return d.cfg }

// SetLiveInstances tells which instances the platform lists as live.
func (d *Drain) SetLiveInstances(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.liveInstances = names
}

// SetHeadroom takes a measurement of the room elsewhere.
func (d *Drain) SetHeadroom(r Headroom) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.headroom = r
}

// ObserveRecord takes the table's record as read at now.
func (d *Drain) ObserveRecord(now time.Time, row Record, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeRow(now, row, version)
	d.advanceView(row)
	d.publishMovedShare()
}

// ReceivePeerRecord takes the record as a peer knows it.
func (d *Drain) ReceivePeerRecord(now time.Time, name string, r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReports[name] = now
	d.advanceView(r)
	d.publishMovedShare()
}

// Tick acts on the time.
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

// Moved returns the share of the region's requests that go elsewhere. It takes no
// lock.
func (d *Drain) Moved() Share { return Share(d.moved.Load()) }

// publishMovedShare publishes the share that moves.
func (d *Drain) publishMovedShare() { d.moved.Store(uint32(d.movedShare())) }

// movedShare returns the share of the region's requests that go elsewhere.
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

// next returns the record after the present one. A step takes as many parts as
// there is room for.
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

// partsThatFit returns how many partsThatFit of the region's traffic fit into the room now.
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

// waitsForHeadroom says what keeps traffic from moving; nothing when all has moved.
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

// DrainStatus is a drain as one instance sees it.
type DrainStatus struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
	Record   Record    `json:"record"`
	// Moved is the share of the region's requests that go elsewhere.
	Moved Share  `json:"moved"`
	Waits []Wait `json:"waits"`
}

// RecordKnown reports whether the store or a peer has told of the record, so that the
// instance does not act on ignorance.
func (d *Drain) RecordKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known()
}

// View returns the outcome as this instance knows it.
func (d *Drain) View() Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// Status returns the drain's state at now.
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
