package rollouts

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
)

// Whatever happens to writes, instances, reports and orders, the record of a
// rollout reaches one final result, within the rollout's time, for a valid
// reason, and for the order it was decided for. All instances follow it, and
// the next rollout is not affected.
func TestRolloutRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutSim(t, 3)
		var older simCopy
		instance := rapid.IntRange(0, len(w.instances)-1)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"order": func(t *rapid.T) {
				w.giveOrder(rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "to"))
			},
			"drop": func(*rapid.T) { delete(w.tables[tableOrders], orderKey) },
			"forget": func(t *rapid.T) {
				if known, _ := w.record(); known.Result != catalog.RolloutRunning {
					t.Skip("a final record stays")
				}
				delete(w.tables[tableRecords], testService)
				w.revision++
			},
			"rounds": func(t *rapid.T) {
				without := rapid.IntRange(noInstance, len(w.instances)-1).Draw(t, "without")
				for range rapid.IntRange(1, 10).Draw(t, "rounds") {
					w.round(without)
				}
			},
			"see":  func(t *rapid.T) { w.applyOrders(instance.Draw(t, "at")) },
			"step": func(t *rapid.T) { w.step(instance.Draw(t, "at")) },
			"tell": func(t *rapid.T) { w.sendReports(instance.Draw(t, "from"), instance.Draw(t, "to")) },
			"answered": func(t *rapid.T) {
				w.addGoodResponses(instance.Draw(t, "at"))
			},
			"bad": func(t *rapid.T) {
				w.haltNewVersion(instance.Draw(t, "at"))
			},
			"lead": func(t *rapid.T) {
				i := instance.Draw(t, "at")
				w.isLeader[i] = !w.isLeader[i]
			},
			"restart": func(t *rapid.T) { w.start(instance.Draw(t, "at")) },
			"restart all": func(*rapid.T) {
				for i := range w.instances {
					w.start(i)
				}
			},
			"fault": func(t *rapid.T) {
				w.fault = fault(rapid.IntRange(int(faultNone), int(faultRecordsOnly)).Draw(t, "kind"))
			},
			"copy": func(*rapid.T) { older = w.copyStore() },
			"restore": func(t *rapid.T) {
				if older.tables == nil {
					t.Skip("no copy")
				}
				w.restore(older)
			},
			"late": func(*rapid.T) {
				for _, do := range w.lateWrites {
					do()
				}
				w.lateWrites = nil
			},
		})
		w.runToCompletion()
		w.checkAgreement()
		w.giveOrder("v2")
		w.runToCompletion()
		w.checkAgreement()
		if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
			t.Fatalf("a rollout of a good version without faults ends %s", known.Result)
		}
	})
}

// A rollout that an instance of an older version recorded without a start time
// is completed all the same.
func TestRunningRecordWithoutStartTime(t *testing.T) {
	w := newSingleInstanceSim(t, true)
	w.giveOrder("v2")
	w.revision++
	w.set(tableRecords, testService, []byte("v2 running"))
	w.startRecorded = w.now
	for range int(duration / time.Second) {
		w.round(noInstance)
	}
	if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
		t.Errorf("the rollout ends %s", known.Result)
	}
}

// A restore of the store loses the record of a rollout, or its last state, and
// the operator writes its order again. The record gets the result that it had,
// although the rollout's time is over, and no instance takes it back.
func TestResultSurvivesARestore(t *testing.T) {
	for _, result := range []catalog.RolloutResult{catalog.RolloutCompleted, catalog.RolloutRolledBack} {
		for _, lost := range []string{"record", "order and record", "final state"} {
			t.Run(result.String()+", "+lost+" lost", func(t *testing.T) {
				w := newSingleInstanceSim(t, true)
				older := w.copyStore()
				w.giveOrder("v2")
				if lost == "record" {
					older = w.copyStore()
				}
				w.round(noInstance)
				if lost == "final state" {
					older = w.copyStore()
				}
				if result == catalog.RolloutRolledBack {
					w.haltNewVersion(0)
				}
				for range int(duration / time.Second) {
					w.round(noInstance)
				}
				if known, _ := w.record(); known.Result != result {
					t.Fatalf("record before the restore: %s", known.Result)
				}
				w.restore(older)
				for range 2 * int(duration/time.Second) {
					w.round(noInstance)
					if got := w.instances[0].Get(testService).Result(); got != result {
						t.Fatalf("result %s after the restore", got)
					}
				}
				if known, current := w.record(); !current || known.Result != result {
					t.Fatalf("record after the restore: %+v, in force %t", known, current)
				}
			})
		}
	}
}

// An instance learns from another one that a rollout was completed, although the
// restore has lost the record before it read it.
func TestCompletionIsToldAfterARestore(t *testing.T) {
	w := newSingleInstanceSim(t, true)
	w.instances, w.isLeader = append(w.instances, nil), []bool{true, false}
	w.start(1)
	w.giveOrder("v2")
	w.round(noInstance)
	older := w.copyStore()
	for range int(duration / time.Second) {
		w.round(1)
	}
	w.restore(older)
	w.round(noInstance)
	w.haltNewVersion(1)
	w.round(noInstance)
	if got := w.instances[1].Get(testService).Result(); got != catalog.RolloutCompleted {
		t.Fatalf("result %s at the instance that has not read the record, want completed", got)
	}
}

// An order that an instance reads late started when the store reached its
// revision, and its rollout is completed in time from then.
func TestLateOrderStartsAtStoreRevision(t *testing.T) {
	w := newSingleInstanceSim(t, true)
	w.giveOrder("v2")
	given := w.now
	w.instances[0].versionReachedAt = func(v registry.Version) time.Time {
		if v.Revision > w.revision {
			return time.Time{}
		}
		return given
	}
	w.now = w.now.Add(duration / 5)
	for range int(duration * 4 / 5 / time.Second) {
		w.round(noInstance)
	}
	if known, _ := w.record(); known.Result != catalog.RolloutCompleted {
		t.Errorf("%s after the order the rollout is %s", w.now.Sub(given), known.Result)
	}
}

// From shortly before its completion no request, and no retry, goes to an old
// endpoint when the new ones have no headroom.
func TestNoFallbackToOldVersionBeforeCompletion(t *testing.T) {
	w := newSingleInstanceSim(t, false)
	w.giveOrder("v2")
	w.applyOrders(0)
	w.step(0)
	r := w.instances[0]
	w.reportSound(0)
	for _, c := range []struct {
		elapsed    float64
		noFallback bool
	}{{0.5, false}, {0.84, false}, {0.88, true}, {0.99, true}} {
		now := w.now.Add(time.Duration(c.elapsed * float64(duration)))
		if retry := r.PreferredVersions(testService, now, false); retry.NoFallback != c.noFallback || retry.Filters[0].Accepts("v2") != c.noFallback {
			t.Errorf("at %g: no fallback %t, retry to the new version first %t", c.elapsed, retry.NoFallback, retry.Filters[0].Accepts("v2"))
		}
	}
	w.haltNewVersion(0)
	if now := w.now.Add(duration * 9 / 10); r.PreferredVersions(testService, now, false).NoFallback {
		t.Error("no fallback to the old version although the new one is bad")
	}
}

// An instance that has not read the records yet sends no request to the new
// version first: the record may say that it was rolled back.
func TestNoNewVersionBeforeTheRecordsAreRead(t *testing.T) {
	w := newSingleInstanceSim(t, false)
	w.giveOrder("v2")
	w.applyOrders(0)
	r := w.instances[0]
	r.Get(testService).ObserveStart(w.now.Add(-duration * 19 / 20))
	w.now = w.now.Add(duration / 5) // the full share is for the new version
	w.reportSound(0)
	if r.PreferredVersions(testService, w.now, true).Filters[0].Accepts("v2") {
		t.Error("the new version is preferred although no record was read")
	}
	w.step(0)
	if !r.PreferredVersions(testService, w.now, true).Filters[0].Accepts("v2") {
		t.Error("the old version is preferred although the record was read")
	}
}
