package shifts

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage"
	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/shift"
)

// completedShiftEvents are the events of a shift that completes.
var completedShiftEvents = []string{"pending 0", "running 0", "running 1", "running 2", "watching 2", "done 2"}

func TestGoodVersionTakesOver(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		advanceTime(3 * time.Minute)
		if got := f.events(t, KindShift); !slices.Equal(got, completedShiftEvents) {
			t.Errorf("events %v, want %v; the record: %+v", got, completedShiftEvents, f.record(t))
		}
		for _, i := range f.members() {
			if got := i.ChooseVersion(f.index, "tracker", time.Now()); got != "v2" {
				t.Errorf("%s serves %s, want v2", i.name, got)
			}
		}
	})
}

// TestRollbackSurvivesFleetReplacement lets the new version fail on one route from
// the fifth second of its traffic, then replaces all instances. The new instance
// must take the rollback and its reason from the stored record.
func TestRollbackSurvivesFleetReplacement(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.failAfterNanos.Store(int64(10 * time.Second))
		advanceTime(time.Minute)
		record := f.record(t)
		if record.Phase != shift.RolledBack || record.Reason.Scope.Route != "book" {
			t.Fatalf("the record is %v for %v, want rolled back for route book", record.Phase, record.Reason.Scope)
		}
		for _, i := range f.members() {
			f.stop(i)
		}
		advanceTime(time.Minute)
		replacement := f.start(t)
		advanceTime(10 * time.Second)
		status := replacement.Status(time.Now()).Shifts[0]
		if status.Record.Reason != record.Reason {
			t.Errorf("a new instance knows the reason %v, want %v", status.Record.Reason, record.Reason)
		}
		if n := replacement.newRequests.Load(); n != 0 {
			t.Errorf("a new instance sent %d requests to the version that was rolled back", n)
		}
		if events := f.events(t, KindShift); events[len(events)-1] != "taken-back 0" {
			t.Errorf("events %v, want the last to be the rollback", events)
		}
	})
}

func TestFrozenHolderIsReplaced(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		advanceTime(12 * time.Second)
		holder := f.holder(t)
		holder.table.freeze()
		advanceTime(50 * time.Second)
		record := f.record(t)
		if record.Holder == holder.name || record.Stage == 0 {
			t.Errorf("%s holds stage %d, want another than %s to have advanced", record.Holder, record.Stage, holder.name)
		}
		holder.table.thaw()
		advanceTime(time.Second)
		var conflict *storage.ConflictError
		if err := holder.table.lastDelayedErr(); !errors.As(err, &conflict) {
			t.Errorf("the frozen holder's write ended with %v, want a conflict", err)
		}
		advanceTime(3 * time.Minute)
		if got := f.events(t, KindShift); !slices.Equal(got, completedShiftEvents) {
			t.Errorf("events %v, want %v; the record: %+v", got, completedShiftEvents, f.record(t))
		}
	})
}

// holder returns the instance that advances the shift.
func (f *fleet) holder(t *testing.T) *instance {
	t.Helper()
	name := f.record(t).Holder
	for _, i := range f.members() {
		if i.name == name {
			return i
		}
	}
	t.Fatalf("no holder %q", name)
	return nil
}

func TestDeadlineWithStoreDown(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		advanceTime(25 * time.Second)
		f.store.SetFaults(standin.Faults{Down: true})
		advanceTime(155*time.Second + 10*time.Millisecond) // to the deadline
		for _, i := range f.members() {
			if got := i.ChooseVersion(f.index, "tracker", time.Now()); got != "v1" {
				t.Errorf("%s serves %s at the deadline, want v1", i.name, got)
			}
		}
		if record := f.record(t); record.Settled() {
			t.Fatalf("the record is %v while the store is down", record.Phase)
		}
		advanceTime(30 * time.Second)
		f.store.SetFaults(standin.Faults{})
		advanceTime(5 * time.Second)
		record := f.record(t)
		if record.Phase != shift.RolledBack || record.Reason.Cause != shift.CauseDeadline {
			t.Errorf("the record ends %v (%s), want rolled back for the deadline", record.Phase, record.Reason.Cause)
		}
	})
}

func TestLostResponsesCountOnce(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		for range 90 {
			f.store.SetFaults(standin.Faults{LoseResponses: 1})
			advanceTime(2 * time.Second)
		}
		if got := f.events(t, KindShift); !slices.Equal(got, completedShiftEvents) {
			t.Errorf("events %v, want %v; the record: %+v", got, completedShiftEvents, f.record(t))
		}
	})
}

// TestDrainFollowsTheHeadroom drains a region with two instances. The traffic of
// each instance needs one slot or two slots, depending on the case. The other
// region has three slots: enough for two, not for four.
func TestDrainFollowsTheHeadroom(t *testing.T) {
	tests := []struct {
		desc         string
		requestTime  time.Duration
		lastEvent    string
		drainedShare float64
	}{
		{"enough headroom", 20 * time.Millisecond, "done 20", 1},
		{"too little headroom", 40 * time.Millisecond, "taken-back", 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			runFleet(t, 2, func(t *testing.T, f *fleet) {
				f.ledgerNanos.Store(int64(tt.requestTime))
				advanceTime(5*time.Minute + time.Second)
				for _, i := range f.members() {
					if got := i.DrainedShare("kaduna"); got != tt.drainedShare || i.DrainedShare("kano") != 0 {
						t.Errorf("%s: drained share of kaduna %v, of kano %v; want %v and 0", i.name, got, i.DrainedShare("kano"), tt.drainedShare)
					}
				}
				events := f.events(t, KindDrain)
				if len(events) == 0 || !strings.HasPrefix(events[len(events)-1], tt.lastEvent) {
					t.Errorf("events %v, want the last to be %s", events, tt.lastEvent)
				}
			})
		})
	}
}

// TestWritesAreBounded bounds the reads and writes of the table during a shift and a
// drain.
func TestWritesAreBounded(t *testing.T) {
	const instances, seconds = 4, 60
	runFleet(t, instances, func(t *testing.T, f *fleet) {
		advanceTime(20 * time.Second)
		before := f.store.Counts()
		advanceTime(seconds * time.Second)
		after := f.store.Counts()
		reads, writes := after.Reads-before.Reads, after.Writes-before.Writes
		t.Logf("%d instances, %d s: %d reads, %d writes, %d conflicts", instances, seconds, reads, writes, after.Conflicts-before.Conflicts)
		if reads > instances*(seconds+5) {
			t.Errorf("%d reads, want about one per instance and second", reads)
		}
		// Each movement has one renewal every three seconds, and its steps.
		if writes > 2*seconds/3+20 {
			t.Errorf("%d writes in %d s", writes, seconds)
		}
	})
}
