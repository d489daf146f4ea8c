package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record holds what the callers and the operator have seen.
type record struct {
	start time.Time

	mu       sync.Mutex
	lines    []line
	sent     int
	outcomes []outcome
}

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

// outcome is the answer to a request.
type outcome struct {
	id             string
	sent, answered time.Time
	status         int
	// endpoint is the endpoint that ran it, "" if none did.
	endpoint string
}

// ranAt reports whether an endpoint of a version ran the request.
func (o outcome) ranAt(version string) bool { return strings.HasPrefix(o.endpoint, "i-"+version+"-") }

// note adds a line.
func (r *record) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Now(), text})
}

// addSent records that a caller sends a request.
func (r *record) addSent(id, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.lines = append(r.lines, line{time.Now(), "sent " + id + " to " + gateway})
}

// addOutcome records an answer.
func (r *record) addOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
	text := fmt.Sprintf("answered %s: %d", o.id, o.status)
	if o.endpoint != "" {
		text += ", run at " + o.endpoint
	}
	r.lines = append(r.lines, line{o.answered, text})
}

// allOutcomes returns the answers and the number of requests sent.
func (r *record) allOutcomes() ([]outcome, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.outcomes...), r.sent
}

// writeTo writes all lines.
func (r *record) writeTo(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		_, _ = fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(r.start).Seconds(), l.text)
	}
}
