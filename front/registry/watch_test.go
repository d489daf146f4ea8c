package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// fakeStore is one table with a history that can be compacted.
type fakeStore struct {
	mu       sync.Mutex
	rows     map[string]Row
	history  []Row
	revision uint64
	era      uint64
	oldest   uint64 // the history begins after this revision
	down     bool
	hanging  bool // new calls get no response
}

var errDown = errors.New("the store is down")

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]Row{}} }

func (s *fakeStore) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	row := Row{Key: key, Value: []byte(value), Revision: s.revision, Era: s.era}
	s.rows[key] = row
	s.history = append(s.history, row)
}

func (s *fakeStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.rows, key)
	s.history = append(s.history, Row{Key: key, Revision: s.revision, Era: s.era, Removed: true})
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.revision, nil
}

// restore returns to the state after the first keep changes and begins a new
// era.
func (s *fakeStore) restore(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.history = slices.Clone(s.history[:keep])
	s.revision = uint64(keep)
	s.rows = map[string]Row{}
	for i := range s.history {
		s.history[i].Era = s.era
		if row := s.history[i]; row.Removed {
			delete(s.rows, row.Key)
		} else {
			s.rows[row.Key] = row
		}
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = hanging
}

// waitIfHanging blocks until ctx ends if the store is hanging.
func (s *fakeStore) waitIfHanging(ctx context.Context) error {
	s.mu.Lock()
	hanging := s.hanging
	s.mu.Unlock()
	if !hanging {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) Read(ctx context.Context, _ string) (Batch, error) {
	if err := s.waitIfHanging(ctx); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Batch{}, errDown
	}
	return Batch{Rows: slices.Collect(maps.Values(s.rows)), Revision: s.revision, Era: s.era}, nil
}

func (s *fakeStore) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Batch, error) {
	if err := s.waitIfHanging(ctx); err != nil {
		return Batch{}, err
	}
	end := time.Now().Add(wait)
	for {
		b, err := s.changes(table, after.Revision)
		if err != nil || len(b.Rows) > 0 || !time.Now().Before(end) {
			return b, err
		}
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) changes(table string, after uint64) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Batch{}, errDown
	}
	if after < s.oldest || after > s.revision {
		return Batch{}, &GapError{Table: table, After: after}
	}
	var rows []Row
	for _, r := range s.history {
		if r.Revision > after {
			rows = append(rows, r)
		}
	}
	return Batch{Rows: rows, Revision: s.revision, Era: s.era}, nil
}

func (s *fakeStore) Write(context.Context, Change) (uint64, error)     { return 0, nil }
func (s *fakeStore) Put(context.Context, string, string, []byte) error { return nil }
func (s *fakeStore) Remove(context.Context, string, string) error      { return nil }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// view holds the rows that a watcher last reported.
type view struct {
	mu   sync.Mutex
	rows map[string]string
}

func (v *view) update(_ time.Time, rows map[string]Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rows = map[string]string{}
	for k, r := range rows {
		v.rows[k] = string(r.Value)
	}
}

func (v *view) has(key string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.rows[key]
	return ok
}

func (v *view) equals(want map[string]string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !maps.Equal(v.rows, want) {
		return fmt.Errorf("view %v, want %v", v.rows, want)
	}
	return nil
}

func run(t interface{ Cleanup(func()) }, s *fakeStore, options WatchOptions) *view {
	v := &view{}
	ctx, cancel := context.WithCancel(context.Background())
	w := NewWatcher(options, s, v.update, quietLog())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return v
}

const (
	testPollInterval = 900 * time.Millisecond
	testRemovalDelay = 2 * time.Second
)

func TestChangeIsSeenWithinThePollInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("a", "1")
		v := run(t, s, WatchOptions{Table: "x", Pace: Pace{PollInterval: testPollInterval}})
		time.Sleep(testPollInterval)
		s.set("b", "2")
		s.drop("a")
		time.Sleep(testPollInterval + 10*time.Millisecond)
		if err := v.equals(map[string]string{"b": "2"}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestGapCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("a", "1")
		v := run(t, s, WatchOptions{Table: "x", Pace: Pace{LongPoll: time.Second}})
		time.Sleep(100 * time.Millisecond)
		s.setDown(true)
		s.drop("a")
		s.set("b", "2")
		s.compact()
		s.setDown(false)
		time.Sleep(3 * time.Second)
		if err := v.equals(map[string]string{"b": "2"}); err != nil {
			t.Fatal(err)
		}
	})
}

// maxRecoveryTime is the longest time from the end of an outage until a call
// succeeds: the timeout of a call in flight and the backoff after it.
const maxRecoveryTime = callTimeoutMargin + maxBackoff + 10*time.Millisecond

// A read of the whole table does not long-poll, so its timeout does not include
// the long-poll time. Otherwise an instance that starts while the store gives
// no response would become ready late after the outage.
func TestFullReadTimeoutExcludesLongPoll(t *testing.T) {
	for outage := 500 * time.Millisecond; outage < 8*time.Second; outage += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			s.set("a", "1")
			s.setHanging(true)
			v := run(t, s, WatchOptions{Table: "x", Pace: Pace{LongPoll: 2 * time.Second}})
			time.Sleep(outage)
			s.setHanging(false)
			time.Sleep(maxRecoveryTime)
			if !v.has("a") {
				t.Errorf("store hanging for %s: nothing read %s after its recovery", outage, maxRecoveryTime)
			}
		})
	}
}

// A change that the watcher of its own table reads late was made no later than
// the first response to any watcher that reports the store at the change's
// revision or later.
func TestRevisionsTellWhenAChangeWasMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("a", "1")
		var status StoreStatus
		run(t, s, WatchOptions{Table: "polled", Pace: Pace{PollInterval: testPollInterval}, Status: &status})
		time.Sleep(10 * time.Second)
		made := time.Now()
		s.set("b", "1")
		time.Sleep(3 * time.Second)
		for range 300 {
			s.set("c", "1")
			time.Sleep(testPollInterval)
		}
		if at := status.ReachedAt(Version{Revision: 2}); !at.IsZero() {
			t.Errorf("change made at %s: ReachedAt returns %s, want the zero time since the record has been pruned", made, at)
		}
		made = time.Now()
		s.set("d", "1")
		time.Sleep(3 * time.Second)
		if late := status.ReachedAt(Version{Revision: 303}).Sub(made); late < 0 || late > testPollInterval {
			t.Errorf("ReachedAt is %s after the change, want within the poll interval", late)
		}
		if at := status.ReachedAt(Version{Revision: 304}); !at.IsZero() {
			t.Errorf("ReachedAt returns %s for a future revision", at)
		}
	})
}

// A long-polling call that was in flight when the store stopped responding must
// not delay the watcher once another watcher has found that the store is back.
func TestReturnOfTheStoreIsShared(t *testing.T) {
	for outage := 2500 * time.Millisecond; outage < 10*time.Second; outage += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			s.set("a", "1")
			var status StoreStatus
			run(t, s, WatchOptions{Table: "polled", Pace: Pace{PollInterval: testPollInterval}, Status: &status})
			v := run(t, s, WatchOptions{Table: "x", Pace: Pace{LongPoll: 2 * time.Second}, Status: &status})
			time.Sleep(time.Second)
			s.setHanging(true)
			time.Sleep(outage)
			s.setHanging(false)
			s.set("b", "1")
			time.Sleep(maxRecoveryTime)
			if !v.has("b") {
				t.Errorf("store hanging for %s: change not read %s after its recovery", outage, maxRecoveryTime)
			}
		})
	}
}

// A row that expired during an outage may be written again within the removal
// delay. A row that is not written again is removed after the delay.
func TestRemovalDuringAnOutageIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("lapsed", "1")
		s.set("gone", "1")
		v := run(t, s, WatchOptions{Table: "x", Pace: Pace{PollInterval: testPollInterval}, RemovalDelay: testRemovalDelay})
		time.Sleep(testPollInterval)
		s.setDown(true)
		time.Sleep(4 * time.Second)
		s.drop("lapsed")
		s.drop("gone")
		s.setDown(false)
		time.Sleep(time.Second)
		if !v.has("lapsed") || !v.has("gone") {
			t.Fatal("removals applied at once after an outage")
		}
		s.set("lapsed", "2")
		time.Sleep(2500 * time.Millisecond)
		if err := v.equals(map[string]string{"lapsed": "2"}); err != nil {
			t.Fatal(err)
		}
	})
}

// An instance that was partitioned from the store must not delay a removal that
// the other instances saw in time. Found by simulation (nappy-bank-front,
// scale-2, seed 39991902298): the removal of an endpoint was still delayed 12 s
// after it had left.
func TestRemovalDuringPartitionIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("left", "1")
		always := time.Now()
		v := run(t, s, WatchOptions{Table: "x", Pace: Pace{PollInterval: testPollInterval}, RemovalDelay: testRemovalDelay, ReachableSince: func() time.Time { return always }})
		time.Sleep(testPollInterval)
		s.setDown(true)
		time.Sleep(12 * time.Second)
		s.drop("left")
		s.setDown(false)
		time.Sleep(maxBackoff + 10*time.Millisecond)
		if v.has("left") {
			t.Fatal("the removal was delayed although the store had no outage")
		}
	})
}

// A store that is restored from an older copy has lost the latest changes. Their
// effect stays in force until the writers have written again, and a removal or
// an older state that nobody writes again is applied after the delay.
func TestRestoreKeepsWhatIsWrittenAgain(t *testing.T) {
	for _, longPoll := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			s.set("drain", "ready") // 1
			s.set("stale", "old")   // 2
			s.set("left", "here")   // 3
			v := run(t, s, WatchOptions{Table: "x", Pace: Pace{LongPoll: longPoll, PollInterval: testPollInterval}})
			time.Sleep(testPollInterval + 10*time.Millisecond)
			s.set("drain", "draining")
			s.set("stale", "new")
			s.set("order", "given")
			s.set("lost", "for good")
			s.drop("left")
			time.Sleep(testPollInterval + 10*time.Millisecond)
			before := map[string]string{"drain": "draining", "stale": "new", "order": "given", "lost": "for good"}
			if err := v.equals(before); err != nil {
				t.Fatal(err)
			}
			s.restore(3)
			time.Sleep(testPollInterval + 10*time.Millisecond)
			before["left"] = "here"
			if err := v.equals(before); err != nil {
				t.Fatalf("after the restore: %v", err)
			}
			s.set("drain", "draining") // 4, a revision that was issued before
			s.set("order", "given")
			s.drop("left")
			time.Sleep(testPollInterval + 10*time.Millisecond)
			delete(before, "left")
			if err := v.equals(before); err != nil {
				t.Fatalf("after they were written again: %v", err)
			}
			time.Sleep(defaultRestoreDelay + 10*time.Millisecond)
			if err := v.equals(map[string]string{"drain": "draining", "stale": "old", "order": "given"}); err != nil {
				t.Fatalf("after the delay: %v", err)
			}
		})
	}
}

// After a restore, a watcher whose call the store holds reads its table as soon as
// another watcher has noticed the new era, although the revisions have reached the
// one that it waits for.
func TestNewEraIsNoticedByAllWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, value := range []string{"1", "2", "3"} {
			s.set("catalog", value)
		}
		status := new(StoreStatus)
		v := run(t, s, WatchOptions{Table: "held", Pace: Pace{LongPoll: 2 * time.Second}, Status: status})
		run(t, s, WatchOptions{Table: "polled", Pace: Pace{PollInterval: testPollInterval}, Status: status})
		time.Sleep(10 * time.Millisecond)
		s.restore(1)
		s.set("other", "1")
		s.set("catalog", "4") // with the revision that is known
		time.Sleep(testPollInterval + 10*time.Millisecond)
		if err := v.equals(map[string]string{"catalog": "4", "other": "1"}); err != nil {
			t.Error(err)
		}
	})
}

// A response of the previous era that arrives late changes nothing, and the
// revisions of the previous era say nothing about those of the next one.
func TestLateResponseOfAnEarlierEraIsIgnored(t *testing.T) {
	var status StoreStatus
	now := time.Unix(100, 0)
	status.observeVersion(Version{Era: 1, Revision: 9}, now)
	status.observeVersion(Version{Era: 2, Revision: 5}, now.Add(time.Second))
	if era := status.observeVersion(Version{Era: 1, Revision: 11}, now.Add(2*time.Second)); era != 2 {
		t.Fatalf("latest era is %d, want 2", era)
	}
	if at := status.ReachedAt(Version{Era: 1, Revision: 9}); !at.IsZero() {
		t.Fatalf("revision of the previous era reached at %s, want unknown", at)
	}
	status.observeVersion(Version{Era: 2, Revision: 7}, now.Add(3*time.Second))
	if at := status.ReachedAt(Version{Era: 2, Revision: 6}); !at.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("revision of the latest era reached at %s, want %s", at, now.Add(3*time.Second))
	}
	if at := status.ReachedAt(Version{Era: 2, Revision: 9}); !at.IsZero() {
		t.Fatalf("revision 9 of the latest era reached at %s, want unknown", at)
	}
}

// countedReads counts the reads of a store.
type countedReads struct {
	*fakeStore
	reads atomic.Int32
}

func (c *countedReads) Read(ctx context.Context, table string) (Batch, error) {
	c.reads.Add(1)
	return c.fakeStore.Read(ctx, table)
}

// A relayed read from a source that has not noticed the latest era is repeated
// with pauses.
func TestSourceInAnEarlierEraIsReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countedReads{fakeStore: newFakeStore()}
		s.set("a", "1")
		var status StoreStatus
		status.observeVersion(Version{Era: 1, Revision: 1}, time.Now())
		v := &view{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		w := NewWatcher(WatchOptions{Table: "x", Status: &status}, s, v.update, quietLog())
		_ = w.Run(ctx)
		if n, limit := s.reads.Load(), int32(5*time.Second/initialBackoff)+2; n > limit {
			t.Errorf("%d reads in 5 s, want at most %d", n, limit)
		}
		if v.has("a") {
			t.Error("a row of the earlier era is in force")
		}
	})
}

// Whatever the store does, a watcher whose calls have succeeded for a while
// shows the store's content, and a row never goes back to an older value.
func TestWatcherConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			v := run(t, s, WatchOptions{Table: "x", Pace: Pace{PollInterval: testPollInterval}, RemovalDelay: testRemovalDelay})
			for i := range rapid.IntRange(1, 25).Draw(r, "steps") {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
				switch rapid.IntRange(0, 6).Draw(r, "do") {
				case 0, 1:
					s.set(key, fmt.Sprint(i))
				case 2:
					s.drop(key)
				case 3:
					s.compact()
				case 4:
					s.setDown(true)
				case 5:
					s.setDown(false)
				case 6:
					if s.oldest == 0 {
						s.restore(rapid.IntRange(0, len(s.history)).Draw(r, "keep"))
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond)
			}
			s.setDown(false)
			time.Sleep(6 * time.Second)
			want := map[string]string{}
			for k, row := range s.rows {
				want[k] = string(row.Value)
			}
			if err := v.equals(want); err != nil {
				r.Fatal(err)
			}
		})
	})
}
