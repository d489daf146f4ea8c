package configuration

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
	"github.com/cardamomfront/cardamomfront/steer/generation"
)

const staleAfter = generation.DefaultStaleAfter

func regionPartitioned(a, b string) bool {
	kano := func(domain string) bool { return domain[:4] == "kano" }
	return kano(a) != kano(b)
}

func domainPartitioned(a, b string) bool { return (a == "kano-a") != (b == "kano-a") }

// TestWithdrawnKey withdraws a key during a network partition. It has one case
// for each row of the table of partitions in the operators' documentation.
func TestWithdrawnKey(t *testing.T) {
	tests := []struct {
		desc  string
		fault func(f *fleet)
		// before holds the key marks a minute after the cut; kept and withdrawn
		// hold those of the two keys StaleAfter after the withdrawal.
		before, kept, withdrawn string
	}{
		{"no partition", func(*fleet) {}, "++++++", "++++++", "uuuuuu"},
		{
			"one instance of the store's region cut from the store",
			func(f *fleet) { f.members[0].storeCut.Store(true) },
			"++++++", "++++++", "uuuuuu",
		},
		{
			"one instance of another region cut from the store",
			func(f *fleet) { f.members[3].storeCut.Store(true) },
			"++++++", "++++++", "uuuuuu",
		},
		{"region cut", func(f *fleet) { f.partition(regionPartitioned) }, "++ssss", "++ssss", "uussss"},
		{"failure domain cut", func(f *fleet) { f.partition(domainPartitioned) }, "s+++++", "s+++++", "suuuuu"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				var grants []*Grant
				for _, m := range f.members {
					grant, err := m.ring.Authenticate(withdrawnKey)
					if err != nil {
						t.Fatal(err)
					}
					grants = append(grants, grant)
				}
				tt.fault(f)
				time.Sleep(time.Minute)
				if got := f.keyMarks(withdrawnKey); got != tt.before {
					t.Errorf("a minute into the cut: %q, want %q", got, tt.before)
				}
				f.mustPromote(1, true)
				time.Sleep(staleAfter)
				if got := f.keyMarks(withdrawnKey); got != tt.withdrawn {
					t.Errorf("withdrawn key: %q, want %q", got, tt.withdrawn)
				}
				if got := f.keyMarks(keptKey); got != tt.kept {
					t.Errorf("other key: %q, want %q", got, tt.kept)
				}
				for i, grant := range grants {
					if grant.Revalidate() == nil {
						t.Errorf("instance %d: an upload that began with the withdrawn key is still allowed", i)
					}
				}
			})
		})
	}
}

// TestStoreDown covers an outage of the store of up to an hour. No key can be
// withdrawn during it and all keys keep working; a withdrawal right after it
// must be in force within StaleAfter.
func TestStoreDown(t *testing.T) {
	tests := []struct {
		faults  standin.Faults
		minutes int
	}{{standin.Faults{Freeze: true}, 60}, {standin.Faults{Down: true}, 5}, {standin.Faults{Refuse: true}, 5}}
	for _, tt := range tests {
		withFleet(t, func(t *testing.T, f *fleet) {
			f.store.SetFaults(tt.faults)
			for range tt.minutes {
				time.Sleep(time.Minute)
				if got := f.keyMarks(withdrawnKey); got != "++++++" {
					t.Fatalf("%+v: key works on %q", tt.faults, got)
				}
			}
			if _, err := f.promote(1, true); err == nil {
				t.Error("a promotion was accepted without the store")
			}
			f.store.SetFaults(standin.Faults{})
			f.mustPromote(1, true)
			time.Sleep(staleAfter)
			if got := f.keyMarks(withdrawnKey); got != "uuuuuu" {
				t.Errorf("%+v: withdrawn key works on %q", tt.faults, got)
			}
		})
	}
}

// TestStoreSlow covers a store that responds after ReadSoftTimeout.
func TestStoreSlow(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 3 * time.Second} {
		withFleet(t, func(t *testing.T, f *fleet) {
			f.store.SetFaults(standin.Faults{Delay: delay})
			time.Sleep(time.Minute)
			f.store.SetFaults(standin.Faults{})
			f.mustPromote(1, true)
			f.store.SetFaults(standin.Faults{Delay: delay})
			time.Sleep(staleAfter)
			if got := f.keyMarks(withdrawnKey); got != "uuuuuu" {
				t.Errorf("store delay %v: withdrawn key works on %q", delay, got)
			}
		})
	}
}

// TestStoreDownRightAfterAcceptance covers a promotion that no instance could
// read from the store. The operators' tool sends it to one instance, which
// announces it to the others.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		promotion := f.mustPromote(1, true)
		f.store.SetFaults(standin.Faults{Freeze: true})
		if err := f.members[4].w.ApplyHead(t.Context(), promotion.Head, exampleDocument(t, true)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * peerDelay)
		if got := f.keyMarks(withdrawnKey); got != "uuuuuu" {
			t.Errorf("withdrawn key works on %q", got)
		}
		time.Sleep(staleAfter)
		if got := f.keyMarks(keptKey); got != "++++++" {
			t.Errorf("other key works on %q", got)
		}
	})
}

func TestRestartedInstance(t *testing.T) {
	tests := []struct {
		desc       string
		fault      func(f *fleet)
		ready      string
		generation uint64
	}{
		{"store answers", func(*fleet) {}, "++++++", 2},
		{"store down", func(f *fleet) { f.store.SetFaults(standin.Faults{Freeze: true}) }, "++++++", 2},
		{"region cut", func(f *fleet) { f.partition(regionPartitioned) }, "++nsss", 2},
		{"cut from everything", func(f *fleet) {
			f.partition(func(a, b string) bool { return (a == "kaduna-a") != (b == "kaduna-a") })
		}, "++n+++", 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				f.mustPromote(1, false)
				time.Sleep(3 * time.Second)
				tt.fault(f)
				time.Sleep(10 * time.Second)
				f.members[2].stop()
				restarted := f.start(2, "kaduna-a")
				time.Sleep(10 * time.Second)
				if got := f.keyMarks(keptKey); got != tt.ready {
					t.Errorf("keys work on %q, want %q", got, tt.ready)
				}
				if got := restarted.w.Current().Head.Generation; got != tt.generation {
					t.Errorf("generation %d, want %d", got, tt.generation)
				}
			})
		})
	}
}

// TestStoreReadRate bounds the reads of the store per instance, while it works
// and while it refuses calls.
func TestStoreReadRate(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		const seconds = 600
		before := f.store.Counts().Reads
		time.Sleep(seconds * time.Second)
		perSecond := float64(f.store.Counts().Reads-before) / seconds / float64(len(f.members))
		if perSecond < 0.9 || perSecond > 1.1 {
			t.Errorf("%.2f reads per instance and second, want about 1", perSecond)
		}
		f.store.SetFaults(standin.Faults{Refuse: true})
		before = f.store.Counts().Reads
		time.Sleep(seconds * time.Second)
		perSecond = float64(f.store.Counts().Reads-before) / seconds / float64(len(f.members))
		if perSecond > 1 {
			t.Errorf("%.2f reads per instance and second of a store that refuses, want at most 1", perSecond)
		}
	})
}

func TestFollowRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "kano-a")
		w := f.members[0].w
		content := exampleDocument(t, false)
		first := f.mustPromote(0, false)
		time.Sleep(2 * time.Second)
		ctx := context.Background()
		err := w.ApplyHead(ctx, generation.Head{Generation: 9, Digest: first.Digest}, exampleDocument(t, true))
		var mismatch *DigestError
		if !errors.As(err, &mismatch) {
			t.Errorf("content with another digest: %v", err)
		}
		forged := generation.Head{Generation: 9, Digest: first.Digest}
		var refused *HeadRefusedError
		if err := w.ApplyHead(ctx, forged, content); !errors.As(err, &refused) {
			t.Errorf("a head that the store does not name: %v", err)
		}
		other := generation.Head{Generation: 1, Digest: "sha256:other"}
		if relation := w.tracker.ObserveHead(other); relation != generation.Forked {
			t.Errorf("relation = %v", relation)
		}
		if err := w.ApplyHead(ctx, first.Head, content); err != nil {
			t.Errorf("the head in force was refused: %v", err)
		}
		if got := w.Current().Head; got != first.Head {
			t.Errorf("head = %v, want %v", got, first.Head)
		}
	})
}

// Guards against a snapshot that becomes stale while an instance waits for a document from a
// peer that announced it and does not respond.
func TestAnnouncementOfAnUnreachablePeer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		m := f.members[0]
		m.storeCut.Store(true)
		for _, other := range f.members[1:] {
			other.unreachable.Store(true)
		}
		for time.Until(m.w.Current().FreshUntil) > time.Second {
			time.Sleep(time.Millisecond)
		}
		promotion := f.mustPromote(1, true)
		m.storeCut.Store(false)
		m.w.enqueueAnnouncement(HeadAnnouncement{Head: promotion.Head, Sender: "1"})
		for range 3000 {
			time.Sleep(time.Millisecond)
			if !m.w.Current().Fresh(time.Now()) {
				t.Fatalf("stale at generation %d", m.w.Current().Head.Generation)
			}
		}
	})
}

// Guards against snapshots that become stale although the store responds, on instances
// whose peers have all stopped to respond.
func TestSnapshotsStayFreshWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, strings.Split(strings.Repeat("kano-a ", 16)+"kano-b", " ")...)
		f.mustPromote(0, false)
		time.Sleep(5 * time.Second)
		f.store.SetFaults(standin.Faults{Delay: 400 * time.Millisecond})
		for _, m := range f.members {
			m.unreachable.Store(true)
		}
		for range 20_000 {
			time.Sleep(50 * time.Millisecond)
			for _, m := range f.members {
				if !m.w.Current().Fresh(time.Now()) {
					t.Fatal("a snapshot is stale")
				}
			}
		}
	})
}

// Guards against a read of the store that does not refresh a snapshot, because an
// announcement of the same head was adopted while the read's document was loaded.
func TestReadThatIsAdoptedSecond(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		m := f.members[0]
		m.stop()
		time.Sleep(2 * time.Second)
		head := f.mustPromote(1, true).Head
		readAt := time.Now()
		m.w.handleAnnouncement(t.Context(), HeadAnnouncement{Head: head, Sender: "1"})
		m.w.handleHead(t.Context(), generation.Newer, observedHead{head: head, asOf: readAt, fromStore: true})
		if got := m.w.Current().FreshUntil.Sub(readAt); got != staleAfter {
			t.Errorf("fresh until %v after the read, want %v", got, staleAfter)
		}
	})
}
