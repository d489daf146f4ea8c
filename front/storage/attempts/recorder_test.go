package attempts

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/attempt"
)

func wantConflict(t *testing.T, err error, state attempt.State) *ConflictError {
	t.Helper()
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.State != state {
		t.Fatalf("Begin = %v, want a conflict with a record in state %q", err, state)
	}
	return conflict
}

// TestLifeOfAKey claims, releases, claims again and finishes one key at two
// instances, and then reuses it for another request.
func TestLifeOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		kano, stopKano := startRecorder(t, DefaultSettings(), newRemoteTable(store, time.Millisecond, 1, faultRates{}), "kano-1")
		sokoto, stopSokoto := startRecorder(t, DefaultSettings(), newRemoteTable(store, 20*time.Millisecond, 2, faultRates{}), "sokoto-1")
		defer stopKano()
		defer stopSokoto()
		waitReady(kano)
		waitReady(sokoto)
		ctx := context.Background()
		first, err := kano.Begin(ctx, requestFor("k"))
		if err != nil {
			t.Fatal(err)
		}
		_, err = kano.Begin(ctx, requestFor("k"))
		wantConflict(t, err, attempt.StateRunning)
		_, err = sokoto.Begin(ctx, requestFor("k"))
		wantConflict(t, err, attempt.StateRunning)
		first.Release()
		time.Sleep(runningTTL + time.Second)
		second, err := sokoto.Begin(ctx, requestFor("k"))
		if err != nil {
			t.Fatalf("a released key can't be claimed: %v", err)
		}
		second.Finish(attempt.Outcome{Status: 201, Body: []byte("ok"), Complete: true})
		time.Sleep(time.Second)
		_, err = kano.Begin(ctx, requestFor("k"))
		conflict := wantConflict(t, err, attempt.StateDone)
		if conflict.Current.Outcome.Status != 201 || string(conflict.Current.Outcome.Body) != "ok" {
			t.Fatalf("outcome = %+v", conflict.Current.Outcome)
		}
		other := requestFor("k")
		other.Digest = "another"
		_, err = kano.Begin(ctx, other)
		if conflict = wantConflict(t, err, attempt.StateDone); !conflict.OtherRequest {
			t.Fatal("another request with the same key was not detected")
		}
	})
}

// TestSilentStoreRefusesAtOnce makes the store unavailable. The first claim
// must be refused within two commit timeouts and two group waits, and later
// ones at once. Once the store is available again, the refused key must be
// claimable.
func TestSilentStoreRefusesAtOnce(t *testing.T) {
	for _, faults := range []standin.Faults{{Freeze: true}, {Down: true}, {Refuse: true}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOutage(t, faults) })
		})
	}
}

func checkOutage(t *testing.T, faults standin.Faults) {
	store := standin.NewStore()
	recorder, stop := startRecorder(t, DefaultSettings(), newRemoteTable(store, time.Millisecond, 1, faultRates{}), "kano-1")
	defer stop()
	waitReady(recorder)
	store.SetFaults(faults)
	start := time.Now()
	_, err := recorder.Begin(context.Background(), requestFor("first"))
	most := 2*DefaultCommitTimeout + 2*attempt.DefaultMaxWait
	if reasonOf(err) != ReasonStoreUnavailable || time.Since(start) > most {
		t.Fatalf("first claim: %v after %v, want %s within %v", err, time.Since(start), ReasonStoreUnavailable, most)
	}
	start = time.Now()
	_, err = recorder.Begin(context.Background(), requestFor("second"))
	if reasonOf(err) != ReasonStoreUnavailable || time.Since(start) != 0 {
		t.Fatalf("second claim: %v after %v, want %s at once", err, time.Since(start), ReasonStoreUnavailable)
	}
	time.Sleep(time.Hour / 2)
	store.SetFaults(standin.Faults{})
	time.Sleep(2 * time.Second)
	if _, err := recorder.Begin(context.Background(), requestFor("first")); err != nil {
		t.Fatalf("after the outage: %v", err)
	}
}

// TestStoreWithoutWritesStaysSilent lets the store respond to reads and drop
// writes for a minute. After the first claim, all claims must be refused at
// once: a successful read alone must not end the outage.
func TestStoreWithoutWritesStaysSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newRemoteTable(standin.NewStore(), time.Millisecond, 1, faultRates{})
		recorder, stop := startRecorder(t, DefaultSettings(), table, "kano-1")
		defer stop()
		waitReady(recorder)
		table.setFaults(faultRates{dropped: 100})
		_, err := recorder.Begin(context.Background(), requestFor("first"))
		if reasonOf(err) != ReasonStoreUnavailable {
			t.Fatalf("first claim: %v, want %s", err, ReasonStoreUnavailable)
		}
		for i := range 600 {
			start := time.Now()
			_, err := recorder.Begin(context.Background(), requestFor(fmt.Sprint(i)))
			if reasonOf(err) != ReasonStoreUnavailable || time.Since(start) != 0 {
				t.Fatalf("claim %d: %v after %v, want %s at once", i, err, time.Since(start), ReasonStoreUnavailable)
			}
			time.Sleep(100 * time.Millisecond)
		}
		table.setFaults(faultRates{})
		time.Sleep(2 * time.Second)
		if _, err := recorder.Begin(context.Background(), requestFor("first")); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

// TestGivenUpClaimIsReleased lets a caller's deadline pass while its claim is
// in flight. The claim must be released, so that the key can be claimed at
// another instance.
func TestGivenUpClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		remote, stopRemote := startRecorder(t, DefaultSettings(), newRemoteTable(store, 55*time.Millisecond, 1, faultRates{}), "siliguri-1")
		local, stopLocal := startRecorder(t, DefaultSettings(), newRemoteTable(store, time.Millisecond, 2, faultRates{}), "kolkata-1")
		defer stopRemote()
		defer stopLocal()
		waitReady(remote)
		waitReady(local)
		ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := remote.Begin(ctx, requestFor("k"))
		if reasonOf(err) != ReasonDeadline || time.Since(start) != 80*time.Millisecond {
			t.Fatalf("Begin = %v after %v, want %s at the deadline", err, time.Since(start), ReasonDeadline)
		}
		_, err = local.Begin(context.Background(), requestFor("k"))
		wantConflict(t, err, attempt.StateRunning)
		time.Sleep(runningTTL + time.Second)
		if _, err := local.Begin(context.Background(), requestFor("k")); err != nil {
			t.Fatalf("the abandoned claim was not released: %v", err)
		}
	})
}

// TestLateClaimIsFenced delays the writes of a claim until after it was
// refused. The late write must not lock the key.
func TestLateClaimIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		table := newRemoteTable(store, time.Millisecond, 1, faultRates{})
		recorder, stop := startRecorder(t, DefaultSettings(), table, "kano-1")
		defer stop()
		waitReady(recorder)
		table.setFaults(faultRates{late: 100, lateBy: 10 * time.Second})
		_, err := recorder.Begin(context.Background(), requestFor("k"))
		if reasonOf(err) != ReasonStoreUnavailable {
			t.Fatalf("Begin = %v, want %s", err, ReasonStoreUnavailable)
		}
		table.setFaults(faultRates{})
		time.Sleep(time.Minute)
		if _, err := recorder.Begin(context.Background(), requestFor("k")); err != nil {
			t.Fatalf("the late write locked the key: %v", err)
		}
	})
}

// TestOutcomesOutliveAnOutage finishes a request while the store is unavailable
// for an hour. The outcome must be written afterwards.
func TestOutcomesOutliveAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		recorder, stop := startRecorder(t, DefaultSettings(), newRemoteTable(store, time.Millisecond, 1, faultRates{}), "kano-1")
		waitReady(recorder)
		a, err := recorder.Begin(context.Background(), requestFor("k"))
		if err != nil {
			t.Fatal(err)
		}
		store.SetFaults(standin.Faults{Freeze: true})
		a.Finish(attempt.Outcome{Status: 200})
		time.Sleep(time.Hour)
		store.SetFaults(standin.Faults{})
		time.Sleep(2 * time.Second)
		stop()
		second, stopSecond := startRecorder(t, DefaultSettings(), store, "kano-2")
		defer stopSecond()
		waitReady(second)
		_, err = second.Begin(context.Background(), requestFor("k"))
		wantConflict(t, err, attempt.StateDone)
	})
}

// TestStopWritesOutcomes stops an instance right after a finish. The outcome
// must be written before it stops.
func TestStopWritesOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		recorder, stop := startRecorder(t, DefaultSettings(), newRemoteTable(store, 55*time.Millisecond, 1, faultRates{}), "siliguri-1")
		waitReady(recorder)
		a, err := recorder.Begin(context.Background(), requestFor("k"))
		if err != nil {
			t.Fatal(err)
		}
		a.Finish(attempt.Outcome{Status: 200})
		stop()
		if _, err := recorder.Begin(context.Background(), requestFor("other")); reasonOf(err) != ReasonStopping {
			t.Fatalf("Begin after the stop = %v, want %s", err, ReasonStopping)
		}
		row, err := store.Get(context.Background(), recorder.keys.record(requestFor("k").Key))
		if err != nil || decodeRow(row).Record.State != attempt.StateDone {
			t.Fatalf("row = %s, %v, want done", row.Value, err)
		}
	})
}

// TestSameKeyAtTwoInstances claims each of many keys at two instances at the
// same moment. Exactly one claim of each key must be granted.
func TestSameKeyAtTwoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keys = 500
		store := standin.NewStore()
		var recorders []*Recorder
		for i := range 2 {
			r, stop := startRecorder(t, DefaultSettings(), newRemoteTable(store, 20*time.Millisecond, uint64(i), faultRates{}), fmt.Sprintf("kaduna-%d", i))
			defer stop()
			waitReady(r)
			recorders = append(recorders, r)
		}
		var mu sync.Mutex
		granted := make(map[string]int)
		var wait sync.WaitGroup
		for i := range keys {
			for _, r := range recorders {
				key := fmt.Sprint("key-", i)
				wait.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					if _, err := r.Begin(context.Background(), requestFor(key)); err == nil {
						mu.Lock()
						granted[key]++
						mu.Unlock()
					} else {
						var conflict *ConflictError
						if !errors.As(err, &conflict) {
							t.Errorf("%s: %v, want a conflict", key, err)
						}
					}
				})
			}
		}
		wait.Wait()
		for i := range keys {
			if n := granted[fmt.Sprint("key-", i)]; n != 1 {
				t.Errorf("key %d was granted %d times, want once", i, n)
			}
		}
	})
}

// TestRepeatsCostLittle repeats a request at another instance a hundred times
// per second, first while the original runs and then after it is done. The
// repeats must cost about one write per second at most.
func TestRepeatsCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		kano, stopKano := startRecorder(t, DefaultSettings(), store, "kano-1")
		defer stopKano()
		kaduna, stopKaduna := startRecorder(t, DefaultSettings(), store, "kaduna-1")
		defer stopKaduna()
		waitReady(kano)
		waitReady(kaduna)
		a, err := kano.Begin(context.Background(), requestFor("k"))
		if err != nil {
			t.Fatal(err)
		}
		before := store.Counts().Writes
		states := make(map[attempt.State]int)
		const seconds = 10
		for i := range seconds * 100 {
			if i == seconds*50 {
				a.Finish(attempt.Outcome{Status: 200})
			}
			_, err := kaduna.Begin(context.Background(), requestFor("k"))
			var conflict *ConflictError
			if !errors.As(err, &conflict) {
				t.Fatalf("repeat %d: %v", i, err)
			}
			states[conflict.Current.State]++
			time.Sleep(10 * time.Millisecond)
		}
		if writes := store.Counts().Writes - before; writes > seconds+1 {
			t.Errorf("%d writes for %d repeats in %d seconds", writes, seconds*100, seconds)
		}
		if states[attempt.StateDone] < 300 {
			t.Errorf("repeats got the states %v, want done within a second or two", states)
		}
	})
}

// TestExpiredRecordsAreDeleted checks that records are kept for
// DefaultKeepEpochs hours and deleted after that.
func TestExpiredRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.CleanupInterval = 200 * time.Millisecond
		store := standin.NewStore()
		recorder, stop := startRecorder(t, settings, store, "kano-1")
		defer stop()
		waitReady(recorder)
		claim := func(key string) {
			a, err := recorder.Begin(context.Background(), requestFor(key))
			if err != nil {
				t.Fatal(err)
			}
			a.Finish(attempt.Outcome{Status: 200})
		}
		for i := range 50 {
			claim(fmt.Sprint("old-", i))
		}
		time.Sleep(attempt.DefaultKeepEpochs * time.Hour)
		if rows, _ := store.Scan(context.Background(), "kano/attempts/records/"); len(rows) != 50 {
			t.Fatalf("%d records after %d hours, want all 50", len(rows), attempt.DefaultKeepEpochs)
		}
		claim("new")
		time.Sleep(6 * time.Hour)
		rows, _ := store.Scan(context.Background(), "kano/attempts/records/")
		if len(rows) != 1 || rows[0].Key != recorder.keys.record(requestFor("new").Key) {
			t.Fatalf("%d records left, want the new one only", len(rows))
		}
	})
}
