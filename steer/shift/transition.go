package shift

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// WaitKind is the kind of condition that a shift waits for.
type WaitKind string

// Kinds of conditions that a shift or drain may wait for.
const (
	WaitStart     WaitKind = "start"
	WaitHold      WaitKind = "hold"
	WaitWatch     WaitKind = "watch"
	WaitSamples   WaitKind = "samples"
	WaitOutcomes  WaitKind = "outcomes"
	WaitCompare   WaitKind = "comparison"
	WaitInstances WaitKind = "instances"
	WaitStore     WaitKind = "store"
	WaitHeadroom  WaitKind = "headroom"
)

// Wait is one condition that a shift waits for before its next step.
type Wait struct {
	Kind WaitKind `json:"kind"`
	// Detail is a description for operators.
	Detail string `json:"detail"`
}

// Propose returns the write that this instance should try at now. A write with
// an outdated version fails, so an instance that was paused while another one
// took over changes nothing.
func (c *Controller) Propose(now time.Time) (Proposal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.cfg.Start) && c.view.Phase != RolledBack {
		return Proposal{}, false
	}
	return c.proposal(now, func() (Record, bool) {
		return c.next(now), len(c.waits(now)) == 0
	})
}

// next returns the record that follows the current one.
func (c *Controller) next(now time.Time) Record {
	r := c.row
	r.Since = now
	switch {
	case r.Phase == Pending:
		r.Phase = Running
		r.Stage = 0
	case r.Phase == Running && r.Stage+1 < len(c.cfg.Stages):
		r.Stage++
	case r.Phase == Running:
		r.Phase = Watching
	default:
		r.Phase = Done
	}
	return r
}

// waits returns what the next step waits for, or nothing if it is due.
func (c *Controller) waits(now time.Time) []Wait {
	switch c.view.Phase {
	case Pending:
		if now.Before(c.cfg.Start) {
			return []Wait{{WaitStart, "starts at " + c.cfg.Start.UTC().Format(time.RFC3339)}}
		}
		return c.waitsForStore(now)
	case Running:
		all := c.waitsForTime(now, WaitHold, c.stage().Hold)
		all = append(all, c.waitsForEvidence(now)...)
		all = append(all, c.waitsForInstances(now)...)
		return append(all, c.waitsForStore(now)...)
	case Watching:
		all := c.waitsForTime(now, WaitWatch, c.cfg.WatchPeriod)
		all = append(all, c.waitsForNewVersion(now)...)
		return append(all, c.waitsForStore(now)...)
	default:
		return nil
	}
}

// waitsForTime returns a wait for the remaining time of the step.
func (c *Controller) waitsForTime(now time.Time, kind WaitKind, minTime time.Duration) []Wait {
	left := minTime - now.Sub(c.view.Since)
	if left <= 0 {
		return nil
	}
	return []Wait{{kind, fmt.Sprintf("lasts %s longer", left.Round(time.Second))}}
}

// waitsForNewVersion returns waits while outcomes of the new version are
// missing or the version is suspected.
func (c *Controller) waitsForNewVersion(now time.Time) []Wait {
	var all []Wait
	if c.outcomesMissingInFleet(now) {
		all = append(all, Wait{WaitOutcomes, "no outcomes of the new version arrive"})
	}
	if c.suspected(now) {
		all = append(all, Wait{WaitCompare, "the new version is suspected and compared at a lower share"})
	}
	return all
}

// waitsForEvidence returns waits for the outcomes that the stage still needs.
// Missing outcomes are not evidence: a route without them holds the stage.
func (c *Controller) waitsForEvidence(now time.Time) []Wait {
	all := c.waitsForNewVersion(now)
	progress := c.fleetProgress()
	share := float64(c.stage().Cap) / float64(FullShare)
	var newOutcomes, total uint64
	for _, route := range slices.Sorted(maps.Keys(progress)) {
		p := progress[route]
		newOutcomes += p.New.N
		total += p.New.N + p.Old.N
		expected := share * float64(p.New.N+p.Old.N)
		if p.New.N < c.cfg.MinRouteSamples && expected >= float64(2*c.cfg.MinRouteSamples) {
			all = append(all, Wait{WaitSamples, fmt.Sprintf("route %s has %d outcomes of the new version", route, p.New.N)})
		}
	}
	if newOutcomes < c.cfg.MinSamples {
		all = append(all, Wait{WaitSamples, fmt.Sprintf("%d of %d outcomes of the new version", newOutcomes, c.cfg.MinSamples)})
	}
	if c.stage().Cap <= suspectShare && total-newOutcomes < c.cfg.MinSamples {
		all = append(all, Wait{WaitSamples, fmt.Sprintf("%d of %d outcomes of the old version", total-newOutcomes, c.cfg.MinSamples)})
	}
	return all
}

// waitsForInstances returns waits for live instances that have not recently
// confirmed the current stage. Only the last stage needs them, because all
// instances must receive the completion.
func (c *Controller) waitsForInstances(now time.Time) []Wait {
	if c.view.Stage+1 < len(c.cfg.Stages) {
		return nil
	}
	var all []Wait
	for _, name := range c.liveInstances {
		if name == c.self {
			continue
		}
		if !c.reportedRecently(now, name) || c.peers[name] == nil || !c.peers[name].report.Record.sameStep(&c.view) {
			all = append(all, Wait{WaitInstances, "instance " + name + " has not confirmed the last stage"})
		}
	}
	return all
}
