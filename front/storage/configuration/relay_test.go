package configuration

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/front/storage/standin"
)

const (
	// domainReadShare is a failure domain's share of the store's reads per
	// second, for all uses together. Reads of the head row may take
	// maxHeadReads of them.
	domainReadShare = 2000.0 / 22
	maxHeadReads    = 10
	// maxPropagationTime is the target time for a promotion to be in force on
	// all instances.
	maxPropagationTime = 10 * time.Second
	largeDomainSize    = 300
)

// largeFleet returns a fleet of one failure domain of the design size, followed
// by single instances of other failure domains, with one generation in force.
func largeFleet(t *testing.T, others ...string) *fleet {
	domains := strings.Split(strings.Repeat("kano-a,", largeDomainSize)[:largeDomainSize*len("kano-a,")-1], ",")
	f := newFleet(t, append(domains, others...)...)
	f.mustPromote(0, false)
	time.Sleep(5 * time.Second)
	f.mustServe(withdrawnKey, "+")
	return f
}

// largeDomainMarks returns the keyMarks of the running members of the large
// failure domain.
func (f *fleet) largeDomainMarks(key string) string {
	var marks strings.Builder
	for i, mark := range f.keyMarks(key)[:largeDomainSize] {
		if !f.members[i].dead.Load() {
			marks.WriteRune(mark)
		}
	}
	return marks.String()
}

func (f *fleet) worksAnywhere(key string) bool { return strings.Contains(f.largeDomainMarks(key), "+") }

// mustServe checks that a key has the same mark on all running members of the
// large failure domain.
func (f *fleet) mustServe(key, mark string) {
	f.t.Helper()
	if got := f.largeDomainMarks(key); strings.Trim(got, mark) != "" {
		f.t.Fatalf("key works on %q, want all %q", got, mark)
	}
}

// storeLoad is the load on the store and the age of snapshots over a period.
type storeLoad struct {
	// peak and mean are the reads of the store per second.
	peak, mean float64
	// maxAge is the greatest age of an instance's snapshot.
	maxAge time.Duration
}

// measureLoad measures the load for a number of seconds.
func (f *fleet) measureLoad(seconds int) storeLoad {
	const steps = 20
	var l storeLoad
	first := f.store.Counts().Reads
	for range seconds {
		before := f.store.Counts().Reads
		for range steps {
			time.Sleep(time.Second / steps)
			l.maxAge = max(l.maxAge, f.maxSnapshotAge())
		}
		l.peak = max(l.peak, float64(f.store.Counts().Reads-before))
	}
	l.mean = float64(f.store.Counts().Reads-first) / float64(seconds)
	f.t.Logf("%.1f reads/s, peak %.0f; oldest snapshot %v", l.mean, l.peak, l.maxAge)
	if l.maxAge >= staleAfter {
		f.t.Errorf("oldest snapshot %v, stale after %v", l.maxAge, staleAfter)
	}
	return l
}

// maxSnapshotAge returns the greatest age of a snapshot on the running members
// of the large failure domain.
func (f *fleet) maxSnapshotAge() time.Duration {
	var oldest time.Duration
	for _, m := range f.members[:largeDomainSize] {
		if !m.dead.Load() {
			oldest = max(oldest, staleAfter-time.Until(m.w.Current().FreshUntil))
		}
	}
	return oldest
}

// readers returns the two readers of the large failure domain.
func (f *fleet) readers() []*member {
	var found []*member
	for _, m := range f.members[:largeDomainSize] {
		if len(m.w.topology().parents()) == 0 {
			found = append(found, m)
		}
	}
	return found
}

// leaf returns a member of the large failure domain that no peer polls.
func (f *fleet) leaf() *member {
	for _, m := range f.members[:largeDomainSize] {
		if topology := m.w.topology(); len(topology.children()) == 0 {
			return m
		}
	}
	return nil
}

// kill stops a member, which the directory still lists.
func (m *member) kill() {
	m.dead.Store(true)
	m.unreachable.Store(true)
	m.stop()
}

// withdraw withdraws a key and returns the time until no member accepts it. The
// kept key must work on all members throughout.
func (f *fleet) withdraw() time.Duration {
	f.t.Helper()
	f.mustPromote(1, true)
	started := time.Now()
	for f.worksAnywhere(withdrawnKey) {
		f.mustServe(keptKey, "+")
		time.Sleep(10 * time.Millisecond)
		if time.Since(started) > maxPropagationTime {
			f.t.Fatal("the withdrawn key still works somewhere")
		}
	}
	return time.Since(started)
}

func TestLargeFailureDomain(t *testing.T) {
	tests := []struct {
		desc  string
		fault func(f *fleet)
		// peak and mean bound the reads of the store per second.
		peak, mean float64
	}{
		{"at rest", func(*fleet) {}, maxHeadReads, maxHeadReads},
		{"one reader dead", func(f *fleet) { f.readers()[0].kill() }, maxHeadReads, maxHeadReads},
		{"one reader unreachable, but announcing", func(f *fleet) { f.readers()[0].unreachable.Store(true) }, maxHeadReads, maxHeadReads},
		{"both readers unreachable, but announcing", func(f *fleet) {
			for _, m := range f.readers() {
				m.unreachable.Store(true)
			}
		}, largeDomainSize, domainReadShare},
		{"both readers dead", func(f *fleet) {
			for _, m := range f.readers() {
				m.kill()
			}
		}, largeDomainSize, domainReadShare},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := largeFleet(t)
				tt.fault(f)
				if l := f.measureLoad(6); l.peak > tt.peak || l.mean > tt.mean {
					t.Errorf("%.1f reads a second, peak %.0f; want at most %.1f and %.0f", l.mean, l.peak, tt.mean, tt.peak)
				}
				t.Logf("in force after %v", f.withdraw())
			})
		})
	}
}

// TestLargeFailureDomainStoreDown covers a store that does not respond. The
// readers' snapshots must stay fresh through reports of their witnesses, and
// the relay trees must pass these on to all instances, as well as a promotion
// that no instance could read from the store. After a partition from the other
// failure domains, snapshots must become stale.
func TestLargeFailureDomainStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(t, "kano-b", "kaduna-a", "sokoto-a")
		promotion := f.mustPromote(1, true)
		f.store.SetFaults(standin.Faults{Freeze: true})
		f.measureLoad(15)
		if err := f.leaf().w.ApplyHead(t.Context(), promotion.Head, exampleDocument(t, true)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * peerDelay)
		f.mustServe(withdrawnKey, "u")
		f.measureLoad(5)
		f.partition(domainPartitioned)
		time.Sleep(20 * time.Second)
		f.mustServe(keptKey, "s")
	})
}
