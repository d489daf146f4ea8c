package generation

import (
	"testing"
	"time"
)

var (
	start      = time.Unix(2_000_000, 0)
	firstHead  = Head{Generation: 1, Digest: "d1"}
	secondHead = Head{Generation: 2, Digest: "d2"}
)

func at(domain string) Location {
	return Location{Instance: "i-" + domain, Region: domain[:len(domain)-2], FailureDomain: domain}
}

// newInformedTracker returns the tracker of an instance that read the store at
// start.
func newInformedTracker(domain string) *Tracker {
	tracker := NewTracker(at(domain), DefaultSettings("kano"))
	tracker.StoreReadSucceeded(start, firstHead)
	tracker.Adopt(firstHead, start, true)
	return tracker
}

func failingReport(domain string, head Head, run time.Duration) Report {
	location := at(domain)
	location.Instance += "-peer"
	return Report{From: location, Head: head, StoreFailing: true, LastFailureAge: 0, FirstFailureAge: run}
}

func TestOutageNeedsWitnesses(t *testing.T) {
	const run = 2 * time.Second
	tests := []struct {
		desc, self string
		peers      []Report
		extended   bool
	}{
		{"two domains of the store's region", "kano-a", []Report{failingReport("kano-b", firstHead, run)}, true},
		{"one domain of the store's region and a remote one", "kano-a", []Report{failingReport("kaduna-a", firstHead, run)}, true},
		{"remote instance with a witness in the store's region", "kaduna-a", []Report{failingReport("kano-b", firstHead, run)}, true},
		{"only the own domain", "kano-a", []Report{failingReport("kano-a", firstHead, run)}, false},
		{"only remote domains", "kaduna-a", []Report{failingReport("kaduna-b", firstHead, run), failingReport("sokoto-a", firstHead, run)}, false},
		{"peer that is not silent", "kano-a", []Report{{From: at("kano-b"), Head: firstHead}}, false},
		{"peer whose run began too late", "kano-a", []Report{failingReport("kano-b", firstHead, 0)}, false},
		{"peer that follows a newer head", "kano-a", []Report{failingReport("kano-b", secondHead, run)}, false},
		{"newer head reported by another peer", "kano-a", []Report{{From: at("kaduna-a"), Head: secondHead}, failingReport("kano-b", firstHead, run)}, false},
		{"peer that follows an older head", "kano-a", []Report{failingReport("kano-b", Head{}, run)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tracker := newInformedTracker(tt.self)
			before := tracker.FreshUntil()
			tracker.StoreReadFailed(start.Add(time.Second))
			exchangedAt := start.Add(DefaultMaxReadGap + time.Second)
			for _, report := range tt.peers {
				tracker.PeerReported(exchangedAt, exchangedAt, report)
			}
			if got := tracker.FreshUntil().After(before); got != tt.extended {
				t.Errorf("extended = %v, want %v", got, tt.extended)
			}
		})
	}
}

// TestIsolatedReadsDoNotCount covers an instance whose reads failed while it
// reached only neighbours that an isolated instance reaches too. Those
// failures must not extend its knowledge when a witness reports an outage
// later.
func TestIsolatedReadsDoNotCount(t *testing.T) {
	tests := []struct{ self, neighbour, witness string }{
		{"kano-a", "kano-a", "kaduna-a"},
		{"kaduna-a", "kaduna-b", "kano-b"},
	}
	for _, tt := range tests {
		tracker := newInformedTracker(tt.self)
		neighbour := Report{From: at(tt.neighbour), Head: firstHead}
		neighbour.From.Instance += "-neighbour"
		now := start
		for range 10 {
			now = now.Add(time.Second)
			tracker.StoreReadFailed(now)
			tracker.PeerReported(now, now, neighbour)
		}
		tracker.PeerReported(now, now, failingReport(tt.witness, firstHead, now.Sub(start)))
		if !tracker.FreshUntil().Equal(start.Add(DefaultStaleAfter)) {
			t.Errorf("%s: fresh for %v", tt.self, tracker.FreshUntil().Sub(start))
		}
	}
}

// TestFailureRunEndsAtGap checks that failed reads more than MaxReadGap apart do
// not count as one run: the store may have answered other instances in between.
func TestFailureRunEndsAtGap(t *testing.T) {
	var s failureRun
	s.extend(start, DefaultMaxReadGap)
	s.extend(start.Add(DefaultMaxReadGap), DefaultMaxReadGap)
	if !s.first.Equal(start) {
		t.Errorf("a run without a gap starts %v late", s.first.Sub(start))
	}
	late := start.Add(2*DefaultMaxReadGap + time.Millisecond)
	s.extend(late, DefaultMaxReadGap)
	if !s.first.Equal(late) {
		t.Error("a run continues across a gap")
	}
	s.extend(start, DefaultMaxReadGap)
	if !s.last.Equal(late) {
		t.Error("a delayed failure moved the run back")
	}
}

func TestAdopt(t *testing.T) {
	tracker := newInformedTracker("kano-a")
	if !tracker.Adopt(secondHead, time.Time{}, false) {
		t.Fatal("a newer head was refused")
	}
	for _, head := range []Head{firstHead, secondHead, {Generation: 2, Digest: "other"}} {
		if tracker.Adopt(head, start.Add(time.Hour), false) || tracker.Head() != secondHead {
			t.Errorf("adopted %v after %v", head, secondHead)
		}
	}
	if !tracker.FreshUntil().Equal(start.Add(DefaultStaleAfter)) {
		t.Error("a refused head refreshed the knowledge")
	}
}

func TestKnowledgeOfAnotherHeadDoesNotCount(t *testing.T) {
	tracker := newInformedTracker("kano-a")
	later := start.Add(time.Second)
	for _, head := range []Head{secondHead, {Generation: 1, Digest: "other"}, {}} {
		tracker.PeerReported(later, later, Report{From: at("kano-b"), Head: head, Known: true})
		tracker.StoreReadSucceeded(later, head)
	}
	if !tracker.FreshUntil().Equal(start.Add(DefaultStaleAfter)) {
		t.Error("knowledge of another head refreshed that of the followed one")
	}
}

func TestReadyByPeers(t *testing.T) {
	fresh := func(domain string, head Head) Report { return Report{From: at(domain), Head: head, Known: true} }
	stale := fresh("kano-b", firstHead)
	stale.Age = DefaultStaleAfter
	tests := []struct {
		desc  string
		peers []Report
		ready bool
	}{
		{"two failure domains", []Report{fresh("kano-b", firstHead), fresh("kaduna-a", firstHead)}, true},
		{"one failure domain", []Report{fresh("kano-b", firstHead)}, false},
		{"a newer head is known", []Report{fresh("kano-b", firstHead), fresh("kaduna-a", firstHead), fresh("sokoto-a", secondHead)}, false},
		{"a peer knows nothing", []Report{fresh("kano-b", firstHead), {From: at("kaduna-a")}}, false},
		{"all knowledge is stale", []Report{stale, {From: at("kaduna-a"), Head: firstHead}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tracker := NewTracker(at("kano-a"), DefaultSettings("kano"))
			tracker.Adopt(firstHead, time.Time{}, false)
			for _, report := range tt.peers {
				tracker.PeerReported(start, start, report)
			}
			if got := tracker.Ready(start); got != tt.ready {
				t.Errorf("ready = %v, want %v", got, tt.ready)
			}
		})
	}
}
