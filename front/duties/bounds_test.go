package duties

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/duty"
	"github.com/cardamomfront/cardamomfront/steer/usage"
)

const testWindow = 5 * time.Second

// encode returns the payload of an instance with one part.
func encode(t *testing.T, seq uint64, p part) json.RawMessage {
	t.Helper()
	text, err := json.Marshal(payload{Seq: seq, Parts: map[Kind]part{KindUsage: p}})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against an instance that drops all its counts, since another one tells it of
// a due time in the far future.
func TestNoticeOfTheFutureDoesNotCloseWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r := w.newRunner(t, "b", 1)
		n := duty.Notice{Holder: "a", Started: 1, Token: 1, Due: time.Now().Add(time.Hour).UnixMilli(), Revision: 1}
		r.Receive(time.Now(), Peer{Name: "a", Started: 1}, encode(t, 1, part{Notice: &n}))
		r.usage.count(time.Now(), "team")
		if late, _ := r.usage.counts(); late != 0 {
			t.Errorf("%d counts of the current window are late", late)
		}
	})
}

// Guards against hubs that never tell each other anything again once what one of them
// lacks is larger than a payload.
func TestLargeCountsArriveInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		a, b := w.newRunner(t, "a", 1), w.newRunner(t, "b", 2)
		toA, toB := Peer{Name: "a", Started: 1, Relation: RelationFellowHub}, Peer{Name: "b", Started: 2, Relation: RelationFellowHub}
		const sources, teams = 300, 85
		for k := range int64(4) {
			for i := range sources {
				counts := usage.Counts{}
				for team := range teams {
					counts[fmt.Sprintf("team-%02d-of-the-test", team)] = 100_000
				}
				s := usage.SourceCounts{Source: usage.Source{Instance: fmt.Sprint("i", i), Started: 1, Domain: "d"}, Windows: map[int64]usage.Counts{usage.Window(time.Now(), testWindow) - k: counts}}
				a.usage.mu.Lock()
				a.usage.counter.Merge(time.Now(), usage.Delta{Sources: []usage.SourceCounts{s}})
				a.usage.mu.Unlock()
			}
		}
		largest := 0
		for range 10 {
			p := a.Payload(time.Now(), toB)
			largest = max(largest, len(p))
			b.Receive(time.Now(), toA, p)
			a.Receive(time.Now(), toB, b.Payload(time.Now(), toA))
			time.Sleep(payloadInterval)
		}
		for k := range int64(4) {
			total := b.usage.counter.Total(usage.Window(time.Now().Add(-10*payloadInterval), testWindow) - k)
			if len(total) != teams || total["team-00-of-the-test"] != sources*100_000 {
				t.Errorf("window %d before the current one: %d teams, the first with %d", k, len(total), total["team-00-of-the-test"])
			}
		}
		if largest > maxPayloadBytes {
			t.Errorf("a payload has %d bytes", largest)
		}
	})
}

// Guards against a long name that a payload makes an instance keep and pass on.
func TestLongHolderIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newWorld().newRunner(t, "b", 1)
		n := duty.Notice{Holder: strings.Repeat("x", 1000), Started: 1, Token: 1, Due: time.Now().UnixMilli(), Revision: 1}
		r.Receive(time.Now(), Peer{Name: "a", Started: 1}, encode(t, 1, part{Notice: &n}))
		if p := r.Payload(time.Now(), Peer{Name: "c", Relation: RelationCollector}); strings.Contains(string(p), "xxx") {
			t.Errorf("a name of 1000 bytes is passed on")
		}
	})
}

// Guards against a duty that nobody claims, and against reads without a pause, after
// a notice that tells of a version that the store does not have.
func TestNoticeOfAnUnknownVersionDoesNotEndTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r := w.newRunner(t, "b", 1)
		n := duty.Notice{Holder: "a", Started: 1, Token: 1, Due: time.Now().UnixMilli(), Revision: 1 << 50}
		r.Receive(time.Now(), Peer{Name: "a", Started: 1}, encode(t, 1, part{Notice: &n}))
		start(t, r)
		time.Sleep(40 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.windows) < 3 {
			t.Errorf("%d windows were reported", len(w.windows))
		}
		if w.reads > 40 {
			t.Errorf("%d reads in 40 s", w.reads)
		}
	})
}
