package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cardamomfront/cardamomfront/front/reachability"
	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/rollouts"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
)

// Limits that the users set on the requests that a bad version may get, for all
// instances together.
const (
	maxNewShare = 0.1
	maxNewSlack = 50
	// fallbackFleet is the number of instances that share the slack.
	fallbackFleet = 8
)

const (
	testService = "ledger"
	// duration is how long a rollout may take.
	duration = 10 * time.Second
	// recordsReadWait is the time until an instance has read the rollout records.
	recordsReadWait = 150 * time.Millisecond
)

// emptyStore is a store without rows. It counts the reads.
type emptyStore struct{ reads int }

func (s *emptyStore) Read(context.Context, string) (registry.Batch, error) {
	s.reads++
	return registry.Batch{}, nil
}

func (*emptyStore) Write(context.Context, registry.Change) (uint64, error) { return 0, nil }

// emptyCodec decodes the tables of emptyStore.
type emptyCodec struct{}

func (emptyCodec) Tables() (operator, endpoints, records string) {
	return "orders", "endpoints", "records"
}

func (emptyCodec) RolloutRecords(map[string]registry.Row) (map[string]catalog.RolloutRecord, []error) {
	return nil, nil
}

func (emptyCodec) EncodeRolloutRecord(service string, _ catalog.RolloutRecord) (string, []byte, error) {
	return service, nil, nil
}

// newReadRollouts returns rollouts with an order of testService from v1 to v2, after
// they have been evaluated and their records have been read once. It is called in
// a synctest bubble.
func newReadRollouts(t *testing.T) *rollouts.Rollouts {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := new(emptyStore)
	r := rollouts.New(store, emptyCodec{}, log)
	r.SetOrders(time.Now(), map[string]catalog.RolloutOrder{
		testService: {Service: testService, To: "v2", Duration: duration, Key: "order", Revision: 1},
	}, 0)
	ctx, cancel := context.WithTimeout(t.Context(), recordsReadWait)
	defer cancel()
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if store.reads != 1 {
		t.Fatalf("the records were read %d times, want once", store.reads)
	}
	return r
}

// versionFixture is the sender of one instance during a rollout from v1 to v2,
// with a placer of its own.
type versionFixture struct {
	*sender
	placer  *placing.Placer
	reached *reachability.Watch
	route   catalog.Route
}

// newVersionFixture orders a rollout at the current time. Each version has one
// endpoint.
func newVersionFixture(t *testing.T) *versionFixture {
	orders := newReadRollouts(t)
	placer := placing.New(placing.DefaultRules(), placing.Locality{Self: "i", Region: "east", FailureDomain: "e1", Regions: map[string]string{"e1": "east"}})
	var endpoints []catalog.Endpoint
	for _, version := range []string{"v1", "v2"} {
		endpoints = append(endpoints, catalog.Endpoint{
			ID: version, Service: testService, Address: version, FailureDomain: "e1", Version: version, Slots: 3,
		})
	}
	placer.SetEndpoints(time.Now(), endpoints)
	return &versionFixture{
		sender: &sender{rollouts: orders, placer: placer}, placer: placer,
		route: catalog.Route{Name: "r", Goal: time.Second, Idempotent: true},
	}
}

// place chooses an endpoint for one request after tried ones. It returns "" if
// the request is refused. A request that is placed ends at once.
func (f *versionFixture) place(tried ...catalog.Incarnation) string {
	x := &exchange{route: &f.route, service: testService, arrived: time.Now(), deadline: time.Now().Add(4 * time.Second), request: &http.Request{}}
	c, err := f.chooseEndpoint(x, tried)
	if err != nil {
		return ""
	}
	f.rollouts.StartAttempt(testService, time.Now(), c.Choice)
	f.placer.Done(time.Now(), c.Choice, placing.OutcomeUnknown, 0, -1)
	return c.Endpoint.Version
}

// A new version stays within its share although the old one has no headroom for
// any request, or fails each request's first attempt.
func TestFallbackStaysWithinTheShareOfTheNewVersion(t *testing.T) {
	for name, tried := range map[string][]catalog.Incarnation{"first attempts": nil, "second attempts": {{ID: "other"}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFixture(t)
				f.placer.SetPeerLoads("peer", []placing.Load{{Endpoint: catalog.Incarnation{ID: "v1"}, Running: 100}})
				placed, toNew := 0, 0
				for start := time.Now(); time.Since(start) < duration*7/10; time.Sleep(10 * time.Millisecond) {
					switch f.place(tried...) {
					case "v1":
						placed++
					case "v2":
						placed++
						toNew++
					}
				}
				if limit := maxNewShare*float64(placed) + maxNewSlack/fallbackFleet; float64(toNew) > limit {
					t.Errorf("the new version got %d of %d requests, %.0f allowed", toNew, placed, limit)
				}
			})
		})
	}
}

// Requests go to the new version if the old one has no endpoint left.
func TestFallbackServesWithoutOldEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFixture(t)
		f.placer.SetEndpoints(time.Now(), []catalog.Endpoint{{ID: "v2", Service: testService, Address: "v2", FailureDomain: "e1", Version: "v2", Slots: 3}})
		for i := range 100 {
			if got := f.place(); got != "v2" {
				t.Fatal(fmt.Sprintf("request %d", i), "is placed at", got)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
