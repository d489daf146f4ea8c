package shift

import (
	"errors"
	"testing"
	"time"
)

// runSteadyTraffic runs a fleet under light traffic without faults and calls
// observe after each step.
func runSteadyTraffic(f *fleet, until time.Duration, observe func(now time.Time)) {
	cfg := f.controllers[0].cfg
	tr := traffic{
		seed: 7, step: 500 * time.Millisecond, instances: len(f.controllers),
		perSecond: 200, length: until,
	}
	tr.run(&cfg, observed{f, observe})
}

// observed is a fleet that calls observe after each step.
type observed struct {
	*fleet
	observe func(now time.Time)
}

func (o observed) step(now time.Time) {
	o.fleet.step(now)
	o.observe(now)
}

// TestMissingOutcomesHoldTheStage stops the outcomes of the new version in the
// middle of a shift. The shift must not advance on missing outcomes.
func TestMissingOutcomesHoldTheStage(t *testing.T) {
	cfg := testConfig()
	f := newFleet(cfg, 3)
	tr := traffic{
		seed: 3, step: 500 * time.Millisecond, instances: 3, perSecond: 200,
		outcomesStopAt: 35 * time.Second, length: 5 * time.Minute,
	}
	seen := tr.run(&cfg, f)
	if f.row.Phase != RolledBack || f.row.Reason.Cause != CauseDeadline {
		t.Errorf("shift ended %v (%s), want rolled back at the deadline", f.row.Phase, f.row.Reason.Detail)
	}
	if seen.highestShare > 0.2 {
		t.Errorf("the new version got up to %.0f%%, want at most the cap of the stage in which outcomes stopped", 100*seen.highestShare)
	}
}

func TestFrozenHolderChangesNothing(t *testing.T) {
	f := newFleet(testConfig(), 3)
	var paused *Controller
	var heldWrite Proposal
	var takenOverAt time.Time
	runSteadyTraffic(f, 3*time.Minute, func(now time.Time) {
		if paused == nil && f.row.Phase == Running && f.row.Stage == 1 {
			paused, heldWrite = f.removeHolder(now)
		}
		if paused != nil && takenOverAt.IsZero() && f.row.Holder != paused.self {
			takenOverAt = now
			if f.commit(now, paused, heldWrite) {
				t.Error("the paused holder's write took effect after another instance took over")
			}
		}
	})
	if takenOverAt.IsZero() {
		t.Fatal("no other instance took over")
	}
	if f.row.Phase != Watching {
		t.Errorf("shift ended %v, want watching", f.row.Phase)
	}
}

// removeHolder removes the holder from the fleet, as if it were paused, and
// returns it with the write that it was about to make.
func (f *fleet) removeHolder(now time.Time) (*Controller, Proposal) {
	var holder *Controller
	var rest []*Controller
	var names []string
	for _, c := range f.controllers {
		if c.self == f.row.Holder {
			holder = c
			continue
		}
		rest = append(rest, c)
		names = append(names, c.self)
	}
	for _, c := range rest {
		c.SetLiveInstances(names)
	}
	heldWrite := holder.proposalFor(holder.next(now))
	// The paused instance's callers connect to the others.
	f.controllers = rest
	f.controllers = append(f.controllers, rest[0])
	return holder, heldWrite
}

func TestDeadlineWithoutTheStore(t *testing.T) {
	cfg := testConfig()
	tests := []struct {
		desc string
		// completed is set if a completion was written in time, but its
		// response and all later reads were lost.
		completed bool
	}{
		{"nothing recorded", false},
		{"completion recorded, never read", true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleet(cfg, 3)
			now := epoch
			running := Record{Phase: Running, Stage: 3, Since: now, Holder: "i0"}
			for _, c := range f.controllers {
				c.ObserveRecord(now, running, 5)
			}
			f.row, f.version = running, 5
			if tt.completed {
				f.row.Phase, f.version = Watching, 6
			}
			f.runWithoutStore(&now, cfg.Deadline)
			for _, c := range f.controllers {
				if c.View().Phase != RolledBack || c.ChooseNew(now) {
					t.Errorf("%s is %v at the deadline, want rolled back", c.self, c.View().Phase)
				}
			}
			f.exchangedAt = time.Time{}
			for range 10 {
				now = now.Add(time.Second)
				f.step(now)
			}
			if f.row.Phase != RolledBack {
				t.Errorf("record ended %v, want rolled back", f.row.Phase)
			}
		})
	}
}

// runWithoutStore advances time while the store does not answer.
func (f *fleet) runWithoutStore(now *time.Time, until time.Time) {
	for now.Before(until) {
		*now = now.Add(time.Second)
		for _, c := range f.controllers {
			c.Tick(*now)
			f.sendReport(*now, c)
		}
	}
}

func TestIsolatedInstanceLeavesTheOutcomeOpen(t *testing.T) {
	cfg := testConfig()
	f := newFleet(cfg, 3)
	isolated := f.controllers[0]
	isolated.ObserveRecord(epoch, Record{Phase: Running, Stage: 3}, 5)
	past := cfg.Deadline.Add(time.Minute)
	isolated.Tick(past)
	if isolated.ChooseNew(past) {
		t.Error("isolated instance sends to the new version after the deadline")
	}
	if view := isolated.View(); view.Settled() {
		t.Fatalf("isolated instance settled on %v by itself", view.Phase)
	}
	isolated.ObserveRecord(past, Record{Phase: Watching}, 6)
	isolated.Tick(past)
	if isolated.View().Phase != Watching {
		t.Errorf("outcome is %v, want that of the record", isolated.View().Phase)
	}
}

// TestLocalEvidenceRollsBackWithoutPeers checks that an instance rolls back on local
// evidence alone when it reaches neither the store nor a peer.
func TestLocalEvidenceRollsBackWithoutPeers(t *testing.T) {
	cfg := testConfig()
	c := newFleet(cfg, 3).controllers[0]
	now := cfg.Start
	c.ObserveRecord(now, Record{Phase: Running, Stage: 2}, 3)
	for range 8 {
		now = now.Add(time.Second)
		for range 100 {
			isNew := c.ChooseNew(now)
			c.RecordOutcome(Outcome{Route: "read", Domain: "kano-a", New: isNew, Failed: isNew, Sent: now})
		}
		c.Tick(now)
	}
	if c.View().Phase != RolledBack || c.ChooseNew(now) {
		t.Errorf("outcome is %v, want rolled back", c.View().Phase)
	}
}

// TestPlanExpiresDuringPause pauses an instance for longer than the contact
// timeout. It must not send to the new version before it has updated its plan.
func TestPlanExpiresDuringPause(t *testing.T) {
	cfg := testConfig()
	c := newFleet(cfg, 1).controllers[0]
	now := cfg.Start
	c.ObserveRecord(now, Record{Phase: Running, Stage: 3}, 4)
	if !c.ChooseNew(now) {
		t.Fatal("the last stage sends nothing to the new version")
	}
	if c.ChooseNew(now.Add(cfg.ContactTimeout + time.Second)) {
		t.Error("an instance sends to the new version right after a long pause")
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		desc   string
		change func(c *Config)
		field  string
	}{
		{"sound", func(*Config) {}, ""},
		{"same version", func(c *Config) { c.To = c.From }, "to"},
		{"falling caps", func(c *Config) { c.Stages[1].Cap = Percent }, "stages"},
		{"last stage below all", func(c *Config) { c.Stages = c.Stages[:2] }, "stages"},
		{"no time", func(c *Config) { c.Deadline = c.Start.Add(time.Minute) }, "deadline"},
		{"short guard", func(c *Config) { c.Guard = c.ContactTimeout }, "guard"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			cfg := testConfig()
			tt.change(&cfg)
			err := cfg.Check()
			var fault *ConfigError
			if errors.As(err, &fault) != (tt.field != "") || fault != nil && fault.Field != tt.field {
				t.Errorf("Check() = %v, want an error for field %q", err, tt.field)
			}
		})
	}
}
