package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/reach"
)

// cutOff lets an instance find out that it reaches no endpoint.
func cutOff(m *mesh) {
	cutOffMonitor(m.reach)
	m.syncUrgently()
}

// cutOffMonitor lets a monitor find out that no endpoint is reached.
func cutOffMonitor(m *reach.Monitor) {
	for i := range 3 {
		m.ConnectionEnded(time.Now(), fmt.Sprint(i), false)
	}
	m.ProbeEnded(time.Now(), m.Probe(time.Now()), 0, false)
}

// namedBy returns the number of instances whose directory names one for callers of
// its region.
func namedBy(all []*mesh, named *mesh) int {
	n := 0
	for _, m := range all {
		if slices.Contains(m.callerAddresses(CallerLocation{Region: named.self.Region}), named.self.Callers) {
			n++
		}
	}
	return n
}

// It knows helpers and is none itself; if all instances are cut off, all are named.
func TestCutOffInstanceIsNotNamed(t *testing.T) {
	for _, perRegion := range []int{2, 12} {
		t.Run(fmt.Sprint(3*perRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all := newDomainNetwork(t, perRegion, 2, nil)
				time.Sleep(5 * time.Second)
				cutOff(all[0])
				time.Sleep(3 * time.Second)
				if n := namedBy(all, all[0]); n != 0 {
					t.Errorf("%d instances name the one that is cut off", n)
				}
				if n := namedBy(all, all[1]); n != len(all) {
					t.Errorf("%d of %d instances name another one", n, len(all))
				}
				if n := len(all[0].helpers()); n != len(all)-1 {
					t.Errorf("the instance knows %d helpers of %d", n, len(all)-1)
				}
				if n := len(all[1].helpers()); n != len(all)-2 {
					t.Errorf("another instance knows %d helpers of %d", n, len(all)-2)
				}
				all[0].reach.ProbeEnded(time.Now(), 2, 1, false)
				time.Sleep(3 * time.Second)
				if n := namedBy(all, all[0]); n != len(all) {
					t.Errorf("%d of %d instances name the one that was cut off", n, len(all))
				}
				for _, m := range all {
					cutOff(m)
				}
				time.Sleep(3 * time.Second)
				if n := namedBy(all, all[0]); n != len(all) {
					t.Errorf("%d of %d instances name one of those that are all cut off", n, len(all))
				}
			})
		})
	}
}

// The first instance has applied the quota to a request that it sends through this
// one.
func TestRelayedRequestIsNotCountedTwice(t *testing.T) {
	limiter := quota.New()
	limiter.SetFleet(1, 0)
	team := &catalog.Team{Name: "team"}
	limiter.SetQuotas(time.Now(), map[string]quota.Quota{team.Name: {Rate: 1, Burst: 1}})
	h := &handler{view: &storeView{limiter: limiter}}
	refused := func(relayed bool) bool {
		return h.checkQuota(&exchange{team: team, relayed: relayed, log: logrus.New()}) != nil
	}
	for range 20 {
		if refused(true) {
			t.Fatal("a relayed request is refused by the quota")
		}
	}
	if refused(false) {
		t.Error("relayed requests have used up the quota")
	}
	for range 20 {
		if refused(false) {
			return
		}
	}
	t.Error("the quota refuses nothing")
}
