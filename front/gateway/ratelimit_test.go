package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/ratelimit"
)

// limitedAt returns the number of instances that assume a limit of an endpoint.
func limitedAt(all []*mesh) int {
	n := 0
	for _, m := range all {
		for _, u := range m.placer.Usages(time.Now()) {
			n += u.Limited
		}
	}
	return n
}

// An endpoint's limit, and its end, reach instances that have sent it nothing, in
// a small fleet and through hubs.
func TestLimitReachesAllInstances(t *testing.T) {
	for _, perRegion := range []int{2, 12} {
		t.Run(fmt.Sprint(3*perRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, all := newDomainNetwork(t, perRegion, 2, nil)
				endpoint := catalog.Endpoint{ID: "e", StartMS: 5, Service: "s", Address: "e", FailureDomain: "east-1", Version: "v1", Slots: 2}
				for _, m := range all {
					m.placer.SetEndpoints(time.Now(), []catalog.Endpoint{endpoint})
				}
				time.Sleep(5 * time.Second)
				observe := func(m *mesh, l ratelimit.Limit) {
					for range 20 {
						now := time.Now()
						m.placer.ObserveRateLimit(now.Add(-time.Millisecond), now, endpoint.Incarnation(), l)
						time.Sleep(200 * time.Millisecond)
					}
				}
				observe(all[0], ratelimit.Limit{Named: true, PerSecond: 1.5})
				if n := limitedAt(all); n != len(all) {
					t.Errorf("%d of %d instances know the limit", n, len(all))
				}
				observe(all[len(all)-1], ratelimit.Limit{})
				if n := limitedAt(all); n != 0 {
					t.Errorf("%d of %d instances do not know that the limit has ended", n, len(all))
				}
			})
		})
	}
}

// A limit of 0 and no limit are told apart in reports.
func TestReportOfALimitIsReadBack(t *testing.T) {
	for _, l := range []ratelimit.Limit{{}, {Named: true}, {Named: true, PerSecond: 1.8}} {
		reported := placing.EndpointRateLimit{Endpoint: catalog.Incarnation{ID: "e", StartMS: 5}, Limit: l, Age: 300 * time.Millisecond}
		if got := rateLimitReports([]placing.EndpointRateLimit{reported})[0].rateLimit(); got != reported {
			t.Errorf("%+v is read back as %+v", reported, got)
		}
	}
}
