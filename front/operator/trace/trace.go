// Package trace follows one request through the logs of all instances.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is what a gateway logged of a request. Fields that a line does not have
// are zero.
type Line struct {
	// Time is the instance's time of day, to the second.
	Time time.Time `json:"time"`
	// Message is the line's sentence.
	Message string `json:"msg"`
	// Request is the caller's id of the request.
	Request string `json:"request"`
	// Route and Team are the request's.
	Route string `json:"route"`
	Team  string `json:"team"`
	// Catalog is the version that decided.
	Catalog string `json:"catalog"`
	// Attempt counts the tries from 1.
	Attempt int `json:"try"`
	// Endpoint, Version and Domain are where a try went.
	Endpoint string `json:"endpoint"`
	Version  string `json:"version"`
	Domain   string `json:"domain"`
	// Warmth is what was known of the object there.
	Warmth string `json:"known"`
	// Running is how many requests were known to be there.
	Running int `json:"running"`
	// Service is where the route leads.
	Service string `json:"service"`
	// Candidates, Busy and WaitMS are what a refusal for lack of room saw:
	// endpoints that could take the request, the part of all slots in use, and
	// the wait at the best one.
	Candidates  int     `json:"candidates"`
	Utilization float64 `json:"busy"`
	QueueWaitMS int64   `json:"wait_ms"`
	// ExpectedMS and MS are what a try was expected to take and took.
	ExpectedMS int64 `json:"expected_ms"`
	DurationMS int64 `json:"ms"`
	// SinceArrivalMS is the time from the request's arrival to the end of a try.
	SinceArrivalMS int64 `json:"since_ms"`
	// Status is the answer's status.
	Status int `json:"status"`
	// Reason and Verdict are those of a refusal.
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
	// RetryMS is when the caller was told to come back.
	RetryMS int64 `json:"retry_ms"`
	// Share and Tokens are what the instance held of the team's quota.
	Share  float64 `json:"part"`
	Tokens float64 `json:"tokens"`
	// Error is the cause of a failure.
	Error string `json:"error"`

	// Source is the file that the line is from.
	Source string `json:"-"`
}

// endMS is the time of a line from the request's arrival, in milliseconds.
func (l Line) endMS() int64 {
	if l.Reason != "" {
		return l.DurationMS
	}
	return l.SinceArrivalMS
}

// Read returns the lines on a request in one log. Text before a line's JSON, as
// collectors put it there, is passed over. Errors: those of the reader.
func Read(r io.Reader, source, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(request)) {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) != nil || l.Request != request {
			continue // the id stands in a line that is not about this request
		}
		l.Source = source
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Sort puts lines in the order in which they happened.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.endMS(), b.endMS()))
	})
}

// Describe says in a sentence what a line tells.
func (l Line) Describe() string {
	var b strings.Builder
	switch {
	case l.Reason != "":
		fmt.Fprintf(&b, "%d ms: answered %d, %s, %s", l.endMS(), l.Status, l.Reason, l.Verdict)
		if l.RetryMS > 0 {
			fmt.Fprintf(&b, ", to come back after %d ms", l.RetryMS)
		}
	default:
		fmt.Fprintf(&b, "%d ms: try %d at %s (%s, %s), object %s, %d requests there: ", l.endMS(), l.Attempt, l.Endpoint, l.Version, l.Domain, l.Warmth, l.Running)
		if l.Status > 0 {
			fmt.Fprintf(&b, "%d ", l.Status)
		}
		fmt.Fprintf(&b, "after %d ms, expected %d", l.DurationMS, l.ExpectedMS)
	}
	if l.Error != "" {
		fmt.Fprintf(&b, " (%s)", l.Error)
	}
	return b.String()
}

// Summarize says in a sentence what became of the request.
func Summarize(lines []Line) string {
	if len(lines) == 0 {
		return "No line: the request reached none of these instances, or its lines were left out."
	}
	last := lines[len(lines)-1]
	where := fmt.Sprintf("route %s, team %s, catalog %s", last.Route, last.Team, last.Catalog)
	switch {
	case last.Reason == "":
		return fmt.Sprintf("Answered with %d by %s after %d ms (%s).", last.Status, last.Endpoint, last.SinceArrivalMS, where)
	case last.Reason == "quota":
		return fmt.Sprintf("Refused: the team had used its quota; this instance held %.3f of it with %.2f tokens left (%s).", last.Share, last.Tokens, where)
	case last.Reason == "too-late" || last.Reason == "no-room":
		return fmt.Sprintf("Refused for lack of room at %s: %.0f %% of the slots were in use, %d endpoints could take it, "+
			"the best after a wait of %d ms with the object %s, its answer after %d ms (%s).",
			last.Service, 100*last.Utilization, last.Candidates, last.QueueWaitMS, cmp.Or(last.Warmth, "unknown"), last.ExpectedMS, where)
	case last.Reason == "no-endpoint":
		return fmt.Sprintf("Refused: no endpoint may serve it (%s).", where)
	case last.Reason == "no-route" || last.Reason == "unknown-key":
		return fmt.Sprintf("Refused: the catalog in force has no such route or key (%s).", where)
	case last.Verdict == "not-run":
		return fmt.Sprintf("Refused, %s, and has not run (%s).", last.Reason, where)
	}
	return fmt.Sprintf("Ended without an answer, %s, and may have run (%s).", last.Reason, where)
}
