package duties

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/usage"
)

// byteFleet is a fleet of runners that exchange payloads as in a large fleet: each
// instance with the two hubs of its failure domain, each hub with its fellow and with
// one hub of each other failure domain.
type byteFleet struct {
	runners []*Runner
	sent    []int // bytes, by instance
	got     []int
}

// pass passes a payload between instances.
func (f *byteFleet) pass(from, to int, relation Relation) {
	now := time.Now()
	peer := func(i int) Peer {
		return Peer{Name: instanceName(i), Started: int64(i + 1), Relation: relation}
	}
	p := f.runners[from].Payload(now, peer(to))
	f.sent[from] += len(p)
	f.got[to] += len(p)
	f.runners[to].Receive(now, peer(from), p)
}

func instanceName(i int) string { return fmt.Sprintf("instance-%03d", i) }

// Guards against payloads of more than 3 KB a second for an instance that is no hub,
// and against reports that lack counts, with 85 teams in 6 failure domains.
func TestBytesOfPayloads(t *testing.T) {
	const domains, teams, length = 6, 85, 20
	for _, c := range []struct {
		name      string
		instances int
		perSecond int // requests of an instance
	}{
		{"139 instances, 12 requests a second each", 139, 12},
		{"139 instances, all teams active each second", 139, teams},
		{"300 instances, all teams active each second", 300, teams},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			f := &byteFleet{sent: make([]int, c.instances), got: make([]int, c.instances)}
			for i := range c.instances {
				r := w.newRunnerWith(t, instanceName(i), int64(i+1), func(*Settings) {})
				r.usage.counter = usage.NewCounter(usage.Source{Instance: instanceName(i), Started: int64(i + 1), Domain: fmt.Sprintf("region-%d-zone", i%domains)}, testWindow)
				if i > 0 {
					r.performers[0].rank = func() int { return -1 }
				}
				f.runners = append(f.runners, r)
				start(t, r)
			}
			truth := map[int64]usage.Counts{}
			const perSecond = 2 // exchanges
			for tick := range length * perSecond {
				for i, r := range f.runners {
					for k := range c.perSecond / perSecond {
						team := fmt.Sprintf("tenant-%03d", (i*7+(tick%perSecond)*c.perSecond/perSecond+k+tick/perSecond*c.perSecond)%teams)
						r.usage.count(time.Now(), team)
						window := usage.Window(time.Now(), testWindow)
						if truth[window] == nil {
							truth[window] = usage.Counts{}
						}
						truth[window][team]++
					}
				}
				for i := range f.runners {
					for hub := i % domains; hub < 2*domains; hub += domains {
						switch {
						case i >= 2*domains:
							f.pass(i, hub, RelationCollector)
							f.pass(hub, i, RelationOther)
						case hub != i:
							f.pass(i, hub, RelationFellowHub)
						}
					}
					for other := i / domains * domains; i < 2*domains && other < (i/domains+1)*domains; other++ {
						if other != i {
							f.pass(i, other, RelationRemoteHub)
						}
					}
				}
				time.Sleep(time.Second / perSecond)
			}
			perS := func(bytes int) float64 { return float64(bytes) / length / 1000 }
			most, hubs := 0, 0
			for i := range f.runners {
				if i < 2*domains {
					hubs = max(hubs, f.sent[i]+f.got[i])
				} else {
					most = max(most, f.sent[i]+f.got[i])
				}
			}
			t.Logf("%s: at most %.2f KB/s of an instance, sent and received, %.1f KB/s of a hub", c.name, perS(most), perS(hubs))
			if perS(most) >= 3 {
				t.Errorf("%s: %.2f KB/s of an instance that is no hub", c.name, perS(most))
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			checked := 0
			for window, counts := range w.counts {
				if usage.End(window, testWindow).After(time.Now().Add(-7 * time.Second)) {
					continue
				}
				checked++
				if !maps.Equal(counts, truth[window]) && truth[window] != nil {
					t.Errorf("%s: window %d is not complete", c.name, window)
				}
			}
			if checked < 2 {
				t.Errorf("%s: %d windows were reported", c.name, checked)
			}
		})
	}
}
