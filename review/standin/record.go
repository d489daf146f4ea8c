package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record holds what callers and endpoints have seen.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []line
	sent  map[string]time.Time
	runs  []run
}

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

// run is one request that an endpoint has run.
type run struct {
	id, endpoint, version string
	arrived, ended        time.Time
	status                int
}

// note adds a line.
func (r *record) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Now(), text})
}

// addSent records that a caller has sent a request.
func (r *record) addSent(id, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = make(map[string]time.Time)
	}
	r.sent[id] = time.Now()
	r.lines = append(r.lines, line{time.Now(), "sent " + id + " to " + gateway})
}

// addRun records that an endpoint has run a request.
func (r *record) addRun(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	r.lines = append(r.lines, line{x.arrived, fmt.Sprintf("run %s at %s (%s), status %d", x.id, x.endpoint, x.version, x.status)})
}

// allRuns returns the runs with the times at which they were sent.
func (r *record) allRuns() ([]run, map[string]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := make(map[string]time.Time, len(r.sent))
	for id, at := range r.sent {
		sent[id] = at
	}
	return append([]run(nil), r.runs...), sent
}

// writeTo writes all lines.
func (r *record) writeTo(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		_, _ = fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(r.start).Seconds(), l.text)
	}
}
