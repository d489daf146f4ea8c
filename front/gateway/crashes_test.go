package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/endpoint"
	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/crash"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

const deadlyRequest crash.Fingerprint = 7

// crashSettleTime is how long after the third crash the users allow for all
// instances to know.
const crashSettleTime = 3 * time.Second

// reachCheckWait is the time until failures without a response have been checked.
const reachCheckWait = 150 * time.Millisecond

// endsWith records at an instance that an endpoint ended while a request ran, and
// that another endpoint was reached since.
func endsWith(m *mesh, id string, f crash.Fingerprint) {
	now := time.Now()
	m.crashes.Detector().ObserveEnd(now, now, catalog.Incarnation{ID: id}, []crash.Run{{Fingerprint: f, SentAt: now.Add(-10 * time.Millisecond)}})
	time.Sleep(time.Millisecond)
	m.crashes.Detector().ObserveReached(time.Now(), now, catalog.Incarnation{ID: "other"})
	m.syncUrgently()
}

// refusedAt returns the number of instances that refuse a request.
func refusedAt(all []*mesh, f crash.Fingerprint) int {
	n := 0
	for _, m := range all {
		if d := m.crashes.Detector().Begin(time.Now(), f); d.Refused {
			n++
		} else if d.Allowed {
			m.crashes.Detector().Finish(time.Now(), f, d, false)
		}
	}
	return n
}

// Three instances see one crash each; one that was cut off learns of it once it is back.
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

// newCrashFixture is newVersionFixture with endpoints that refuse connections, and
// one of another service that accepts them.
func newCrashFixture(t *testing.T) *versionFixture {
	f := newVersionFixture(t)
	const alive = "alive:80"
	f.placer.SetEndpoints(time.Now(), []catalog.Endpoint{
		{ID: "v1", Service: testService, Address: "v1:80", FailureDomain: "e1", Version: "v1", Slots: 3},
		{ID: "v2", Service: testService, Address: "v2:80", FailureDomain: "e1", Version: "v2", Slots: 3},
		{ID: alive, Service: "another", Address: alive, FailureDomain: "e1", Version: "v1", Slots: 3},
	})
	client := endpoint.NewClient(endpoint.Settings{DisableProbes: true, Dial: func(_ context.Context, _, address string) (net.Conn, error) {
		if address != alive {
			return nil, syscall.ECONNREFUSED
		}
		accepted, _ := net.Pipe()
		return accepted, nil
	}}, ignoreOutcomes{})
	t.Cleanup(client.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.reached = reachability.New(newReachMonitor(), client, f.placer, log)
	f.crashes = newCrashWatch(client, f.placer, f.reached, log)
	return f
}

// crash lets the endpoint of a version end while a request runs there.
func (f *versionFixture) crash(version string, fingerprint crash.Fingerprint) {
	x := &exchange{route: &f.route, service: testService, fingerprint: fingerprint}
	choice := &placing.Choice{Endpoint: catalog.Endpoint{ID: version, Service: testService, Address: version + ":80", Version: version}}
	sentAt := time.Now()
	observed := f.rollouts.StartAttempt(testService, sentAt, choice)
	time.Sleep(10 * time.Millisecond)
	err := &endpoint.Error{Reason: endpoint.ReasonBroken, Verdict: verdict.MayHaveRun}
	f.recordResult(x, observed, choice, sentAt, placing.OutcomeFailed, nil, err, time.Since(sentAt))
}

// settleFailures lets the failures be settled of which it is known whether they
// count.
func (f *versionFixture) settleFailures(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), reachCheckWait)
	defer cancel()
	if err := f.reached.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// A request without a response counts if another got one since.
func TestCutOfThisInstanceIsNotTheVersionsFault(t *testing.T) {
	for name, cut := range map[string]bool{"cut off": true, "endpoints reached": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFixture(t)
				x := &exchange{route: &f.route, service: testService}
				choice := &placing.Choice{Endpoint: catalog.Endpoint{ID: "v2", Service: testService, Version: "v2"}}
				err := &endpoint.Error{Reason: endpoint.ReasonDeadline, Verdict: verdict.MayHaveRun}
				f.recordResult(x, f.rollouts.StartAttempt(testService, time.Now(), choice), choice, time.Now(), placing.OutcomeTimedOut, nil, err, time.Second)
				time.Sleep(100 * time.Millisecond)
				if cut {
					cutOffMonitor(f.reached.Monitor())
				} else {
					f.reached.Monitor().ConnectionEnded(time.Now(), "another", true)
				}
				f.settleFailures(t)
				failures := f.rollouts.Get(testService).LocalEvidence(time.Now()).New.Failures
				if (failures == 0) != cut {
					t.Errorf("%v failures count", failures)
				}
			})
		})
	}
}

// Crashes while different requests run count.
func TestCrashByARequestIsNotTheVersionsFault(t *testing.T) {
	for name, requests := range map[string][2]crash.Fingerprint{"one request": {7, 7}, "different requests": {7, 8}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFixture(t)
				f.crash("v1", requests[0])
				f.crash("v2", requests[1])
				time.Sleep(3 * time.Second) // twice the time until the cause is decided
				f.reached.Monitor().ConnectionEnded(time.Now(), "another", true)
				f.settleFailures(t)
				evidence := f.rollouts.Get(testService).LocalEvidence(time.Now())
				failures := evidence.Old.Failures + evidence.New.Failures
				if want := map[bool]float64{true: 0, false: 2}[requests[0] == requests[1]]; float64(failures) != want {
					t.Errorf("%v failures count, want %v", failures, want)
				}
			})
		})
	}
}
