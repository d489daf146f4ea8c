package duties

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a read after each write that has returned the row's revision, and
// against a duty that ends where the store returns none.
func TestStoreCallsOfAHolder(t *testing.T) {
	for _, hides := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			w.hidesRevision = hides
			start(t, w.newRunner(t, "a", 1))
			time.Sleep(22 * time.Second)
			w.mu.Lock()
			reads, writes, before := w.reads, w.writes, len(w.windows)
			w.mu.Unlock()
			time.Sleep(20 * testWindow)
			w.mu.Lock()
			defer w.mu.Unlock()
			reads, writes = w.reads-reads, w.writes-writes
			wantReads := 0
			if hides {
				wantReads = 20
			}
			if reads != wantReads || writes != 20 || len(w.windows)-before != 20 {
				t.Errorf("revision hidden %v: %d reads and %d writes for %d windows, want %d and 20 for 20", hides, reads, writes, len(w.windows)-before, wantReads)
			}
		})
	}
}
