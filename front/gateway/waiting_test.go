package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/cardamomfront/cardamomfront/front/registry"
	"github.com/cardamomfront/cardamomfront/front/waiting"
	"github.com/cardamomfront/cardamomfront/steer/catalog"
	"github.com/cardamomfront/cardamomfront/steer/placing"
	"github.com/cardamomfront/cardamomfront/steer/quota"
	"github.com/cardamomfront/cardamomfront/steer/verdict"
)

// Guards against a request of a lower rank that is sent into the queue of an
// endpoint, refused although room comes, or refused other than as not run when the
// instance stops.
func TestLowerRankWaitsInTheInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFixture(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		room, err := waiting.New(noop.NewMeterProvider().Meter(""), log)
		if err != nil {
			t.Fatal(err)
		}
		f.room, f.ended = room, make(chan struct{})
		f.placer.SetRanks(map[string][]int{testService: {0, 2}})
		setLoad := func(running int) {
			f.placer.SetPeerLoads("peer", []placing.Load{
				{Endpoint: catalog.Incarnation{ID: "v1"}, Running: running}, {Endpoint: catalog.Incarnation{ID: "v2"}, Running: running},
			})
		}
		f.route.Goal = 4 * time.Second
		run := func(rank int) error {
			route := f.route
			route.Name, route.Priority = strconv.Itoa(rank), rank // the work of each is learned apart
			x := &exchange{route: &route, service: testService, arrived: time.Now(), deadline: time.Now().Add(10 * time.Second), request: &http.Request{}, verdict: verdict.NotRun}
			r := &attemptRun{exchange: x, sender: f.sender, ctx: t.Context()}
			c, err := r.chooseOrWait()
			if err == nil {
				f.placer.Done(time.Now(), c.Choice, placing.OutcomeAnswered, 200*time.Millisecond, -1)
			}
			return err
		}
		ended := make(chan error, 1)
		start := func() {
			go func() { ended <- run(2) }()
			synctest.Wait()
			select {
			case err := <-ended:
				t.Fatalf("request of the lower rank did not wait: %v", err)
			default:
			}
		}
		for range 50 { // the work is learned
			if err := run(0); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		setLoad(3)
		if err := run(0); err != nil {
			t.Errorf("request of the highest rank: %v", err)
		}
		start()
		setLoad(0)
		time.Sleep(400 * time.Millisecond)
		if err := <-ended; err != nil {
			t.Errorf("there is room, but %v", err)
		}
		setLoad(3)
		start()
		room.Close()
		err = <-ended
		x := &exchange{request: &http.Request{}, verdict: verdict.NotRun}
		_, refused := f.giveUp(context.Background(), x, failure{}, err)
		if refused == nil || refused.status != http.StatusServiceUnavailable || refused.reason != reasonStopping || refused.retryAfter <= 0 {
			t.Errorf("stopped while it waits: %+v, %v", refused, err)
		}
		if !errors.As(err, new(*placing.Refusal)) {
			t.Errorf("error %T", err)
		}
	})
}

// rankCodec returns a catalog with two ranks at one service.
type rankCodec struct{ Codec }

func (rankCodec) CatalogKey() string { return catalogKey }

func (rankCodec) Catalog(map[string]registry.Row) (*catalog.Catalog, error) {
	backends := []catalog.Backend{{Service: testService}}
	return catalog.New(catalog.Catalog{Routes: []catalog.Route{
		{Name: "lock", KnownKind: true, Backends: backends}, {Name: "schedule", KnownKind: true, Priority: 2, Backends: backends},
	}}), nil
}

// Guards against a catalog whose ranks do not reach the placer.
func TestRanksOfTheCatalogTakeEffect(t *testing.T) {
	now := time.Unix(1000, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := placing.New(placing.DefaultRules(), placing.Locality{Self: "i", Region: "r", FailureDomain: "d", Regions: map[string]string{"d": "r"}})
	p.SetEndpoints(now, []catalog.Endpoint{{ID: "e", Service: testService, FailureDomain: "d", Slots: 3}})
	choose := func(route string, rank int) error {
		c, err := p.Choose(now, placing.Query{Service: testService, Route: route, Rank: rank, Goal: 4 * time.Second, GoalLeft: 4 * time.Second, DeadlineLeft: time.Minute})
		if err == nil {
			p.Done(now, c, placing.OutcomeAnswered, 200*time.Millisecond, -1)
		}
		return err
	}
	newStoreView(Adapters{Codec: rankCodec{}}, p, quota.New(), nil, nil, log).applyCatalog(now, nil)
	for range 50 {
		if err := choose("lock", 0); err != nil {
			t.Fatal(err)
		}
	}
	p.SetPeerLoads("peer", []placing.Load{{Endpoint: catalog.Incarnation{ID: "e"}, Running: 2}})
	var refusal *placing.Refusal
	if err := choose("schedule", 2); !errors.As(err, &refusal) || !refusal.MayWait {
		t.Errorf("request of the lower rank: %v", err)
	}
}
