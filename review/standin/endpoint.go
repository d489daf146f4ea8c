package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// queuePerSlot is how many requests an endpoint queues for each slot.
const queuePerSlot = 3

// endpoint is a sound server of one service. Some versions answer a share of the
// requests with an error.
type endpoint struct {
	world                      *world
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	errorShare                 float64
	server                     *http.Server
	listener                   net.Listener
	free                       chan struct{}

	mu      sync.Mutex
	present int // running and waiting requests
	seq     int
	state   string
	born    int64
	closed  chan struct{}
}

// heartbeat is the time between two reports of an endpoint.
const heartbeat = 1500 * time.Millisecond

// startEndpoint starts an endpoint and registers it.
func (w *world) startEndpoint(e *endpoint) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.47.1:0")
	if err != nil {
		return nil, err
	}
	e.world, e.listener, e.state, e.born = w, l, "ready", time.Now().UnixMilli()
	e.free, e.closed = make(chan struct{}, e.slots), make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	if err := e.report(); err != nil {
		return nil, err
	}
	go e.reportRegularly()
	return e, nil
}

// report writes the endpoint's entry.
func (e *endpoint) report() error {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": e.version,
		"slots": e.slots, "state": e.state, "coldLeftS": 0, "seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	return e.world.store.Set("servers", e.id, entry)
}

func (e *endpoint) reportRegularly() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.closed:
			return
		case <-ticker.C:
			_ = e.report()
		}
	}
}

// setState announces a state.
func (e *endpoint) setState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	_ = e.report()
}

// stop ends the endpoint and removes its entry.
func (e *endpoint) stop() {
	close(e.closed)
	e.world.store.Delete("servers", e.id)
	_ = e.server.Close()
}

// enter reports whether there is room for one more request, and the load.
func (e *endpoint) enter() (bool, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := min(e.present, e.slots)
	load := fmt.Sprintf("%d,%d,%d", running, e.present-running, e.slots)
	if e.present >= e.slots*(1+queuePerSlot) {
		return false, load
	}
	e.present++
	return true, load
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.present--
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h, id := w.Header(), r.Header.Get("Request-Id")
	h.Set("Instance-Id", e.id)
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	room, load := e.enter()
	h.Set("Server-Load", load)
	if !room {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case e.free <- struct{}{}:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.free }()
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
	}
	status := http.StatusOK
	if rand.Float64() < e.errorShare {
		status = http.StatusInternalServerError
	}
	e.world.record.addRun(run{id: id, endpoint: e.id, version: e.version, arrived: arrived, ended: time.Now(), status: status})
	text := fmt.Sprintf("%s ran %s, %d bytes\n", e.id, r.RequestURI, len(body))
	h.Set("Response-Stamp", "stamp-"+e.id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
