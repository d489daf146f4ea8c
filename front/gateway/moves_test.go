package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Whatever becomes of writes, instances, views and orders, the record of a move
// ends once, in time and for a reason, for the order that it was decided for.
// All follow it, and the next move is not harmed.
func TestRecordOfAMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newMoveWorld(t, 3)
		instance := rapid.IntRange(0, len(w.instance)-1)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"order": func(t *rapid.T) {
				w.give(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "to"))
			},
			"drop": func(*rapid.T) { delete(w.tables[tableOrders], orderKey) },
			"forget": func(t *rapid.T) {
				if known, _ := w.record(); known.Result != catalog.RolloutRunning {
					t.Skip("a final record stays")
				}
				delete(w.tables[tableRecords], movedService)
				w.revision++
			},
			"rounds": func(t *rapid.T) {
				without := rapid.IntRange(nobody, len(w.instance)-1).Draw(t, "without")
				for range rapid.IntRange(1, 10).Draw(t, "rounds") {
					w.round(without)
				}
			},
			"see":  func(t *rapid.T) { w.see(instance.Draw(t, "at")) },
			"step": func(t *rapid.T) { w.step(instance.Draw(t, "at")) },
			"tell": func(t *rapid.T) { w.tell(instance.Draw(t, "from"), instance.Draw(t, "to")) },
			"answered": func(t *rapid.T) {
				w.answered(instance.Draw(t, "at"))
			},
			"bad": func(t *rapid.T) {
				w.bad(instance.Draw(t, "at"))
			},
			"lead": func(t *rapid.T) {
				i := instance.Draw(t, "at")
				w.leading[i] = !w.leading[i]
			},
			"restart": func(t *rapid.T) { w.start(instance.Draw(t, "at")) },
			"restart all": func(*rapid.T) {
				for i := range w.instance {
					w.start(i)
				}
			},
			"fault": func(t *rapid.T) {
				w.fault = fault(rapid.IntRange(int(faultNone), int(faultHalf)).Draw(t, "kind"))
			},
			"late": func(*rapid.T) {
				for _, do := range w.late {
					do()
				}
				w.late = nil
			},
		})
		w.settle()
		w.agree()
		w.give("v2")
		w.settle()
		w.agree()
		if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
			t.Fatalf("a sound move without faults ends %s", known.Result)
		}
	})
}

// A move that was announced without its beginning, by an instance of an older
// version, is completed all the same.
func TestAnnouncedWithoutABeginning(t *testing.T) {
	w := loneWorld(t, true)
	w.give("v2")
	w.revision++
	w.set(tableRecords, movedService, []byte("v2 running"))
	w.begun = w.now
	for range int(duration / time.Second) {
		w.round(nobody)
	}
	if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
		t.Errorf("the move ends %s", known.Result)
	}
}

// An order of which an instance hears late began when the store had reached its
// revision, and ends in time by that.
func TestOrderHeardOfLate(t *testing.T) {
	w := loneWorld(t, true)
	w.give("v2")
	given := w.now
	w.instance[0].reached = func(revision uint64) time.Time {
		if revision > w.revision {
			return time.Time{}
		}
		return given
	}
	w.now = w.now.Add(duration / 5)
	for range int(duration * 4 / 5 / time.Second) {
		w.round(nobody)
	}
	if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
		t.Errorf("%s after the order the move is %s", w.now.Sub(given), known.Result)
	}
}

// Before the completion no request is sent to an old endpoint for want of room
// at the new ones, nor sent again there.
func TestNoWayBackBeforeTheCompletion(t *testing.T) {
	w := loneWorld(t, false)
	w.give("v2")
	w.see(0)
	w.step(0)
	m := w.instance[0]
	for _, c := range []struct {
		part    float64
		closing bool
	}{{0.5, false}, {0.84, false}, {0.88, true}, {0.99, true}} {
		now := w.now.Add(time.Duration(c.part * float64(duration)))
		if again := m.versions(movedService, now, false); again.stay != c.closing || again.order[0]("v2") != c.closing {
			t.Errorf("at %g: no way back %t, sent again to the new version first %t", c.part, again.stay, again.order[0]("v2"))
		}
	}
	w.bad(0)
	if now := w.now.Add(duration * 9 / 10); m.versions(movedService, now, false).stay {
		t.Error("a bad version leaves no way back")
	}
}

// An instance that has not read the records yet sends nothing new to the
// version that an order names: the record may say that it was taken back.
func TestNoNewVersionBeforeTheRecordsAreRead(t *testing.T) {
	w := loneWorld(t, false)
	w.give("v2")
	w.see(0)
	m := w.instance[0]
	m.move(movedService).ObserveStart(w.now.Add(-duration * 19 / 20))
	w.now = w.now.Add(duration / 5) // all is for the new version
	if m.versions(movedService, w.now, true).order[0]("v2") {
		t.Error("the new version comes first, although no record was read")
	}
	w.step(0)
	if !m.versions(movedService, w.now, true).order[0]("v2") {
		t.Error("the old version comes first, although the record was read")
	}
}
