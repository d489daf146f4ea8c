package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
)

const deadlyRequest crash.Fingerprint = 7

// crashSettleTime is how long after the third crash the users allow for all
// instances to know.
const crashSettleTime = 3 * time.Second

// endsWith records at an instance that an endpoint ended while a request ran, and
// that another endpoint was reached since.
func endsWith(m *mesh, id string, f crash.Fingerprint) {
	now := time.Now()
	m.crashes.detector.ObserveEnd(now, now, catalog.Incarnation{ID: id}, []crash.Run{{Fingerprint: f, SentAt: now.Add(-10 * time.Millisecond)}})
	time.Sleep(time.Millisecond)
	m.crashes.detector.ObserveReached(time.Now(), now, catalog.Incarnation{ID: "other"})
	m.crashes.notifyPeers()
}

// refusedAt returns the number of instances that refuse a request.
func refusedAt(all []*mesh, f crash.Fingerprint) int {
	n := 0
	for _, m := range all {
		if d := m.crashes.detector.Begin(time.Now(), f); d.Refused {
			n++
		} else if d.Allowed {
			m.crashes.detector.Finish(time.Now(), f, d, false)
		}
	}
	return n
}

// Three instances of different regions see one crash each. All instances refuse
// the request in time, in a small fleet and through hubs, and one that was cut off
// refuses it once it is back.
func TestCrashesSeenAnywhereAreKnownEverywhere(t *testing.T) {
	for _, perRegion := range []int{2, 12} {
		t.Run(fmt.Sprint(3*perRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, all := newDomainNetwork(t, perRegion, 2, nil)
				cutOff := all[perRegion-1].self.Name
				n.setDown(cutOff, true)
				time.Sleep(5 * time.Second)
				for i := range 3 {
					endsWith(all[i*perRegion], fmt.Sprint("e", i), deadlyRequest)
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(crashSettleTime)
				if got := refusedAt(all, deadlyRequest); got != len(all)-1 {
					t.Errorf("%d of %d connected instances refuse the request", got, len(all)-1)
				}
				n.setDown(cutOff, false)
				time.Sleep(crashSettleTime)
				if got := refusedAt(all, deadlyRequest); got != len(all) {
					t.Errorf("%d of %d instances refuse the request", got, len(all))
				}
			})
		})
	}
}
