package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomfront/cardamomfront/platform/standin"
)

// Figures of a target.
const (
	targetSlots     = 3
	targetQueue     = 9
	reportInterval  = 1500 * time.Millisecond
	targetIdleClose = 10 * time.Second
	// drainTime is how long a target serves after it has said that it leaves.
	drainTime = 3 * time.Second
	// longestExtraDelay is the longest time from an answer to the second one.
	longestExtraDelay = 100 * time.Millisecond
)

// target is one server of a service. It answers on raw connections, so that it can
// send bytes behind a complete answer.
type target struct {
	id, service, zone string
	version           string
	store             *standin.Store
	listener          net.Listener
	born              int64
	shortest, longest time.Duration // work
	// extraShare is the share of the answers, in millionths, that are sent a second
	// time.
	extraShare atomic.Int64
	extras     *atomic.Int64

	slots   chan struct{}
	pending atomic.Int64

	draining         atomic.Bool
	stopOnce         sync.Once
	stopped, leaving chan struct{}

	mu    sync.Mutex
	runs  map[string]int // by request
	conns map[net.Conn]bool
}

func startTarget(s *standin.Store, host, id, service, zone, version string, extras *atomic.Int64) (*target, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, zone: zone, version: version, store: s, listener: l, born: time.Now().UnixMilli(),
		shortest: 150 * time.Millisecond, longest: 450 * time.Millisecond, extras: extras,
		slots: make(chan struct{}, targetSlots), runs: make(map[string]int), conns: make(map[net.Conn]bool),
		stopped: make(chan struct{}), leaving: make(chan struct{}),
	}
	go t.accept()
	go t.report()
	return t, nil
}

// report writes the target's entry to the store again and again.
func (t *target) report() {
	drained := t.leaving
	for seq := 1; ; seq++ {
		entry := fmt.Sprintf(entryFormat, t.service, t.listener.Addr().String(), t.zone, t.version, targetSlots, t.state(), seq, t.born)
		t.store.SetRaw("servers", t.id, []byte(entry))
		select {
		case <-t.stopped:
			return
		case <-drained: // the state is reported at once
			drained = nil
		case <-time.After(reportInterval):
		}
	}
}

// state returns what the target says of itself.
func (t *target) state() string {
	if t.draining.Load() {
		return "draining"
	}
	return "ready"
}

// stop ends the target at once. Its entry is removed after three missed reports.
func (t *target) stop() {
	t.stopOnce.Do(func() {
		close(t.stopped)
		_ = t.listener.Close()
		t.mu.Lock()
		for c := range t.conns {
			_ = c.Close()
		}
		t.mu.Unlock()
		go func() {
			for range 4 { // a restore of the store may bring the entry back
				time.Sleep(3 * reportInterval)
				t.store.Delete("servers", t.id)
			}
		}()
	})
}

// drain announces that the target leaves, and stops it drainTime after that.
func (t *target) drain() {
	t.draining.Store(true)
	close(t.leaving)
	time.AfterFunc(drainTime, t.stop)
}

func (t *target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve answers the requests of one connection, one after the other.
func (t *target) serve(c net.Conn) {
	t.mu.Lock()
	t.conns[c] = true
	t.mu.Unlock()
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(targetIdleClose))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := t.answer(r, len(body))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if strings.HasPrefix(answer, "HTTP/1.1 200") && rand.N(int64(1_000_000)) < t.extraShare.Load() {
			t.extras.Add(1)
			// Each answer is written at once, so that the two do not mix.
			time.AfterFunc(rand.N(longestExtraDelay), func() { _, _ = io.WriteString(c, answer) })
		}
	}
}

// answer runs a request and returns the bytes of its answer.
func (t *target) answer(r *http.Request, length int) string {
	id := r.Header.Get("Request-Id")
	head := func(status string, headers ...string) string {
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + t.load() + strings.Join(headers, "")
	}
	if want := r.Header.Get(wire.Expected); want != "" && want != t.id {
		return head("421 Misdirected Request", "Instance-Id: ", t.id, "\r\nContent-Length: 0\r\n\r\n")
	}
	if t.pending.Add(1) > targetSlots+targetQueue {
		t.pending.Add(-1)
		return head("503 Service Unavailable", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer t.pending.Add(-1)
	t.slots <- struct{}{}
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	time.Sleep(t.shortest + rand.N(t.longest-t.shortest))
	<-t.slots
	text := fmt.Sprintf("%s has served %s with %d bytes. %s\n", t.id, r.RequestURI, length, strings.Repeat(".", 300))
	return head("200 OK", "Response-Stamp: stamp-", t.id, "-", id, fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(text)), text)
}

// load returns the header that reports the target's load.
func (t *target) load() string {
	running, waiting := len(t.slots), int64(0)
	if n := t.pending.Load(); n > targetSlots {
		waiting = n - targetSlots
	}
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", running, waiting, targetSlots)
}
