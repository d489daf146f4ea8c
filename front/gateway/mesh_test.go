package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// After a restart with a clock that was set back, an instance's reports are
// accepted. A late report of its previous process is not.
func TestRestartWithAClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newNetwork(t, 1, nil)
		m := all[0]
		first := report{Name: "other", Peers: "p", Region: "west", Started: 2_000, Callers: "old"}
		second := report{Name: "other", Peers: "p", Region: "west", Started: 1_000, Callers: "new", Ready: true}
		m.receiveReport(first, 0)
		time.Sleep(aliveTimeout)
		m.receiveReport(second, 0)
		m.receiveReport(first, 0)
		m.mu.Lock()
		got := m.members["other"].Callers
		m.mu.Unlock()
		if got != "new" {
			t.Errorf("the report of the %s process is in force", got)
		}
	})
}

// The instances of a region sync more often while endpoints are busy, and only
// then.
func TestBusyInstancesSyncMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, all := newNetwork(t, 2, nil)
		endpoint := catalog.Endpoint{ID: "e", Service: "s", Address: "e", FailureDomain: "east-1", Version: "v1", Slots: 2}
		for _, m := range all {
			m.placer.SetEndpoints(time.Now(), []catalog.Endpoint{endpoint})
		}
		calls := func() (local, remote int) {
			n.takeCrossRegionCalls()
			time.Sleep(10 * time.Second)
			return n.sameRegionCalls(), n.takeCrossRegionCalls()
		}
		time.Sleep(time.Second)
		idleLocal, idleRemote := calls()
		for range 2 {
			if _, err := all[0].placer.Choose(time.Now(), placing.Query{Service: "s", Route: "r", Goal: time.Second, GoalLeft: time.Second, DeadlineLeft: time.Minute}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * syncInterval) // long enough for all to receive a report
		local, remote := calls()
		if local < idleLocal*3/2 || remote > idleRemote+1 {
			t.Errorf("busy: %d calls inside and %d between regions; idle: %d and %d", local, remote, idleLocal, idleRemote)
		}
	})
}
