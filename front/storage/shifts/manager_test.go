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

// wholeShift is what a shift that went well leaves behind.
var wholeShift = []string{"pending 0", "running 0", "running 1", "running 2", "watching 2", "done 2"}

func TestGoodVersionTakesOver(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		sleep(3 * time.Minute)
		if got := f.events(t, KindShift); !slices.Equal(got, wholeShift) {
			t.Errorf("events %v, want %v; the record: %+v", got, wholeShift, f.record(t))
		}
		for _, i := range f.members() {
			if got := i.ChooseVersion(f.index, "tracker", time.Now()); got != "v2" {
				t.Errorf("%s serves %s, want v2", i.name, got)
			}
		}
	})
}

// TestBadVersionIsForgottenByNobody lets the new version fail on one route from
// the fifth second of its traffic on, and then replaces the whole fleet.
func TestBadVersionIsForgottenByNobody(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		f.failsFrom.Store(int64(10 * time.Second))
		sleep(time.Minute)
		record := f.record(t)
		if record.Phase != shift.RolledBack || record.Reason.Scope.Route != "book" {
			t.Fatalf("the record is %v for %v, want taken back for route book", record.Phase, record.Reason.Scope)
		}
		for _, i := range f.members() {
			f.stop(i)
		}
		sleep(time.Minute)
		fresh := f.start(t)
		sleep(10 * time.Second)
		status := fresh.Status(time.Now()).Shifts[0]
		if status.Record.Reason != record.Reason {
			t.Errorf("a new instance knows the reason %v, want %v", status.Record.Reason, record.Reason)
		}
		if n := fresh.fresh.Load(); n != 0 {
			t.Errorf("a new instance sent %d requests to the version that was taken back", n)
		}
		if events := f.events(t, KindShift); events[len(events)-1] != "taken-back 0" {
			t.Errorf("events %v, want the last to be the take-back", events)
		}
	})
}

func TestFrozenHolderIsReplaced(t *testing.T) {
	bubble(t, 3, func(t *testing.T, f *fleet) {
		sleep(12 * time.Second)
		holder := f.holder(t)
		holder.gate.freeze()
		sleep(50 * time.Second)
		record := f.record(t)
		if record.Holder == holder.name || record.Stage == 0 {
			t.Errorf("%s holds stage %d, want another than %s to have advanced", record.Holder, record.Stage, holder.name)
		}
		holder.gate.thaw()
		sleep(time.Second)
		var conflict *storage.ConflictError
		if held := holder.gate.lastHeld(); !errors.As(held, &conflict) {
			t.Errorf("the frozen holder's write ended with %v, want a conflict", held)
		}
		sleep(3 * time.Minute)
		if got := f.events(t, KindShift); !slices.Equal(got, wholeShift) {
			t.Errorf("events %v, want %v; the record: %+v", got, wholeShift, f.record(t))
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
	bubble(t, 3, func(t *testing.T, f *fleet) {
		sleep(25 * time.Second)
		f.store.SetFaults(standin.Faults{Down: true})
		sleep(155*time.Second + 10*time.Millisecond) // to the deadline
		for _, i := range f.members() {
			if got := i.ChooseVersion(f.index, "tracker", time.Now()); got != "v1" {
				t.Errorf("%s serves %s at the deadline, want v1", i.name, got)
			}
		}
		if record := f.record(t); record.Settled() {
			t.Fatalf("the record is %v while the store is down", record.Phase)
		}
		sleep(30 * time.Second)
		f.store.SetFaults(standin.Faults{})
		sleep(5 * time.Second)
		record := f.record(t)
		if record.Phase != shift.RolledBack || record.Reason.Cause != shift.CauseDeadline {
			t.Errorf("the record ends %v (%s), want taken back for the deadline", record.Phase, record.Reason.Cause)
		}
	})
}

func TestLostAnswersCountOnce(t *testing.T) {
	bubble(t, 2, func(t *testing.T, f *fleet) {
		for range 90 {
			f.store.SetFaults(standin.Faults{LoseAnswers: 1})
			sleep(2 * time.Second)
		}
		if got := f.events(t, KindShift); !slices.Equal(got, wholeShift) {
			t.Errorf("events %v, want %v; the record: %+v", got, wholeShift, f.record(t))
		}
	})
}

// TestDrainFollowsTheHeadroom drains a region whose traffic needs one slot at
// each of two instances, or two at each; the other region has three.
func TestDrainFollowsTheHeadroom(t *testing.T) {
	tests := []struct {
		desc  string
		takes time.Duration
		last  string
		moved float64
	}{
		{"room for all", 20 * time.Millisecond, "done 20", 1},
		{"no room for all", 40 * time.Millisecond, "taken-back", 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			bubble(t, 2, func(t *testing.T, f *fleet) {
				f.ledgerTime.Store(int64(tt.takes))
				sleep(5*time.Minute + time.Second)
				for _, i := range f.members() {
					if got := i.DrainedShare("kaduna"); got != tt.moved || i.DrainedShare("kano") != 0 {
						t.Errorf("%s: moved from kaduna %v, from kano %v; want %v and 0", i.name, got, i.DrainedShare("kano"), tt.moved)
					}
				}
				events := f.events(t, KindDrain)
				if len(events) == 0 || !strings.HasPrefix(events[len(events)-1], tt.last) {
					t.Errorf("events %v, want the last to be %s", events, tt.last)
				}
			})
		})
	}
}

// TestWritesAreBounded counts what a shift and a drain ask of the table.
func TestWritesAreBounded(t *testing.T) {
	const instances, seconds = 4, 60
	bubble(t, instances, func(t *testing.T, f *fleet) {
		sleep(20 * time.Second)
		before := f.store.Counts()
		sleep(seconds * time.Second)
		after := f.store.Counts()
		reads, writes := after.Reads-before.Reads, after.Writes-before.Writes
		t.Logf("%d instances, %d s: %d reads, %d writes, %d conflicts", instances, seconds, reads, writes, after.Conflicts-before.Conflicts)
		if reads > instances*(seconds+5) {
			t.Errorf("%d reads, want about one for each instance and second", reads)
		}
		// One renewal in three seconds for each movement, and its steps.
		if writes > 2*seconds/3+20 {
			t.Errorf("%d writes in %d s", writes, seconds)
		}
	})
}
