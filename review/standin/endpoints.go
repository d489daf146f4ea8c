package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

const (
	// heartbeat is the time between two reports of an endpoint.
	heartbeat = 1500 * time.Millisecond
	// behaviorInterval is how often it is drawn anew whether an endpoint of a bad
	// version answers with errors.
	behaviorInterval = 20 * time.Millisecond
)

// endpoints are all endpoints of one version of a service: the project's own
// stand-ins.
type endpoints struct {
	world   *world
	all     []*standin.Endpoint
	stopped chan struct{}

	mu    sync.Mutex
	state string
}

// startEndpoints starts the endpoints of a version, spread over the failure domains.
// They answer a share of the requests with an error.
func (w *world) startEndpoints(service, version string, count int, work time.Duration, errorShare float64) (*endpoints, error) {
	es := &endpoints{world: w, stopped: make(chan struct{}), state: "ready"}
	for i := range count {
		id := fmt.Sprintf("i-%s-%02d", version, i)
		e, err := standin.StartEndpoint(w.store, "127.0.0.1", id, service, gatewayZones[i%len(gatewayZones)], version)
		if err != nil {
			return nil, err
		}
		e.SetBehavior(standin.Behavior{ServiceTime: work})
		es.all = append(es.all, e)
	}
	go es.every(heartbeat, es.report)
	if errorShare > 0 {
		go es.every(behaviorInterval, func() { es.drawErrors(work, errorShare) })
	}
	return es, nil
}

// every calls f at each tick until the endpoints stop.
func (es *endpoints) every(d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-es.stopped:
			return
		case <-ticker.C:
			f()
		}
	}
}

// report writes all entries.
func (es *endpoints) report() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, e := range es.all {
		if err := e.Register(es.state); err != nil {
			es.world.note("entry of %s: %v", e.ID, err)
		}
	}
}

// drawErrors lets each endpoint answer with errors until the next draw, with a
// probability of share.
func (es *endpoints) drawErrors(work time.Duration, share float64) {
	for _, e := range es.all {
		b := standin.Behavior{ServiceTime: work}
		if rand.Float64() < share {
			b.Status = http.StatusInternalServerError
		}
		e.SetBehavior(b)
	}
}

// drain announces that the endpoints are about to stop.
func (es *endpoints) drain() {
	es.mu.Lock()
	es.state = "draining"
	es.mu.Unlock()
	es.report()
}

// stop ends the endpoints and removes their entries.
func (es *endpoints) stop() {
	close(es.stopped)
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, e := range es.all {
		es.world.store.Delete("servers", e.ID)
		e.Stop()
	}
	es.all = nil
}
