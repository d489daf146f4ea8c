package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// An instance whose clock was set back between two of its processes is heard
// again after its restart; a late answer of the former process is not.
func TestRestartWithAClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newNetwork(t, 1, nil)
		m := all[0]
		first := state{Name: "other", Peers: "p", Region: "west", Started: 2_000, Callers: "old"}
		second := state{Name: "other", Peers: "p", Region: "west", Started: 1_000, Callers: "new", Ready: true}
		m.take(first, 0)
		time.Sleep(silentAfter)
		m.take(second, 0)
		m.take(first, 0)
		m.mu.Lock()
		got := m.members["other"].Callers
		m.mu.Unlock()
		if got != "new" {
			t.Errorf("the %s process counts", got)
		}
	})
}
