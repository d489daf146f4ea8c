package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drainSim simulates the drain of a region into other regions.
type drainSim struct {
	drain                         *Drain
	row                           Record
	version                       uint64
	demand, spareCapacity         float64 // traffic of the region, and spare capacity of the others
	linkDemand, linkSpareCapacity float64
}

func drainConfig() DrainConfig {
	return DrainConfig{
		Name: "drain-kaduna", Region: "kaduna",
		Start: epoch.Add(10 * time.Second), Deadline: epoch.Add(10 * time.Minute),
		StepInterval: DefaultStepInterval, HeadroomFraction: DefaultHeadroomFraction, Tuning: DefaultTuning(),
	}
}

// moved returns the fraction of the region's traffic that goes to other
// regions.
func (d *drainSim) moved() float64 {
	return float64(d.drain.Status(epoch).Moved) / float64(FullShare)
}

// advanceSecond simulates one second; measured is set if headroom is measured.
func (d *drainSim) advanceSecond(now time.Time, measured bool) {
	if measured {
		m := d.moved()
		d.drain.SetHeadroom(Headroom{
			Demand: d.demand * (1 - m), SpareCapacity: d.spareCapacity - d.demand*m,
			LinkDemand: d.linkDemand * (1 - m), LinkSpareCapacity: d.linkSpareCapacity - d.linkDemand*m,
			MeasuredAt: now,
		})
	}
	d.drain.Tick(now)
	d.drain.ObserveRecord(now, d.row, d.version)
	if p, ok := d.drain.Propose(now); ok && p.ExpectedVersion == d.version {
		d.row = p.Record
		d.version++
		d.drain.ObserveRecord(now, d.row, d.version)
	}
}

// TestDrainOverloadsNobody checks that the moved traffic never exceeds the
// capacity of the other regions or of the links, and that the drain is done or
// rolled back by its deadline.
func TestDrainOverloadsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drainConfig()
		d := &drainSim{
			drain:             NewDrain(cfg, "i0"),
			demand:            rapid.Float64Range(0, 1000).Draw(t, "demand"),
			spareCapacity:     rapid.Float64Range(0, 2000).Draw(t, "capacity"),
			linkDemand:        rapid.Float64Range(0, 100).Draw(t, "link use"),
			linkSpareCapacity: rapid.Float64Range(0, 200).Draw(t, "link spare"),
		}
		for now := epoch; now.Before(cfg.Deadline); now = now.Add(time.Second) {
			d.advanceSecond(now, true)
			if d.demand*d.moved() > d.spareCapacity || d.linkDemand*d.moved() > d.linkSpareCapacity {
				t.Fatalf("%.0f%% moved: exceeds the spare capacity", 100*d.moved())
			}
		}
		if !d.row.Settled() {
			t.Fatalf("drain is %v at the deadline, want done or rolled back", d.row.Phase)
		}
		if 2*d.demand < d.spareCapacity && 2*d.linkDemand < d.linkSpareCapacity && d.row.Phase != Done {
			t.Fatalf("drain ended %v although there is capacity for twice the traffic", d.row.Phase)
		}
	})
}

func TestDrainWithoutMeasurementsIsRolledBack(t *testing.T) {
	d := &drainSim{drain: NewDrain(drainConfig(), "i0"), demand: 100, spareCapacity: 110}
	end := drainConfig().Deadline
	for now := epoch; now.Before(end); now = now.Add(time.Second) {
		d.advanceSecond(now, now.Before(epoch.Add(12*time.Second)))
	}
	if d.row.Phase != RolledBack || d.row.Reason.Cause != CauseHeadroom {
		t.Errorf("drain ended %v (%s), want rolled back for unknown headroom", d.row.Phase, d.row.Reason.Cause)
	}
	if d.moved() != 0 {
		t.Errorf("%.0f%% still moved after the rollback, want none", 100*d.moved())
	}
}
